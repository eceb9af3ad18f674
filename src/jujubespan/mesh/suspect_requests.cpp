#include "jujubespan/mesh/suspect_requests.hpp"

#include <algorithm>
#include <utility>

namespace jujubespan::mesh
{

namespace
{

// Numbers of ends since the last completion.
constexpr std::size_t isolation_threshold = 2;
constexpr std::size_t quarantine_threshold = 3;
// Older ends of a request are not needed to decide about it.
constexpr std::size_t max_recorded_ends = 4;
// An isolated request is held for this time after the last end, in which the
// servers that have ended may return.
constexpr duration hold_time = std::chrono::seconds(2);
constexpr duration end_lifetime = std::chrono::minutes(10);
// A completion is remembered while an older report of an end may still arrive.
constexpr duration completion_lifetime = std::chrono::seconds(30);
constexpr std::size_t max_suspects = 8192;

} // namespace

time_point suspect_requests::suspect::last_event_at() const
{
    return ends.empty() ? completed_at : std::max(completed_at, ends.back().at);
}

bool suspect_requests::add_end(suspect& item, end_reference end)
{
    const bool known = std::any_of(item.ends.begin(), item.ends.end(),
                                   [end](const end_reference& other)
                                   { return other.id == end.id; });
    if (known || end.at <= item.completed_at)
    {
        return false;
    }
    const auto position =
        std::upper_bound(item.ends.begin(), item.ends.end(), end.at,
                         [](time_point at, const end_reference& other)
                         { return at < other.at; });
    item.ends.insert(position, end);
    if (item.ends.size() > max_recorded_ends)
    {
        item.ends.erase(item.ends.begin());
    }
    return true;
}

bool suspect_requests::complete(suspect& item, time_point at)
{
    if (at <= item.completed_at)
    {
        return false;
    }
    item.completed_at = at;
    return std::erase_if(item.ends, [at](const end_reference& end)
                         { return end.at <= at; }) > 0;
}

void suspect_requests::update_quarantine(request_fingerprint request,
                                         suspect& item)
{
    const bool quarantined = item.ends.size() >= quarantine_threshold;
    if (quarantined == item.quarantined)
    {
        return;
    }
    item.quarantined = quarantined;
    item.was_quarantined = true;
    digest_ ^= request;
    if (quarantined)
    {
        ++quarantined_count_;
    }
    else
    {
        --quarantined_count_;
    }
}

std::vector<request_fingerprint>
suspect_requests::merge(const suspicion_report& report, time_point now)
{
    std::vector<request_fingerprint> newly_quarantined;
    for (const auto& item : report.completions)
    {
        if (item.age < end_lifetime)
        {
            auto& found = suspects_[item.request];
            complete(found, now - item.age);
            update_quarantine(item.request, found);
        }
    }
    for (const auto& end : report.ends)
    {
        if (end.age >= end_lifetime)
        {
            continue;
        }
        for (const auto request : end.running)
        {
            auto& found = suspects_[request];
            const bool was_quarantined = found.quarantined;
            add_end(found, {end.id, now - end.age});
            update_quarantine(request, found);
            if (found.quarantined && !was_quarantined)
            {
                newly_quarantined.push_back(request);
            }
        }
    }
    make_room();
    return newly_quarantined;
}

bool suspect_requests::record_completion(request_fingerprint request,
                                         time_point now)
{
    const auto found = suspects_.find(request);
    if (found == suspects_.end())
    {
        return false;
    }
    const bool cleared = complete(found->second, now);
    update_quarantine(request, found->second);
    return cleared;
}

request_standing suspect_requests::standing(request_fingerprint request,
                                            time_point now) const
{
    const auto found = suspects_.find(request);
    if (found == suspects_.end() || found->second.ends.empty())
    {
        return request_standing::clear;
    }
    if (found->second.ends.size() < isolation_threshold)
    {
        return request_standing::suspected;
    }
    if (found->second.quarantined)
    {
        return request_standing::quarantined;
    }
    return now - found->second.ends.back().at < hold_time
               ? request_standing::held
               : request_standing::isolated;
}

duration suspect_requests::time_to_release(request_fingerprint request,
                                           time_point now) const
{
    const auto found = suspects_.find(request);
    if (found == suspects_.end())
    {
        return duration::zero();
    }
    const auto& ends = found->second.ends;
    time_point released_at = now;
    if (ends.size() >= quarantine_threshold)
    {
        released_at =
            ends[ends.size() - quarantine_threshold].at + end_lifetime;
    }
    else if (ends.size() >= isolation_threshold)
    {
        released_at = ends.back().at + hold_time;
    }
    return std::max(duration::zero(), released_at - now);
}

void suspect_requests::expire(time_point now)
{
    absl::erase_if(suspects_,
                   [&](auto& entry)
                   {
                       auto& [request, item] = entry;
                       std::erase_if(item.ends, [now](const end_reference& end)
                                     { return now - end.at >= end_lifetime; });
                       update_quarantine(request, item);
                       const duration kept_time = item.was_quarantined
                                                      ? end_lifetime
                                                      : completion_lifetime;
                       return item.ends.empty() &&
                              now - item.completed_at >= kept_time;
                   });
}

// Drops the suspects that matter least: the fewest ends, then the oldest.
void suspect_requests::make_room()
{
    if (suspects_.size() <= max_suspects)
    {
        return;
    }
    using rank = std::pair<std::size_t, time_point>;
    std::vector<std::pair<rank, request_fingerprint>> order;
    order.reserve(suspects_.size());
    for (const auto& [request, item] : suspects_)
    {
        order.push_back({{item.ends.size(), item.last_event_at()}, request});
    }
    // Leaves some room, so that this does not happen with each report.
    const auto kept = max_suspects - max_suspects / 8;
    const auto dropped = static_cast<std::ptrdiff_t>(order.size() - kept);
    std::nth_element(order.begin(), order.begin() + dropped, order.end());
    std::for_each(order.begin(), order.begin() + dropped,
                  [this](const auto& entry)
                  {
                      const auto found = suspects_.find(entry.second);
                      found->second.ends.clear();
                      update_quarantine(entry.second, found->second);
                      suspects_.erase(found);
                  });
}

suspicion_report suspect_requests::make_report(time_point now) const
{
    suspicion_report report;
    absl::flat_hash_map<std::uint64_t, server_end> ends;
    for (const auto& [request, item] : suspects_)
    {
        if (item.quarantined)
        {
            for (const auto& end : item.ends)
            {
                auto& added = ends[end.id];
                added.id = end.id;
                added.age = now - end.at;
                added.running.push_back(request);
            }
        }
        else if (item.was_quarantined && item.completed_at != time_point{})
        {
            report.completions.push_back({request, now - item.completed_at});
        }
    }
    for (auto& [id, end] : ends)
    {
        report.ends.push_back(std::move(end));
    }
    return report;
}

} // namespace jujubespan::mesh
