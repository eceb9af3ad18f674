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
// Between these pressures the share stays as it is.
constexpr double high_pressure = 0.93;
constexpr double low_pressure = 0.88;
// Change in one interval: the shrinking grows with the excess, up to its
// range.
constexpr double shrink = 0.06;
constexpr double shrink_range = 0.15;
constexpr double grow = 0.02;
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
                       time_point /*now*/)
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
            refusal = {cost.service, state.pressure, share};
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
    const bool known = now - state.heard <= pressure_lifetime;
    if (known && state.pressure > high_pressure)
    {
        const double excess =
            std::min(1.0, (state.pressure - high_pressure) / shrink_range);
        state.admitted -= state.admitted * shrink * excess;
    }
    else if (!known || state.pressure < low_pressure)
    {
        state.admitted += grow;
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
