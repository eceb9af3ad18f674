#include "jujubespan/mesh/guard_retry_budget.hpp"

namespace jujubespan::mesh
{

namespace
{

// Share of the budget that is spent. The rest covers calls that the backend
// server counts in a different window than the guard.
constexpr double spendable_share = 0.8;
// Largest expected ratio of the existing guards to the listed ones.
constexpr double unlisted_guard_factor = 1.25;
// Time for which the largest number of guards is kept.
constexpr duration guard_count_lifetime = std::chrono::seconds(60);
// Events closer together than this are merged.
constexpr duration event_resolution = std::chrono::milliseconds(100);
// Spent retries stay counted for this time beyond the window, since
// their calls may wait for a slot.
constexpr duration spent_window_margin = std::chrono::milliseconds(1500);
// Share of the budget that calls made by retried requests must leave.
constexpr double reserved_for_attempts = 0.5;

} // namespace

guard_retry_budget::guard_retry_budget(retry_budget_options options,
                                       bool fleet_starting, time_point now)
    : options_(options), fleet_starting_(fleet_starting), started_at_(now)
{
}

void guard_retry_budget::set_guard_count(std::size_t guard_count,
                                         time_point now)
{
    if (guard_count >= guard_count_ ||
        now - guard_count_at_ > guard_count_lifetime)
    {
        guard_count_ = guard_count;
        guard_count_at_ = now;
    }
}

void guard_retry_budget::sliding_sum::add(time_point now)
{
    if (events.empty() || now - events.back().at > event_resolution)
    {
        events.push_back({now, 0});
    }
    events.back().amount += 1;
    sum += 1;
}

void guard_retry_budget::sliding_sum::expire(time_point before)
{
    while (!events.empty() && events.front().at < before)
    {
        sum -= events.front().amount;
        events.pop_front();
    }
}

void guard_retry_budget::record_client_request(time_point now)
{
    requests_.add(now);
    requests_.expire(now - options_.window);
}

double guard_retry_budget::budget(time_point now)
{
    requests_.expire(now - options_.window);
    const bool slack_available =
        guard_count_ > 0 &&
        (fleet_starting_ || now - started_at_ >= options_.window);
    const double slack =
        slack_available ? options_.slack / (static_cast<double>(guard_count_) *
                                            unlisted_guard_factor)
                        : 0;
    return spendable_share * (options_.ratio * requests_.sum + slack);
}

double guard_retry_budget::remaining(time_point now)
{
    spent_.expire(now - options_.window - spent_window_margin);
    return budget(now) - spent_.sum;
}

bool guard_retry_budget::try_spend(retry_cause cause, time_point now)
{
    const double reserved =
        cause == retry_cause::caller ? reserved_for_attempts * budget(now) : 0;
    if (remaining(now) < 1 + reserved)
    {
        return false;
    }
    spent_.add(now);
    return true;
}

} // namespace jujubespan::mesh
