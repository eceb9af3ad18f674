#ifndef JUJUBESPAN_POLICY_MECHANISM_HPP
#define JUJUBESPAN_POLICY_MECHANISM_HPP

#include <bitset>
#include <cstdint>
#include <optional>
#include <string_view>

namespace jujubespan
{

/// @brief A part of the decisions about routed requests that can be disabled to
/// measure what it contributes.
enum class mechanism : std::uint8_t
{
    outlier_exclusion,      ///< Instances that fail often get only probes.
    failure_cost,           ///< Instances that fail cost more.
    avoidance,              ///< Pause after an instance was unreachable.
    unresponsive_rule,      ///< Silent instances are the last choice.
    domain_preference,      ///< Instances of this node's failure domain first.
    slow_down_factor,       ///< Use of the reported speed of a server.
    latency_cost,           ///< Instances with a longer latency cost more.
    reported_load,          ///< Use of the load that guards report.
    warm_up_cost,           ///< Starting backend servers cost more.
    restart_detection,      ///< A node's next process is used at once.
    late_stop_announcement, ///< A stopping node first serves other nodes.
    entry_admission,        ///< Refusals at the entry by pressure.
    class_order,            ///< Less urgent requests are refused first.
    route_fairness,         ///< Max-min shares of the routes of a class.
    reported_pressure,      ///< Pressures are reported up the call graph.
    guard_queue,            ///< Calls wait for a slot of the backend server.
    queue_return,           ///< A slow server's queue is returned to callers.
    prioritized_calls,      ///< Nested and short calls are queued first.
    retries,                ///< Attempts after one that may have run.
    retry_suspension,       ///< No retries to a service without budget.
    retry_after_jitter,     ///< Clients are asked back at different times.
    last                    ///< Number of mechanisms; not one itself.
};

/// @return the name of a mechanism as used in settings.
std::string_view to_string(mechanism value);

/// @return nothing if no mechanism has this name.
std::optional<mechanism> parse_mechanism(std::string_view name);

/// @brief The mechanisms in use; all unless disabled.
class mechanism_set
{
public:
    /// @return false if it was disabled before.
    bool disable(mechanism item)
    {
        const bool was_enabled = enabled(item);
        disabled_.set(static_cast<std::size_t>(item));
        return was_enabled;
    }

    [[nodiscard]] bool enabled(mechanism item) const
    {
        return !disabled_.test(static_cast<std::size_t>(item));
    }

    bool operator==(const mechanism_set&) const = default;

private:
    std::bitset<static_cast<std::size_t>(mechanism::last)> disabled_;
};

} // namespace jujubespan

#endif
