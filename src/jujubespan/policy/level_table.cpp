#include "jujubespan/policy/level_table.hpp"

#include <algorithm>
#include <cmath>

namespace jujubespan
{

namespace
{

constexpr duration level_lifetime = std::chrono::seconds(1);
// The rise of a level that no reply confirms doubles in each interval.
constexpr duration rise_doubling_interval = std::chrono::milliseconds(100);
constexpr duration entry_lifetime = std::chrono::minutes(1);
constexpr double reported_level_weight = 0.5;
// Maximum number of levels reported in one reply.
constexpr std::size_t max_reported_levels = 16;
constexpr double max_rise_doublings = 16;

} // namespace

void level_table::record_levels(std::string_view method,
                                std::span<const service_level> reported,
                                time_point now)
{
    if (reported.empty())
    {
        return;
    }
    auto& reached = methods_[std::string(method)];
    for (const auto& item : reported)
    {
        reached[item.service] = now;
        const auto [entry, added] =
            services_.try_emplace(item.service, learned_level{});
        auto& learned_entry = entry->second;
        const double previous_level =
            added ? item.level : effective_level(learned_entry, now);
        learned_entry.level =
            previous_level +
            reported_level_weight * (item.level - previous_level);
        learned_entry.learned_at = now;
    }
}

admission_level level_table::effective_level(const learned_level& entry,
                                             time_point now)
{
    const duration age = now - entry.learned_at;
    if (age <= level_lifetime)
    {
        return static_cast<admission_level>(std::lround(entry.level));
    }
    const double doublings =
        seconds(age - level_lifetime) / seconds(rise_doubling_interval);
    const double raised =
        entry.level + std::exp2(std::min(doublings, max_rise_doublings)) - 1;
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
            lowest = std::min(lowest, effective_level(entry->second, now));
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
            now - entry->second.learned_at <= level_lifetime)
        {
            levels.push_back({service, effective_level(entry->second, now)});
        }
    }
    std::sort(levels.begin(), levels.end(),
              [](const auto& a, const auto& b) { return a.level < b.level; });
    if (levels.size() > max_reported_levels)
    {
        levels.resize(max_reported_levels);
    }
    return levels;
}

void level_table::expire(time_point now)
{
    const auto is_expired = [now](time_point learned_at)
    { return now - learned_at > entry_lifetime; };
    std::erase_if(services_, [&](const auto& item)
                  { return is_expired(item.second.learned_at); });
    for (auto& [method, reached] : methods_)
    {
        std::erase_if(reached, [&](const auto& item)
                      { return is_expired(item.second); });
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
