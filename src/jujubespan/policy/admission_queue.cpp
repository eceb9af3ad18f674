#include "jujubespan/policy/admission_queue.hpp"

#include <algorithm>

namespace jujubespan
{

namespace
{

constexpr std::size_t min_bound = 4;
constexpr std::size_t initial_bound = 64;
constexpr std::size_t prioritized_bound_factor = 4;

} // namespace

admission_queue::admission_queue(duration target_wait, std::size_t hard_limit)
    : target_wait_(target_wait), hard_limit_(hard_limit),
      bound_(std::min(initial_bound, hard_limit))
{
}

std::uint64_t admission_queue::rank_of(const queued_call& call)
{
    const auto cls = static_cast<std::uint64_t>(class_of(call.key));
    const std::uint64_t not_prioritized = call.prioritized ? 0 : 1;
    return (cls << 40U) | (not_prioritized << 32U) | call.key;
}

offer_result admission_queue::offer(const queued_call& call)
{
    const priority entry{rank_of(call), next_sequence_++, call.id};
    offer_result result;
    const std::size_t bound =
        call.prioritized
            ? std::min(bound_ * prioritized_bound_factor, hard_limit_)
            : bound_;
    if (order_.size() >= bound)
    {
        const auto lowest_priority = std::prev(order_.end());
        if (order_.empty() || lowest_priority->rank <= entry.rank)
        {
            return result;
        }
        result.evicted = lowest_priority->id;
        erase(*lowest_priority);
    }
    order_.insert(entry);
    by_arrival_.insert({call.arrived, call.id});
    calls_.emplace(call.id, std::pair(entry, call));
    result.accepted = true;
    return result;
}

std::optional<queued_call>
admission_queue::pop(time_point now, std::vector<std::uint64_t>& expired)
{
    while (!order_.empty())
    {
        const priority first = *order_.begin();
        const queued_call call = calls_.at(first.id).second;
        erase(first);
        if (!cannot_finish(call, now))
        {
            return call;
        }
        expired.push_back(call.id);
    }
    return std::nullopt;
}

std::vector<std::uint64_t> admission_queue::take_expired(time_point now)
{
    std::vector<std::uint64_t> expired;
    for (const auto& [id, item] : calls_)
    {
        if (cannot_finish(item.second, now))
        {
            expired.push_back(id);
        }
    }
    std::sort(expired.begin(), expired.end());
    for (const auto id : expired)
    {
        remove(id);
    }
    return expired;
}

std::vector<std::uint64_t>
admission_queue::set_hard_limit(std::size_t hard_limit)
{
    hard_limit_ = hard_limit;
    bound_ = std::min(bound_, hard_limit_);
    std::vector<std::uint64_t> removed;
    while (order_.size() > hard_limit_)
    {
        const priority lowest = *std::prev(order_.end());
        removed.push_back(lowest.id);
        erase(lowest);
    }
    return removed;
}

std::vector<std::uint64_t> admission_queue::trim(std::size_t bound)
{
    std::vector<std::uint64_t> removed;
    while (order_.size() > bound)
    {
        const priority lowest = *std::prev(order_.end());
        if (calls_.at(lowest.id).second.prioritized &&
            order_.size() <= bound * prioritized_bound_factor)
        {
            break;
        }
        removed.push_back(lowest.id);
        erase(lowest);
    }
    return removed;
}

bool admission_queue::remove(std::uint64_t id)
{
    const auto found = calls_.find(id);
    if (found == calls_.end())
    {
        return false;
    }
    const priority entry = found->second.first;
    erase(entry);
    return true;
}

void admission_queue::update_service_rate(double completions_per_second,
                                          duration service_time)
{
    service_time_ = service_time;
    const double calls_in_target_wait =
        completions_per_second * seconds(target_wait_);
    bound_ = std::min(
        std::max(static_cast<std::size_t>(calls_in_target_wait), min_bound),
        hard_limit_);
}

duration admission_queue::oldest_wait(time_point now) const
{
    if (by_arrival_.empty())
    {
        return duration::zero();
    }
    return now - by_arrival_.begin()->first;
}

bool admission_queue::cannot_finish(const queued_call& call,
                                    time_point now) const
{
    return now + service_time_ >= call.deadline;
}

void admission_queue::erase(const priority& entry)
{
    const priority copy = entry;
    const auto found = calls_.find(copy.id);
    by_arrival_.erase({found->second.second.arrived, copy.id});
    calls_.erase(found);
    order_.erase(copy);
}

} // namespace jujubespan
