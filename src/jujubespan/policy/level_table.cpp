#include "jujubespan/policy/level_table.hpp"

#include <algorithm>
#include <cmath>

namespace jujubespan
{

namespace
{

constexpr duration level_lifetime = std::chrono::seconds(1);
// A stale level doubles its rise in each of these.
constexpr duration probe_interval = std::chrono::milliseconds(100);
constexpr duration forget_after = std::chrono::minutes(1);
constexpr double new_weight = 0.3;

} // namespace

void level_table::learn(std::string_view method, std::string_view callee,
                        shed_level level, time_point now)
{
    auto& entries = methods_[std::string(method)];
    const auto found = entries.find(callee);
    if (found == entries.end())
    {
        entries.emplace(callee, learned{static_cast<double>(level), now});
        return;
    }
    const double before = effective(found->second, now);
    found->second.level = before + new_weight * (level - before);
    found->second.at = now;
}

shed_level level_table::effective(const learned& entry, time_point now)
{
    const duration age = now - entry.at;
    if (age <= level_lifetime)
    {
        return static_cast<shed_level>(std::lround(entry.level));
    }
    const double steps =
        seconds(age - level_lifetime) / seconds(probe_interval);
    const double raised = entry.level + std::exp2(std::min(steps, 16.0)) - 1;
    return static_cast<shed_level>(std::min<double>(raised, open_level));
}

shed_level level_table::level(std::string_view method, time_point now) const
{
    const auto found = methods_.find(method);
    if (found == methods_.end())
    {
        return open_level;
    }
    shed_level lowest = open_level;
    for (const auto& [callee, entry] : found->second)
    {
        lowest = std::min(lowest, effective(entry, now));
    }
    return lowest;
}

void level_table::expire(time_point now)
{
    for (auto& [method, entries] : methods_)
    {
        std::erase_if(entries, [now](const auto& item)
                      { return now - item.second.at > forget_after; });
    }
    std::erase_if(methods_,
                  [](const auto& item) { return item.second.empty(); });
}

} // namespace jujubespan
