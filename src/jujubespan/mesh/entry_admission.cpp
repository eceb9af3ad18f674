#include "jujubespan/mesh/entry_admission.hpp"

#include <algorithm>
#include <numeric>

namespace jujubespan::mesh
{

namespace
{

constexpr duration interval = std::chrono::milliseconds(50);
// Pressure without news for this long no longer holds.
constexpr duration pressure_lifetime = std::chrono::milliseconds(1000);
constexpr double pressure_weight = 0.25; // of one report
constexpr double demand_weight = 0.06;   // of one interval
// Pressure that the admitted share is steered to.
constexpr double target_pressure = 1.2;
// The pressure of now follows from what was admitted about this long ago;
// requests reach the services behind their first one late.
constexpr double delay_intervals = 10;
// Part of the way to the wanted share that is gone in one interval.
constexpr double gain = 0.2;
constexpr double most_growth = 1.15; // factor in one interval
constexpr double recovery = 0.05;    // in one interval without news
constexpr double lowest_pressure = 0.05;
// A longer queue does not mean that more was admitted too much.
constexpr double highest_pressure = 1.6;
// Most of those that call the service cannot reach any instance.
constexpr double unreachable_pressure = 4;
constexpr double least_admitted = 0.05;
// A route with less demand than this, in slot-seconds of an interval, is
// forgotten.
constexpr double forgotten_demand = 1e-6;
// Pressures below this need no reaction from callers.
constexpr double reported_pressure = 0.5;

} // namespace

void entry_admission::news::learn(double value, time_point now)
{
    const bool stale = now - heard > pressure_lifetime;
    pressure = stale ? value : pressure + pressure_weight * (value - pressure);
    heard = now;
}

void entry_admission::on_pressure(std::string_view service, double pressure,
                                  time_point now)
{
    services_[std::string(service)].told.learn(pressure, now);
}

void entry_admission::on_pressure_behind(std::string_view service,
                                         double pressure, time_point now)
{
    on_pressure(service, pressure, now);
    behind_[std::string(service)].learn(pressure, now);
}

entry_admission::route_demand&
entry_admission::demand_of(class_demand& demand, std::string_view route)
{
    const auto found = std::find_if(demand.begin(), demand.end(),
                                    [route](const route_demand& item)
                                    { return item.route == route; });
    if (found != demand.end())
    {
        return *found;
    }
    demand.push_back({std::string(route)});
    return demand.back();
}

std::optional<admission_refusal>
entry_admission::check(std::string_view route,
                       std::span<const service_cost> costs, shed_key key,
                       time_point now)
{
    const auto cls = static_cast<std::size_t>(class_of(key));
    const double position =
        static_cast<double>(key % keys_per_class) / keys_per_class;
    std::optional<admission_refusal> refusal;
    for (const auto& cost : costs)
    {
        auto& state = services_[cost.service];
        auto& demand = demand_of(state.demand[cls], route);
        demand.offered += cost.slot_seconds;
        const double share = state.told.pressure >= unreachable_pressure
                                 ? least_admitted
                                 : demand.share;
        const bool tighter = !refusal || share < refusal->admitted;
        if (position >= share && tighter)
        {
            refusal = {cost.service, state.told.pressure,
                       now - state.told.heard, share};
        }
    }
    return refusal;
}

void entry_admission::measure(service_state& state)
{
    for (auto& routes : state.demand)
    {
        for (auto& item : routes)
        {
            item.demand += demand_weight * (item.offered - item.demand);
            item.offered = 0;
        }
        // Routes come and go with the configuration.
        std::erase_if(routes, [](const route_demand& item)
                      { return item.demand < forgotten_demand; });
    }
}

// Gives each route an equal part of the budget; what a route does not need
// goes to those that ask for more.
void entry_admission::divide(class_demand& demand, double budget)
{
    std::sort(demand.begin(), demand.end(),
              [](const route_demand& a, const route_demand& b)
              { return a.demand < b.demand; });
    double left = std::max(0.0, budget);
    std::size_t waiting = demand.size();
    for (auto& item : demand)
    {
        const double part =
            std::min(item.demand, left / static_cast<double>(waiting));
        item.share = item.demand > 0 ? part / item.demand : 1;
        left -= part;
        --waiting;
    }
}

void entry_admission::adjust(service_state& state, time_point now)
{
    measure(state);
    state.admitted_before +=
        (state.admitted - state.admitted_before) / delay_intervals;
    if (now - state.told.heard <= pressure_lifetime)
    {
        const double wanted =
            state.admitted_before * target_pressure /
            std::clamp(state.told.pressure, lowest_pressure, highest_pressure);
        const double next = state.admitted + gain * (wanted - state.admitted);
        state.admitted = std::min(next, state.admitted * most_growth);
    }
    else
    {
        state.told.pressure = 0;
        state.admitted += recovery;
    }
    state.admitted = std::clamp(state.admitted, least_admitted, 1.0);

    double total = 0;
    for (const auto& routes : state.demand)
    {
        total = std::accumulate(routes.begin(), routes.end(), total,
                                [](double sum, const route_demand& item)
                                { return sum + item.demand; });
    }
    double left = state.admitted * total;
    for (auto& routes : state.demand)
    {
        divide(routes, left);
        for (const auto& item : routes)
        {
            left -= item.demand * item.share;
        }
    }
}

void entry_admission::on_tick(time_point now)
{
    if (now < next_)
    {
        return;
    }
    next_ = now + interval;
    for (auto& [service, state] : services_)
    {
        adjust(state, now);
    }
}

std::vector<service_pressure> entry_admission::report(time_point now) const
{
    std::vector<service_pressure> result;
    for (const auto& [service, item] : behind_)
    {
        if (item.pressure >= reported_pressure &&
            now - item.heard <= pressure_lifetime)
        {
            result.push_back({service, item.pressure});
        }
    }
    return result;
}

double entry_admission::admitted(std::string_view service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? 1 : found->second.admitted;
}

} // namespace jujubespan::mesh
