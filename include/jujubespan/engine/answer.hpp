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

/// @brief What became of a request; callers can tell these apart.
enum class outcome : std::uint8_t
{
    answered, ///< The backend server's whole answer.
    not_run,  ///< Refused; no backend server was sent any of it.
    unknown,  ///< May have run.
    rejected  ///< The request itself is wrong; it was not run.
};

/// @brief Why a request was not answered.
enum class reason : std::uint8_t
{
    none,
    overload,            ///< Above the admission level of this service.
    downstream_overload, ///< Above the level of a service behind this one.
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
    repeatable_parent, ///< Not idempotent, below an idempotent request.
    malformed,
    no_route,
    wrong_instance,  ///< Another backend server has the address.
    backend_refused, ///< The backend server itself had no room.
    invalid_answer,  ///< Not the whole answer of the backend server.
    timeout,         ///< The route's own timeout passed.
    retry_budget,    ///< A repeat for which the service has no budget left.
    last = retry_budget
};

std::string_view to_string(outcome value);
std::string_view to_string(reason value);

/// @brief The result of one call, on its way back.
struct answer
{
    outcome result{outcome::answered};
    engine::reason reason{engine::reason::none};
    http_response response;
    std::uint32_t credits_unspent{0};
    std::vector<service_level> levels; ///< Of the subtree that answered.
    bool elsewhere_may_help{false};
    duration retry_after{};
    bool leaving{false};
    upstream_load load;
    std::string next_ticket; ///< For the caller's next request.
};

/// @brief A refusal of a request that was not run.
answer make_refusal(reason why, bool elsewhere_may_help = false);

/// @brief A request that may have run.
answer make_unknown_outcome(reason why);

/// @brief A request that is wrong.
answer make_rejection(reason why);

} // namespace jujubespan::engine

#endif
