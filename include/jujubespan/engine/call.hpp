#ifndef JUJUBESPAN_ENGINE_CALL_HPP
#define JUJUBESPAN_ENGINE_CALL_HPP

#include "jujubespan/engine/answer.hpp"
#include "jujubespan/policy/admission_level.hpp"
#include "jujubespan/policy/http_message.hpp"
#include "jujubespan/policy/request_class.hpp"
#include "jujubespan/policy/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jujubespan::engine
{

/// @brief Properties that each call of a chain inherits from the root request.
struct call_context
{
    std::string request_id;
    std::string customer;
    request_class cls{request_class::normal};
    shed_key key{0}; ///< Position in the order of load shedding.
    time_point deadline{};
    /// Retry credits available to the call and its descendants.
    std::uint32_t credits{0};
    std::uint32_t depth{0}; ///< Zero for the root.
    bool idempotent{false};
    std::string ticket;              ///< Text form; may be empty.
    std::vector<std::uint32_t> path; ///< Call hashes of the ancestors.
};

/// @brief A call as sent to the node of another instance.
struct peer_call
{
    std::uint64_t id{0};
    std::string service;
    call_context context;
    http_request request;
    bool forwarded{false}; ///< Forwarded by a node of the same service.
};

/// @brief Returns a hash of service, method, target and body. A call whose
/// hash equals that of an ancestor is a loop.
std::uint32_t hash_call(std::string_view service, const http_request& request);

/// @brief Sends answers to the receivers of one transport.
class reply_port
{
public:
    virtual ~reply_port() = default;

    /// @brief Sends the answer of an exchange; called once for each exchange.
    virtual void send_reply(std::uint64_t exchange, const answer& answer,
                            std::string_view request_id) = 0;
};

/// @brief Receiver of an answer: an exchange of a reply port.
struct reply_target
{
    reply_port* port{nullptr};
    std::uint64_t exchange{0};

    bool operator==(const reply_target&) const = default;
};

/// @brief How an exchange with the backend server ended.
enum class backend_end
{
    answered,
    unreachable, ///< No byte of the request was sent.
    failed       ///< The request was sent, but no complete answer arrived.
};

/// @brief Whether a backend server's process accepts connections.
enum class backend_probe_result
{
    accepted,
    refused, ///< No process listens at its address.
    unknown  ///< Neither became known in time.
};

/// @brief The backend server of this node.
class backend_port
{
public:
    virtual ~backend_port() = default;

    /// @brief Sends a request; its end is reported to `backend_events`.
    virtual void start(std::uint64_t call, const http_request& request) = 0;

    /// @brief Cancels a request; its end is not reported.
    virtual void cancel(std::uint64_t call) = 0;

    /// @brief Tries to open a connection; the result is reported to
    /// `backend_events`.
    /// @return false when the port cannot probe.
    virtual bool probe() { return false; }
};

/// @brief Receives the ends of exchanges with the backend server.
class backend_events
{
public:
    virtual ~backend_events() = default;

    virtual void on_backend_exchange_end(std::uint64_t call, backend_end end,
                                         http_response response,
                                         time_point now) = 0;

    virtual void on_backend_probe_end(backend_probe_result /*result*/,
                                      time_point /*now*/)
    {
    }
};

/// @brief The nodes of other instances.
class peer_port
{
public:
    virtual ~peer_port() = default;

    /// @brief Sends a call.
    /// @return false when nothing was or will be sent.
    virtual bool send_call(std::string_view peer, const peer_call& call,
                           time_point now) = 0;

    /// @brief Cancels a call that was sent.
    virtual void cancel(std::string_view peer, std::uint64_t call) = 0;
};

} // namespace jujubespan::engine

#endif
