#ifndef JUJUBESPAN_MESH_CALL_HPP
#define JUJUBESPAN_MESH_CALL_HPP

#include "jujubespan/engine/answer.hpp"
#include "jujubespan/engine/call.hpp"
#include "jujubespan/mesh/entry_admission.hpp"
#include "jujubespan/mesh/guard_retry_budget.hpp"
#include "jujubespan/mesh/route_costs.hpp"
#include "jujubespan/policy/admission_level.hpp"
#include "jujubespan/policy/http_message.hpp"
#include "jujubespan/policy/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubespan::mesh
{

/// @brief A request sent to the node of the selected instance.
struct routed_call
{
    std::uint64_t id{0};
    std::string request_id;
    std::string instance; ///< Id of the only instance that may run it.
    std::string service;
    std::string caller_service; ///< Service of the node that sends the call.
    std::string route;          ///< Name of the matched route.
    /// Name of the organisation that sent the request; empty if none.
    std::string organisation;
    time_point deadline{};
    shed_key key{0};
    bool idempotent{false};
    /// Queued before others of its class: either a running request makes this
    /// call, or its latency objective is too short to wait.
    bool prioritized{false};
    bool client_request{false}; ///< Not made by a running request.
    retry_cause retry{retry_cause::none};
    /// Rate limit of the instance that the sender has last heard of, in
    /// requests per second; nothing without a limit.
    std::optional<double> known_rate_limit;
    http_request request;
};

/// @brief The outcome of a routed call.
struct routed_reply
{
    engine::answer answer;
    bool reached_backend{false}; ///< The backend server received the request.
    /// The backend server's process ended while it ran the request.
    bool backend_ended{false};
    /// Requests per second that the backend server accepts from all nodes
    /// together; nothing without a limit.
    std::optional<double> rate_limit;
    /// Incarnation of the instance whose backend server announced that it
    /// stops, zero if the guard does not know it; nothing without an
    /// announcement.
    std::optional<std::uint64_t> leaving_incarnation;
    /// Time spent in the queue and at the backend server.
    duration residence_time{};
    /// Costs at this service and the services that it called.
    std::vector<service_cost> costs;
    /// Of the services that its backend server calls, directly or indirectly.
    std::vector<service_pressure> pressures;
};

/// @brief Sends responses to the clients of a node.
class client_port
{
public:
    virtual ~client_port() = default;

    /// @brief Sends the only response of an exchange.
    virtual void respond(std::uint64_t exchange,
                         const http_response& response) = 0;
};

/// @brief Sends calls to the nodes of other instances and to the local guard.
class routed_call_port
{
public:
    virtual ~routed_call_port() = default;

    /// @param peer address of the node.
    /// @return false when the call was not sent and will not be.
    virtual bool send_call(std::string_view peer, const routed_call& call,
                           time_point now) = 0;

    virtual void cancel(std::string_view peer, std::uint64_t call,
                        time_point now) = 0;
};

/// @brief Sends the guard's replies.
class routed_reply_port
{
public:
    virtual ~routed_reply_port() = default;

    virtual void send_reply(std::uint64_t exchange,
                            const routed_reply& reply) = 0;
};

} // namespace jujubespan::mesh

#endif
