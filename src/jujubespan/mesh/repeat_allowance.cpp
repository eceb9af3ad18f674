#include "jujubespan/mesh/repeat_allowance.hpp"

#include <algorithm>

namespace jujubespan::mesh
{

namespace
{

// Part of the budget that is used; the rest covers arrivals that are counted
// at the backend server in another window than here.
constexpr double used_share = 0.7;
// Nodes that may exist beside those that are listed, as a factor.
constexpr double unlisted_nodes = 1.25;
// Time for which the largest number of nodes seen is kept.
constexpr duration remember_size = std::chrono::seconds(60);
// Events closer together than this are counted as one.
constexpr duration event_interval = std::chrono::milliseconds(100);
// Repeats arrive a little after they are paid for.
constexpr duration window_margin = std::chrono::milliseconds(1500);

} // namespace

repeat_allowance::repeat_allowance(repeat_terms terms, bool fresh_fleet,
                                   time_point now)
    : terms_(terms), fresh_fleet_(fresh_fleet), started_(now)
{
}

void repeat_allowance::on_fleet_size(std::size_t nodes, time_point now)
{
    if (nodes >= nodes_ || now - nodes_at_ > remember_size)
    {
        nodes_ = nodes;
        nodes_at_ = now;
    }
}

void repeat_allowance::add(std::deque<event>& events, double& sum,
                           double amount, time_point now)
{
    if (events.empty() || now - events.back().at > event_interval)
    {
        events.push_back({now, 0});
    }
    events.back().amount += amount;
    sum += amount;
}

void repeat_allowance::expire(std::deque<event>& events, double& sum,
                              time_point before)
{
    while (!events.empty() && events.front().at < before)
    {
        sum -= events.front().amount;
        events.pop_front();
    }
    if (events.empty())
    {
        sum = 0;
    }
}

void repeat_allowance::on_client_request(std::string_view service,
                                         time_point now)
{
    auto& entry = accounts_[std::string(service)];
    add(entry.requests, entry.requests_sum, 1, now);
    expire(entry.requests, entry.requests_sum, now - terms_.window);
}

double repeat_allowance::left(std::string_view service, time_point now)
{
    auto& entry = accounts_[std::string(service)];
    expire(entry.requests, entry.requests_sum, now - terms_.window);
    expire(entry.spent, entry.spent_sum, now - terms_.window - window_margin);
    const bool slack_known =
        nodes_ > 0 && (fresh_fleet_ || now - started_ >= terms_.window);
    const double slack =
        slack_known
            ? terms_.slack / (static_cast<double>(nodes_) * unlisted_nodes)
            : 0;
    return used_share * (terms_.ratio * entry.requests_sum + slack) -
           entry.spent_sum;
}

bool repeat_allowance::spend(std::span<const service_cost> costs,
                             time_point now)
{
    const bool room =
        std::all_of(costs.begin(), costs.end(),
                    [&](const service_cost& cost)
                    { return left(cost.service, now) >= cost.arrivals; });
    if (!room)
    {
        return false;
    }
    for (const auto& cost : costs)
    {
        charge(cost.service, cost.arrivals, now);
    }
    return true;
}

void repeat_allowance::charge(std::string_view service, double arrivals,
                              time_point now)
{
    auto& entry = accounts_[std::string(service)];
    add(entry.spent, entry.spent_sum, arrivals, now);
}

} // namespace jujubespan::mesh
