#include "jujubespan/mesh/guard_retry_budget.hpp"

#include <algorithm>

namespace jujubespan::mesh
{

namespace
{

// Weights of the client requests of a window, and of those of the window before
// it. The rest of the budget covers calls that wait for a slot, so that the
// backend server counts them in a later window than the guard.
constexpr double weight_in_window = 0.4;
constexpr double weight_before = 0.5;
constexpr double spendable_share = weight_in_window + weight_before;
// Weight of the client requests of the first window of a fleet, before which
// there was none.
constexpr double weight_in_first_window = 0.6;
// Largest expected ratio of the existing guards to the listed ones.
constexpr double unlisted_guard_factor = 1.25;
// Time for which the largest number of guards is kept.
constexpr duration guard_count_lifetime = std::chrono::seconds(60);
constexpr duration snapshot_interval = std::chrono::milliseconds(250);
// Share of what may be spent at once that calls made by retried requests must
// leave.
constexpr double reserved_for_attempts = 0.5;

} // namespace

guard_retry_budget::guard_retry_budget(retry_budget_options options,
                                       bool fleet_starting, time_point now)
    : options_(options), fleet_starting_(fleet_starting),
      started_at_(now), snapshots_{{now}}
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

void guard_retry_budget::add_snapshot(time_point now)
{
    if (now - snapshots_.back().at < snapshot_interval)
    {
        return;
    }
    snapshots_.push_back({now, requests_, spent_});
    const auto oldest = now - 2 * options_.window - 2 * snapshot_interval;
    while (snapshots_.front().at < oldest)
    {
        snapshots_.pop_front();
    }
}

void guard_retry_budget::record_client_request(time_point now)
{
    add_snapshot(now);
    requests_ += 1;
}

bool guard_retry_budget::is_first_window(time_point now) const
{
    return now - started_at_ < options_.window;
}

double guard_retry_budget::slack(time_point now) const
{
    if (guard_count_ == 0 || (!fleet_starting_ && is_first_window(now)))
    {
        return 0;
    }
    return spendable_share * options_.slack /
           (static_cast<double>(guard_count_) * unlisted_guard_factor);
}

double guard_retry_budget::requests_before(const snapshot& until) const
{
    const auto first = std::lower_bound(
        snapshots_.begin(), snapshots_.end(), until.at - options_.window,
        [](const snapshot& item, time_point at) { return item.at < at; });
    return until.requests - first->requests;
}

double guard_retry_budget::remaining_since(const snapshot& begin) const
{
    return options_.ratio * (weight_in_window * (requests_ - begin.requests) +
                             weight_before * requests_before(begin)) -
           (spent_ - begin.spent);
}

double guard_retry_budget::remaining(time_point now)
{
    if (fleet_starting_ && is_first_window(now))
    {
        return weight_in_first_window * options_.ratio * requests_ +
               slack(now) - spent_;
    }
    add_snapshot(now);
    double result = remaining_since({now, requests_, spent_});
    for (auto begin = snapshots_.rbegin(); begin != snapshots_.rend(); ++begin)
    {
        result = std::min(result, remaining_since(*begin));
        if (begin->at < now - options_.window)
        {
            break;
        }
    }
    return result + slack(now);
}

double guard_retry_budget::most_at_once(time_point now) const
{
    return weight_before * options_.ratio *
               requests_before({now, requests_, spent_}) +
           slack(now);
}

bool guard_retry_budget::try_spend(retry_cause cause, time_point now)
{
    add_snapshot(now);
    const double reserved = cause == retry_cause::caller
                                ? reserved_for_attempts * most_at_once(now)
                                : 0;
    if (remaining(now) < 1 + reserved)
    {
        return false;
    }
    spent_ += 1;
    return true;
}

} // namespace jujubespan::mesh
