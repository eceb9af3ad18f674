#include "jujubespan/mesh/instance_directory.hpp"

#include <algorithm>
#include <utility>

namespace jujubespan::mesh
{

namespace
{

// Entries expire only when their instances could not renew them for longer
// than this; shorter outages defer no removals.
constexpr duration min_outage = std::chrono::milliseconds(1500);
// Entries of live instances have reappeared this long after discovery
// recovers.
constexpr duration removal_delay = std::chrono::milliseconds(2000);
// A call that got no response shows that the path was still away when it was
// sent. Three seconds after the end of a cut, removals must be in force.
constexpr duration max_delay_after_unanswered_call =
    std::chrono::milliseconds(2800);
constexpr std::size_t max_removed_ids = 4096;

} // namespace

void instance_directory::put(const instance& item)
{
    pending_removals_.erase(item.id);
    const auto removed = removed_incarnations_.find(item.id);
    if (removed != removed_incarnations_.end())
    {
        removed_incarnations_.erase(removed);
    }
    instances_[item.id] = item;
    auto& newest = newest_revisions_[item.backend_address][item.service];
    newest = std::max(newest, item.created_revision);
}

bool instance_directory::set_services(std::vector<std::string> services)
{
    if (services_ == services)
    {
        return false;
    }
    services_ = std::move(services);
    return true;
}

bool instance_directory::is_named(std::string_view service) const
{
    return !services_ ||
           std::binary_search(services_->begin(), services_->end(), service);
}

bool instance_directory::is_superseded(const instance& item) const
{
    const auto newest = newest_revisions_.find(item.backend_address);
    return newest != newest_revisions_.end() &&
           std::any_of(newest->second.begin(), newest->second.end(),
                       [&](const auto& entry)
                       {
                           const auto& [service, revision] = entry;
                           return item.created_revision < revision &&
                                  is_named(service);
                       });
}

bool instance_directory::is_valid(const instance& item) const
{
    return is_named(item.service) && !is_superseded(item);
}

void instance_directory::remove(std::string_view id, time_point now)
{
    const std::string key(id);
    if (!instances_.contains(key))
    {
        return;
    }
    if (defers_removals(now))
    {
        // The time of an earlier outage may have passed.
        pending_removals_.try_emplace(key, interrupted_at_ ? now + removal_delay
                                                           : *defer_until_);
        return;
    }
    erase(key);
}

void instance_directory::retain_only(std::span<const std::string> ids,
                                     time_point now)
{
    std::vector<std::string> unlisted;
    for (const auto& [id, item] : instances_)
    {
        if (std::find(ids.begin(), ids.end(), id) == ids.end())
        {
            unlisted.push_back(id);
        }
    }
    for (const auto& id : unlisted)
    {
        remove(id, now);
    }
}

void instance_directory::on_interrupted(
    time_point since, std::optional<time_point> unanswered_call_at)
{
    if (!interrupted_at_)
    {
        interrupted_at_ = since;
    }
    unanswered_call_at_ = unanswered_call_at;
}

void instance_directory::on_restored(time_point now)
{
    if (interrupted_at_ && now - *interrupted_at_ >= min_outage)
    {
        defer_until_ = now + removal_delay;
        if (unanswered_call_at_)
        {
            defer_until_ =
                std::min(*defer_until_, *unanswered_call_at_ +
                                            max_delay_after_unanswered_call);
        }
    }
    interrupted_at_.reset();
    unanswered_call_at_.reset();
}

void instance_directory::on_history_replaced(time_point now)
{
    defer_until_ = now + removal_delay;
}

bool instance_directory::defers_removals(time_point now) const
{
    return interrupted_at_.has_value() || (defer_until_ && now < *defer_until_);
}

bool instance_directory::expire(time_point now)
{
    std::vector<std::string> due;
    for (const auto& [id, at] : pending_removals_)
    {
        if (now >= at)
        {
            due.push_back(id);
        }
    }
    for (const auto& id : due)
    {
        pending_removals_.erase(id);
        erase(id);
    }
    return !due.empty();
}

std::optional<time_point> instance_directory::next_removal() const
{
    std::optional<time_point> next;
    for (const auto& [id, at] : pending_removals_)
    {
        next = std::min(next.value_or(at), at);
    }
    return next;
}

void instance_directory::erase(const std::string& id)
{
    const auto found = instances_.find(id);
    if (found == instances_.end())
    {
        return;
    }
    if (removed_incarnations_.size() >= max_removed_ids)
    {
        removed_incarnations_.clear();
    }
    removed_incarnations_[id] = found->second.incarnation;
    instances_.erase(found);
}

instance_state instance_directory::state(std::string_view id) const
{
    const auto found = instances_.find(id);
    if (found != instances_.end() && is_superseded(found->second))
    {
        return instance_state::removed;
    }
    if (found != instances_.end())
    {
        return found->second.leaving ? instance_state::leaving
                                     : instance_state::usable;
    }
    return removed_incarnations_.contains(id) ? instance_state::removed
                                              : instance_state::unknown;
}

const instance* instance_directory::find(std::string_view id) const
{
    const auto found = instances_.find(id);
    return found == instances_.end() ? nullptr : &found->second;
}

const instance* instance_directory::find_by_backend_address(
    std::string_view backend_address) const
{
    const auto found = std::find_if(
        instances_.begin(), instances_.end(),
        [&](const auto& entry)
        {
            const auto& item = entry.second;
            return item.backend_address == backend_address && is_valid(item);
        });
    return found == instances_.end() ? nullptr : &found->second;
}

std::vector<instance> instance_directory::all() const
{
    std::vector<instance> result;
    result.reserve(instances_.size());
    for (const auto& [id, item] : instances_)
    {
        if (is_valid(item))
        {
            result.push_back(item);
        }
    }
    return result;
}

} // namespace jujubespan::mesh
