#include "jujubespan/mesh/repeat_allowance.hpp"

namespace jujubespan::mesh
{

namespace
{

// Part of the budget that is used; the rest covers arrivals that are counted
// at the backend server in another window than here.
constexpr double used_share = 0.8;
// Guards that may exist beside those that are listed, as a factor.
constexpr double unlisted_guards = 1.25;
// Time for which the largest number of guards seen is kept.
constexpr duration remember_guards = std::chrono::seconds(60);
// Events closer together than this are counted as one.
constexpr duration event_interval = std::chrono::milliseconds(100);
// Repeats may wait for a slot after they are paid for.
constexpr duration window_margin = std::chrono::milliseconds(1500);
// Part of the budget that calls of repeated runs leave untouched.
constexpr double kept_for_attempts = 0.5;

} // namespace

repeat_allowance::repeat_allowance(retry_budget_options terms, bool fresh_fleet,
                                   time_point now)
    : terms_(terms), fresh_fleet_(fresh_fleet), started_(now)
{
}

void repeat_allowance::on_guards(std::size_t guards, time_point now)
{
    if (guards >= guards_ || now - guards_at_ > remember_guards)
    {
        guards_ = guards;
        guards_at_ = now;
    }
}

void repeat_allowance::sliding_sum::add(time_point now)
{
    if (events.empty() || now - events.back().at > event_interval)
    {
        events.push_back({now, 0});
    }
    events.back().amount += 1;
    sum += 1;
}

void repeat_allowance::sliding_sum::expire(time_point before)
{
    while (!events.empty() && events.front().at < before)
    {
        sum -= events.front().amount;
        events.pop_front();
    }
}

void repeat_allowance::on_client_request(time_point now)
{
    requests_.add(now);
    requests_.expire(now - terms_.window);
}

double repeat_allowance::budget(time_point now)
{
    requests_.expire(now - terms_.window);
    const bool slack_known =
        guards_ > 0 && (fresh_fleet_ || now - started_ >= terms_.window);
    const double slack =
        slack_known
            ? terms_.slack / (static_cast<double>(guards_) * unlisted_guards)
            : 0;
    return used_share * (terms_.ratio * requests_.sum + slack);
}

double repeat_allowance::left(time_point now)
{
    spent_.expire(now - terms_.window - window_margin);
    return budget(now) - spent_.sum;
}

bool repeat_allowance::spend(retry_cause cause, time_point now)
{
    const double kept =
        cause == retry_cause::caller ? kept_for_attempts * budget(now) : 0;
    if (left(now) < 1 + kept)
    {
        return false;
    }
    spent_.add(now);
    return true;
}

} // namespace jujubespan::mesh
