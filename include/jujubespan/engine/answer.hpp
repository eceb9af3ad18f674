#ifndef JUJUBESPAN_ENGINE_ANSWER_HPP
#define JUJUBESPAN_ENGINE_ANSWER_HPP

#include "jujubespan/policy/http_message.hpp"
#include "jujubespan/policy/level_table.hpp"
#include "jujubespan/policy/time.hpp"
#include "jujubespan/policy/upstream_set.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jujubespan::engine
{

/// @brief Outcome of a request as reported to the caller.
enum class outcome : std::uint8_t
{
    answered, ///< The backend server sent a complete answer.
    not_run,  ///< Refused; no part of it was sent to a backend server.
    unknown,  ///< The request may have run.
    rejected  ///< The request is invalid; it was not run.
};

/// @brief Why a request was not answered.
enum class reason : std::uint8_t
{
    none,
    overload,            ///< Shed by the admission level of this service.
    downstream_overload, ///< Shed by the level of a downstream service.
    queue_full,
    in_flight_bound,
    customer_limit,
    caller_retries,
    leaving,
    no_configuration,
    deadline,
    depth,
    loop,
    unknown_customer,
    unknown_method,
    internal_method,
    unknown_token,
    no_upstream,
    backend_unreachable,
    backend_failed,
    peer_lost,
    cancelled,
    duplicate,
    ticket_required,
    ticket_invalid,
    ticket_mismatch,
    ticket_expired,
    ticket_owner_gone,
    ticket_already_run,
    ticket_memory_full,
    repeatable_parent, ///< A non-idempotent call made by an idempotent
                       ///< request.
    malformed,
    no_route,
    wrong_instance,  ///< Another backend server has the address.
    backend_refused, ///< The backend server refused the request as overloaded.
    invalid_answer,  ///< The answer could not be verified to be complete.
    timeout,         ///< The timeout of the route expired.
    retry_budget,    ///< The retry budget of the service is exhausted.
    rate_limit,      ///< The backend server announced a rate limit.
    quarantined,     ///< Backend servers ended while they ran the request.
    unknown_key,     ///< No organisation holds the key of the request.
    /// The node cannot show that the keys that it knows are still valid.
    stale_configuration,
    allowance, ///< The organisation has used its allowance.
    last = allowance
};

std::string_view to_string(outcome value);
std::string_view to_string(reason value);

/// @brief The result of one call, returned to its sender.
struct answer
{
    outcome result{outcome::answered};
    engine::reason reason{engine::reason::none};
    http_response response;
    std::uint32_t credits_unspent{0}; ///< Retry credits to return.
    /// Admission levels of the answering service and its downstream services.
    std::vector<service_level> levels;
    bool elsewhere_may_help{false}; ///< Another instance may accept the call.
    duration retry_after{};
    bool leaving{false};
    upstream_load load;
    std::string next_ticket; ///< For the caller's next request.
};

/// @brief Makes the answer to a request that was refused and has not run.
answer make_refusal(reason cause, bool elsewhere_may_help = false);

/// @brief Makes the answer to a request that may have run.
answer make_unknown_outcome(reason cause);

/// @brief Makes the answer to an invalid request.
answer make_rejection(reason cause);

} // namespace jujubespan::engine

#endif
