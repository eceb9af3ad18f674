#include "jujubespan/engine/answer.hpp"

#include <array>

namespace jujubespan::engine
{

namespace
{

constexpr std::array<std::string_view, 4> outcome_names{"answered", "not-run",
                                                        "unknown", "rejected"};

constexpr std::array reason_names = std::to_array<std::string_view>({
    "none",
    "overload",
    "downstream-overload",
    "queue-full",
    "in-flight-bound",
    "customer-limit",
    "caller-retries",
    "leaving",
    "no-configuration",
    "deadline",
    "depth",
    "loop",
    "unknown-customer",
    "unknown-method",
    "internal-method",
    "unknown-token",
    "no-upstream",
    "backend-unreachable",
    "backend-failed",
    "peer-lost",
    "cancelled",
    "duplicate",
    "ticket-required",
    "ticket-invalid",
    "ticket-mismatch",
    "ticket-expired",
    "ticket-owner-gone",
    "ticket-already-run",
    "ticket-memory-full",
    "repeatable-parent",
    "malformed",
    "no-route",
    "wrong-instance",
    "backend-refused",
    "invalid-answer",
    "timeout",
    "retry-budget",
    "rate-limit",
    "quarantined",
    "unknown-key",
    "stale-configuration",
    "allowance",
});
static_assert(reason_names.size() ==
              static_cast<std::size_t>(reason::last) + 1);

answer make_answer(outcome result, reason cause)
{
    answer new_answer;
    new_answer.result = result;
    new_answer.reason = cause;
    return new_answer;
}

} // namespace

std::string_view to_string(outcome value)
{
    return outcome_names[static_cast<std::size_t>(value)];
}

std::string_view to_string(reason value)
{
    return reason_names[static_cast<std::size_t>(value)];
}

answer make_refusal(reason cause, bool elsewhere_may_help)
{
    answer refusal = make_answer(outcome::not_run, cause);
    refusal.elsewhere_may_help = elsewhere_may_help;
    return refusal;
}

answer make_unknown_outcome(reason cause)
{
    return make_answer(outcome::unknown, cause);
}

answer make_rejection(reason cause)
{
    return make_answer(outcome::rejected, cause);
}

} // namespace jujubespan::engine
