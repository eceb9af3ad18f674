#include "jujubespan/policy/versioned_map.hpp"

#include <algorithm>

namespace jujubespan
{

namespace
{

constexpr std::size_t max_stored_removals = 1024;

} // namespace

delta_result versioned_map::check(const versioned_delta& delta) const
{
    if (delta.revision <= revision_)
    {
        return delta_result::stale;
    }
    if (!delta.full && delta.after > revision_)
    {
        return delta_result::gap;
    }
    return delta_result::applicable;
}

void versioned_map::apply(const versioned_delta& delta)
{
    if (delta.full)
    {
        entries_.clear();
        removals_.clear();
        removals_stored_after_ = delta.revision;
    }
    for (const auto& entry : delta.entries)
    {
        if (entry.removed)
        {
            entries_.erase(entry.key);
            removals_[entry.key] = entry;
        }
        else
        {
            removals_.erase(entry.key);
            entries_[entry.key] = entry;
        }
    }
    revision_ = delta.revision;
    drop_old_removals();
}

void versioned_map::drop_old_removals()
{
    while (removals_.size() > max_stored_removals)
    {
        const auto oldest =
            std::min_element(removals_.begin(), removals_.end(),
                             [](const auto& a, const auto& b)
                             { return a.second.revision < b.second.revision; });
        removals_stored_after_ =
            std::max(removals_stored_after_, oldest->second.revision);
        removals_.erase(oldest);
    }
}

versioned_delta versioned_map::delta_after(std::uint64_t revision) const
{
    versioned_delta delta;
    delta.after = revision;
    delta.revision = revision_;
    delta.full = revision < removals_stored_after_ || revision == 0;
    for (const auto& [key, entry] : entries_)
    {
        if (delta.full || entry.revision > revision)
        {
            delta.entries.push_back(entry);
        }
    }
    if (!delta.full)
    {
        for (const auto& [key, entry] : removals_)
        {
            if (entry.revision > revision)
            {
                delta.entries.push_back(entry);
            }
        }
    }
    return delta;
}

} // namespace jujubespan
