#include "jujubespan/mesh/route_costs.hpp"

#include <algorithm>

namespace jujubespan::mesh
{

namespace
{

constexpr double smoothing_weight = 0.05; // weight of one request

service_cost* find_cost(std::span<service_cost> list, std::string_view service)
{
    const auto found = std::find_if(list.begin(), list.end(),
                                    [service](const service_cost& item)
                                    { return item.service == service; });
    return found == list.end() ? nullptr : &*found;
}

} // namespace

void add_cost(std::vector<service_cost>& list, const service_cost& cost)
{
    if (service_cost* known = find_cost(list, cost.service))
    {
        known->arrivals += cost.arrivals;
        known->slot_seconds += cost.slot_seconds;
        return;
    }
    list.push_back(cost);
}

void route_costs::record(std::string_view route,
                         std::span<const service_cost> observed)
{
    const auto [entry, added] = costs_.try_emplace(
        std::string(route), observed.begin(), observed.end());
    if (added)
    {
        return;
    }
    auto& costs = entry->second;
    for (auto& known : costs)
    {
        known.arrivals -= smoothing_weight * known.arrivals;
        known.slot_seconds -= smoothing_weight * known.slot_seconds;
    }
    for (const auto& item : observed)
    {
        add_cost(costs, {item.service, smoothing_weight * item.arrivals,
                         smoothing_weight * item.slot_seconds});
    }
}

std::span<const service_cost>
route_costs::mean_costs(std::string_view route) const
{
    const auto found = costs_.find(route);
    return found == costs_.end() ? std::span<const service_cost>()
                                 : std::span(found->second);
}

} // namespace jujubespan::mesh
