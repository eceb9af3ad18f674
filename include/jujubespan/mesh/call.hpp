#ifndef JUJUBESPAN_MESH_CALL_HPP
#define JUJUBESPAN_MESH_CALL_HPP

#include "jujubespan/engine/answer.hpp"
#include "jujubespan/engine/call.hpp"
#include "jujubespan/mesh/entry_admission.hpp"
#include "jujubespan/mesh/guard_retry_budget.hpp"
#include "jujubespan/mesh/route_costs.hpp"
#include "jujubespan/policy/http_message.hpp"
#include "jujubespan/policy/shed_level.hpp"
#include "jujubespan/policy/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jujubespan::mesh
{

/// @brief A request on its way to the node beside the chosen instance.
struct routed_call
{
    std::uint64_t id{0};
    std::string request_id;
    std::string instance; ///< The only one that may run it.
    std::string service;
    std::string caller_service; ///< Of the instance where it began.
    std::string route;          ///< Name of the route that it took.
    time_point deadline{};
    shed_key key{0};
    bool idempotent{false};
    /// Goes before others of its class: called by a request that already runs,
    /// or with too little time to wait.
    bool under_way{false};
    bool client_request{false}; ///< Not called by a running request.
    retry_cause retry{retry_cause::none};
    http_request request;
};

/// @brief The outcome of a routed call.
struct routed_reply
{
    engine::answer value;
    bool reached_backend{false}; ///< The backend server received the request.
    duration residence_time{};   ///< Time in the queue and the backend server.
    std::vector<service_cost> costs; ///< At this service and those behind it.
    std::vector<service_pressure> pressures; ///< Of services behind it.
};

/// @brief The clients of a node.
class client_port
{
public:
    virtual ~client_port() = default;

    /// @brief Sends the only response of an exchange.
    virtual void respond(std::uint64_t exchange,
                         const http_response& response) = 0;
};

/// @brief The nodes beside other instances, and the own guard.
class routed_call_port
{
public:
    virtual ~routed_call_port() = default;

    /// @param peer address of the node.
    /// @return false when nothing was sent or will be.
    virtual bool call(std::string_view peer, const routed_call& value,
                      time_point now) = 0;

    virtual void cancel(std::string_view peer, std::uint64_t call,
                        time_point now) = 0;
};

/// @brief Where the guard's replies go.
class routed_reply_port
{
public:
    virtual ~routed_reply_port() = default;

    virtual void reply(std::uint64_t exchange, const routed_reply& value) = 0;
};

} // namespace jujubespan::mesh

#endif
