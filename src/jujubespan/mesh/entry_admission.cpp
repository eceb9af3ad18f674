#include "jujubespan/mesh/entry_admission.hpp"

#include <algorithm>
#include <numeric>

namespace jujubespan::mesh
{

namespace
{

constexpr duration update_interval = std::chrono::milliseconds(50);
// A pressure that was not updated for this time is ignored.
constexpr duration pressure_lifetime = std::chrono::milliseconds(1000);
constexpr double pressure_weight = 0.25; // weight of one report
constexpr double demand_weight = 0.06;   // weight of one interval
// Setpoint of the control of the admitted share.
constexpr double target_pressure = 1.2;
// Delay between admission and its effect on the pressure, in intervals:
// requests reach services further down the call graph late.
constexpr double feedback_delay_intervals = 10;
// Share of the difference between the admitted share and its target that is
// corrected in one interval.
constexpr double gain = 0.2;
constexpr double max_growth_factor = 1.15; // per interval
constexpr double recovery_step = 0.05;     // per interval without a report
constexpr double min_pressure = 0.05;
// Upper bound of the pressure in the control of the admitted share. A pressure
// above it only means that the queue is longer, not that the admitted share was
// higher.
constexpr double max_pressure = 1.6;
// At this pressure most of the callers of the service cannot reach any of its
// instances.
constexpr double unreachable_pressure = 4;
constexpr double min_admitted_share = 0.05;
// Routes with less demand than this, in slot-seconds per interval, are
// removed.
constexpr double min_route_demand = 1e-6;
// Part of a route's room that is divided among its organisations with equal
// weights. A node sees the requests of the few clients on its machine: an
// organisation with few clients may send all its requests to this node, but one
// with many clients sends only a part of them. With the rates of the allowances
// alone as weights, the former would be refused although it offers little.
constexpr double equal_part = 0.5;
// Lower pressures are not reported, since callers need not react to them.
constexpr double min_reported_pressure = 0.5;

} // namespace

void entry_admission::pressure_estimate::update(double value, time_point now)
{
    const bool stale = now - updated_at > pressure_lifetime;
    pressure = stale ? value : pressure + pressure_weight * (value - pressure);
    updated_at = now;
}

void entry_admission::on_pressure(std::string_view service, double pressure,
                                  time_point now)
{
    services_[std::string(service)].estimate.update(pressure, now);
}

void entry_admission::on_downstream_pressure(std::string_view service,
                                             double pressure, time_point now)
{
    on_pressure(service, pressure, now);
    downstream_estimates_[std::string(service)].update(pressure, now);
}

entry_admission::route_demand&
entry_admission::find_or_add_demand(class_demand& demand,
                                    std::string_view route)
{
    const auto found = std::find_if(demand.begin(), demand.end(),
                                    [route](const route_demand& item)
                                    { return item.route == route; });
    if (found != demand.end())
    {
        return *found;
    }
    auto& added = demand.emplace_back();
    added.route = route;
    return added;
}

entry_admission::sender_demand&
entry_admission::find_or_add_sender(route_demand& demand, request_sender sender)
{
    auto& senders = demand.senders;
    auto found =
        std::find_if(senders.begin(), senders.end(),
                     [&sender](const sender_demand& item)
                     { return item.organisation == sender.organisation; });
    if (found == senders.end())
    {
        found =
            senders.insert(senders.end(), {std::string(sender.organisation)});
    }
    found->rate = sender.rate; // Rates change with the configuration.
    return *found;
}

std::optional<admission_refusal> entry_admission::check_request(
    std::string_view route, std::span<const service_cost> costs, shed_key key,
    time_point now, request_sender sender)
{
    const auto cls = static_cast<std::size_t>(class_of(key));
    const double position =
        static_cast<double>(key % keys_per_class) / keys_per_class;
    std::optional<admission_refusal> refusal;
    if (!mechanisms_.enabled(mechanism::entry_admission))
    {
        return refusal;
    }
    for (const auto& cost : costs)
    {
        auto& state = services_[cost.service];
        auto& demand = find_or_add_demand(state.demand[cls], route);
        demand.offered += cost.slot_seconds;
        double share = demand.share;
        if (!sender.organisation.empty())
        {
            auto& sender_demand = find_or_add_sender(demand, sender);
            sender_demand.offered += cost.slot_seconds;
            share = sender_demand.share;
        }
        if (state.estimate.pressure >= unreachable_pressure)
        {
            share = min_admitted_share;
        }
        const bool is_lower = !refusal || share < refusal->admitted_share;
        if (position >= share && is_lower)
        {
            refusal = {cost.service, state.estimate.pressure,
                       now - state.estimate.updated_at, share};
        }
    }
    return refusal;
}

void entry_admission::update_demand(service_state& state)
{
    // Routes and organisations change with the configuration.
    const auto update = [](auto& items)
    {
        for (auto& item : items)
        {
            item.demand += demand_weight * (item.offered - item.demand);
            item.offered = 0;
        }
        std::erase_if(items, [](const auto& item)
                      { return item.demand < min_route_demand; });
    };
    for (auto& routes : state.demand)
    {
        update(routes);
        for (auto& item : routes)
        {
            update(item.senders);
        }
    }
}

// Max-min fair allocation: each route gets an equal part of the budget, and
// what it does not need goes to the routes with more demand.
void entry_admission::allocate(class_demand& demand, double budget) const
{
    if (!mechanisms_.enabled(mechanism::route_fairness))
    {
        double total = 0;
        for (const auto& item : demand)
        {
            total += item.demand;
        }
        for (auto& item : demand)
        {
            item.share = total > 0 ? std::clamp(budget / total, 0.0, 1.0) : 1;
            allocate_to_senders(item);
        }
        return;
    }
    std::sort(demand.begin(), demand.end(),
              [](const route_demand& a, const route_demand& b)
              { return a.demand < b.demand; });
    double remaining = std::max(0.0, budget);
    std::size_t remaining_routes = demand.size();
    for (auto& item : demand)
    {
        const double part = std::min(
            item.demand, remaining / static_cast<double>(remaining_routes));
        item.share = item.demand > 0 ? part / item.demand : 1;
        remaining -= part;
        --remaining_routes;
        allocate_to_senders(item);
    }
}

// Requests without an organisation keep the share of the route.
void entry_admission::allocate_to_senders(route_demand& route)
{
    auto& senders = route.senders;
    if (senders.empty())
    {
        return;
    }
    double total_demand = 0;
    double total_rate = 0;
    std::size_t limited = 0;
    for (const auto& item : senders)
    {
        total_demand += item.demand;
        total_rate += item.rate;
        limited += item.rate > 0 ? 1 : 0;
    }
    // An organisation without a limit counts as one with the mean rate.
    const double mean_rate =
        limited > 0 ? total_rate / static_cast<double>(limited) : 1;
    const double room = route.share * total_demand;
    const double base = equal_part * room / static_cast<double>(senders.size());
    struct claim
    {
        sender_demand* sender;
        double weight;
        double part;
    };
    std::vector<claim> claims;
    double remaining = room;
    double remaining_weight = 0;
    for (auto& item : senders)
    {
        const double weight = item.rate > 0 ? item.rate : mean_rate;
        claims.push_back({&item, weight, std::min(item.demand, base)});
        remaining -= claims.back().part;
        remaining_weight += weight;
    }
    const auto unmet = [](const claim& item)
    { return item.sender->demand - item.part; };
    std::sort(claims.begin(), claims.end(),
              [&unmet](const claim& a, const claim& b)
              { return unmet(a) * b.weight < unmet(b) * a.weight; });
    for (auto& item : claims)
    {
        // At least its own weight, also after rounding.
        remaining_weight = std::max(remaining_weight, item.weight);
        const double added =
            std::min(unmet(item),
                     std::max(0.0, remaining) * item.weight / remaining_weight);
        remaining -= added;
        remaining_weight -= item.weight;
        item.sender->share =
            route.share >= 1 ? 1 : (item.part + added) / item.sender->demand;
    }
}

void entry_admission::update_share(service_state& state, time_point now) const
{
    update_demand(state);
    state.delayed_admitted_share +=
        (state.admitted_share - state.delayed_admitted_share) /
        feedback_delay_intervals;
    if (now - state.estimate.updated_at <= pressure_lifetime)
    {
        const double target_share =
            state.delayed_admitted_share * target_pressure /
            std::clamp(state.estimate.pressure, min_pressure, max_pressure);
        const double next =
            state.admitted_share + gain * (target_share - state.admitted_share);
        state.admitted_share =
            std::min(next, state.admitted_share * max_growth_factor);
    }
    else
    {
        state.estimate.pressure = 0;
        state.admitted_share += recovery_step;
    }
    state.admitted_share =
        std::clamp(state.admitted_share, min_admitted_share, 1.0);

    double total = 0;
    for (const auto& routes : state.demand)
    {
        total = std::accumulate(routes.begin(), routes.end(), total,
                                [](double sum, const route_demand& item)
                                { return sum + item.demand; });
    }
    double remaining = state.admitted_share * total;
    for (auto& routes : state.demand)
    {
        allocate(routes, remaining);
        for (const auto& item : routes)
        {
            remaining -= item.demand * item.share;
        }
    }
}

void entry_admission::on_tick(time_point now)
{
    if (now < next_update_)
    {
        return;
    }
    next_update_ = now + update_interval;
    for (auto& [service, state] : services_)
    {
        update_share(state, now);
    }
}

std::vector<service_pressure>
entry_admission::downstream_pressures(time_point now) const
{
    std::vector<service_pressure> result;
    if (!mechanisms_.enabled(mechanism::reported_pressure))
    {
        return result;
    }
    for (const auto& [service, item] : downstream_estimates_)
    {
        if (item.pressure >= min_reported_pressure &&
            now - item.updated_at <= pressure_lifetime)
        {
            result.push_back({service, item.pressure});
        }
    }
    return result;
}

double entry_admission::admitted_share(std::string_view service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? 1 : found->second.admitted_share;
}

} // namespace jujubespan::mesh
