#include "jujubespan/policy/mechanism.hpp"

#include <algorithm>
#include <array>

namespace jujubespan
{

namespace
{

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(mechanism::last)>
    names{"outlier_exclusion", "failure_cost",           "avoidance",
          "unresponsive_rule", "domain_preference",      "slow_down_factor",
          "latency_cost",      "reported_load",          "warm_up_cost",
          "restart_detection", "late_stop_announcement", "entry_admission",
          "class_order",       "route_fairness",         "reported_pressure",
          "guard_queue",       "queue_return",           "prioritized_calls",
          "retries",           "retry_suspension",       "retry_after_jitter"};

} // namespace

std::string_view to_string(mechanism value)
{
    return names.at(static_cast<std::size_t>(value));
}

std::optional<mechanism> parse_mechanism(std::string_view name)
{
    const auto* const found = std::find(names.begin(), names.end(), name);
    if (found == names.end())
    {
        return std::nullopt;
    }
    return static_cast<mechanism>(found - names.begin());
}

} // namespace jujubespan
