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
// Pressures below this need no reaction from callers.
constexpr double reported_pressure = 0.5;

} // namespace

void entry_admission::on_pressure(std::string_view service, double pressure,
                                  time_point now)
{
    auto& state = services_[std::string(service)];
    const bool stale = now - state.heard > pressure_lifetime;
    state.pressure =
        stale ? pressure
              : state.pressure + pressure_weight * (pressure - state.pressure);
    state.heard = now;
}

double entry_admission::share_of(const service_state& state, std::size_t cls)
{
    if (state.pressure >= unreachable_pressure)
    {
        return least_admitted;
    }
    if (state.admitted >= 1)
    {
        return 1;
    }
    const double total =
        std::accumulate(state.demand.begin(), state.demand.end(), 0.0);
    double left = state.admitted * total;
    for (std::size_t i = 0; i < cls; ++i)
    {
        left -= state.demand[i];
    }
    return state.demand[cls] > 0
               ? std::clamp(left / state.demand[cls], 0.0, 1.0)
               : 1;
}

std::optional<admission_refusal>
entry_admission::check(std::span<const service_cost> costs, shed_key key,
                       time_point now)
{
    const auto cls = static_cast<std::size_t>(class_of(key));
    const double position =
        static_cast<double>(key % keys_per_class) / keys_per_class;
    std::optional<admission_refusal> refusal;
    for (const auto& cost : costs)
    {
        auto& state = services_[cost.service];
        state.offered[cls] += cost.busy;
        const double share = share_of(state, cls);
        const bool tighter = !refusal || share < refusal->admitted;
        if (position >= share && tighter)
        {
            refusal = {cost.service, state.pressure, now - state.heard, share};
        }
    }
    return refusal;
}

void entry_admission::adjust(service_state& state, time_point now)
{
    for (std::size_t i = 0; i < request_class_count; ++i)
    {
        state.demand[i] += demand_weight * (state.offered[i] - state.demand[i]);
    }
    state.offered.fill(0);
    state.admitted_before +=
        (state.admitted - state.admitted_before) / delay_intervals;
    if (now - state.heard <= pressure_lifetime)
    {
        const double wanted =
            state.admitted_before * target_pressure /
            std::clamp(state.pressure, lowest_pressure, highest_pressure);
        const double next = state.admitted + gain * (wanted - state.admitted);
        state.admitted = std::min(next, state.admitted * most_growth);
    }
    else
    {
        state.pressure = 0;
        state.admitted += recovery;
    }
    state.admitted = std::clamp(state.admitted, least_admitted, 1.0);
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
    for (const auto& [service, state] : services_)
    {
        if (state.pressure >= reported_pressure &&
            now - state.heard <= pressure_lifetime)
        {
            result.push_back({service, state.pressure});
        }
    }
    return result;
}

double entry_admission::admitted(std::string_view service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? 1 : found->second.admitted;
}

void entry_admission::reset()
{
    for (auto& [service, state] : services_)
    {
        state.pressure = 0;
        state.heard = {};
    }
}

} // namespace jujubespan::mesh
