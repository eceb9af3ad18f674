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
constexpr double new_weight = 0.5;
// Levels passed on in one reply, at the most.
constexpr std::size_t max_reported = 16;
constexpr double longest_rise = 16; // doublings

} // namespace

void level_table::learn(std::string_view method,
                        std::span<const service_level> reported, time_point now)
{
    if (reported.empty())
    {
        return;
    }
    auto& reaches = methods_[std::string(method)];
    for (const auto& item : reported)
    {
        reaches[item.service] = now;
        const auto [entry, added] =
            services_.try_emplace(item.service, learned{});
        auto& known = entry->second;
        const double before = added ? item.level : effective(known, now);
        known.level = before + new_weight * (item.level - before);
        known.at = now;
    }
}

admission_level level_table::effective(const learned& entry, time_point now)
{
    const duration age = now - entry.at;
    if (age <= level_lifetime)
    {
        return static_cast<admission_level>(std::lround(entry.level));
    }
    const double steps =
        seconds(age - level_lifetime) / seconds(probe_interval);
    const double raised =
        entry.level + std::exp2(std::min(steps, longest_rise)) - 1;
    return static_cast<admission_level>(
        std::min<double>(raised, admit_all_level));
}

admission_level level_table::level(std::string_view method,
                                   time_point now) const
{
    const auto found = methods_.find(method);
    if (found == methods_.end())
    {
        return admit_all_level;
    }
    admission_level lowest = admit_all_level;
    for (const auto& [service, seen] : found->second)
    {
        const auto entry = services_.find(service);
        if (entry != services_.end())
        {
            lowest = std::min(lowest, effective(entry->second, now));
        }
    }
    return lowest;
}

std::vector<service_level> level_table::report(std::string_view method,
                                               time_point now) const
{
    std::vector<service_level> levels;
    const auto found = methods_.find(method);
    if (found == methods_.end())
    {
        return levels;
    }
    for (const auto& [service, seen] : found->second)
    {
        const auto entry = services_.find(service);
        if (entry != services_.end() &&
            now - entry->second.at <= level_lifetime)
        {
            levels.push_back({service, effective(entry->second, now)});
        }
    }
    std::sort(levels.begin(), levels.end(),
              [](const auto& a, const auto& b) { return a.level < b.level; });
    if (levels.size() > max_reported)
    {
        levels.resize(max_reported);
    }
    return levels;
}

void level_table::expire(time_point now)
{
    const auto old = [now](time_point at) { return now - at > forget_after; };
    std::erase_if(services_,
                  [&](const auto& item) { return old(item.second.at); });
    for (auto& [method, reaches] : methods_)
    {
        std::erase_if(reaches,
                      [&](const auto& item) { return old(item.second); });
    }
    std::erase_if(methods_,
                  [](const auto& item) { return item.second.empty(); });
}

void level_table::clear()
{
    services_.clear();
    methods_.clear();
}

} // namespace jujubespan
