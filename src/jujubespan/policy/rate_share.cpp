#include "jujubespan/policy/rate_share.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jujubespan
{

namespace
{

constexpr double averaging_window_seconds = 1.0;
// Share of its spare rate that a node lends in one grant.
constexpr double lendable_share = 0.5;

} // namespace

rate_share::rate_share(std::string self, duration list_lag)
    : self_(std::move(self)), list_lag_(list_lag)
{
}

void rate_share::apply(std::span<const std::string> members, time_point now)
{
    for (auto& [id, entry] : members_)
    {
        const bool listed =
            std::find(members.begin(), members.end(), id) != members.end();
        if (!listed && entry.removed_at == time_point::max())
        {
            entry.removed_at = now;
        }
    }
    for (const auto& id : members)
    {
        auto [it, added] = members_.try_emplace(id, membership{now});
        if (!added && it->second.removed_at != time_point::max())
        {
            it->second = membership{now};
        }
    }
    std::erase_if(members_,
                  [this, now](const auto& item)
                  {
                      return item.second.removed_at != time_point::max() &&
                             now - item.second.removed_at > list_lag_;
                  });
}

void rate_share::restore(std::span<const std::string> members,
                         time_point listed_since, time_point last_contact)
{
    apply(members, listed_since);
    last_contact_ = last_contact;
}

void rate_share::on_contact(time_point now)
{
    if (now - last_contact_ > list_lag_ / 2)
    {
        // This node may have been removed and listed again in the meantime.
        restart_membership(now);
    }
    last_contact_ = now;
    paused_ = false;
}

void rate_share::on_pause(duration gap, time_point now)
{
    paused_ = true;
    if (gap > list_lag_ / 2)
    {
        restart_membership(now);
    }
}

std::size_t rate_share::counted_members(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(members_.begin(), members_.end(),
                      [this, now](const auto& item)
                      {
                          const auto removed_at = item.second.removed_at;
                          return removed_at == time_point::max() ||
                                 now - removed_at <= list_lag_;
                      }));
}

double rate_share::fraction(time_point now) const
{
    const auto self = members_.find(self_);
    if (self == members_.end() ||
        self->second.removed_at != time_point::max() ||
        now - self->second.listed_since <= list_lag_)
    {
        return 0;
    }
    const std::size_t members = counted_members(now);
    const bool isolated = paused_ || now - last_contact_ > list_lag_ / 2;
    if (isolated)
    {
        return 0;
    }
    return 1.0 / static_cast<double>(members);
}

void rate_share::restart_membership(time_point now)
{
    for (auto& [id, entry] : members_)
    {
        entry.listed_since = now;
    }
}

bool token_bucket::try_take(double rate, time_point now)
{
    if (rate <= 0)
    {
        tokens_ = 0;
        last_update_ = now;
        return false;
    }
    const double bucket_size = std::max(1.0, rate * seconds(burst_));
    // A new bucket is full, since the node has waited for its share for at
    // least as long as it takes to fill the bucket.
    tokens_ = last_update_ == time_point{}
                  ? bucket_size
                  : std::min(bucket_size,
                             tokens_ + rate * seconds(now - last_update_));
    last_update_ = now;
    if (tokens_ < 1)
    {
        return false;
    }
    tokens_ -= 1;
    return true;
}

duration token_bucket::time_until_token(double rate) const
{
    constexpr double max_wait_seconds = 10;
    if (rate <= 0)
    {
        return from_seconds(max_wait_seconds);
    }
    return from_seconds(
        std::clamp((1 - tokens_) / rate, 0.0, max_wait_seconds));
}

void rate_meter::add(time_point now)
{
    rate_ = per_second(now) + 1 / averaging_window_seconds;
    last_update_ = now;
}

double rate_meter::per_second(time_point now) const
{
    return rate_ *
           std::exp(-seconds(now - last_update_) / averaging_window_seconds);
}

share_leases::share_leases(duration lease, duration margin)
    : lease_duration_(lease), margin_(margin)
{
}

double share_leases::grant_lease(double requested_rate, double share,
                                 double own_rate, time_point now)
{
    expire(lent_, now);
    const double spare = share - sum(lent_, now) - own_rate;
    const double granted =
        std::min(requested_rate, std::max(0.0, spare * lendable_share));
    if (granted > 0)
    {
        lent_.push_back({granted, now + lease_duration_ + margin_});
    }
    return granted;
}

void share_leases::record_grant(double rate, time_point requested_at,
                                time_point now)
{
    expire(borrowed_, now);
    if (rate > 0 && requested_at + lease_duration_ > now)
    {
        borrowed_.push_back({rate, requested_at + lease_duration_});
    }
}

double share_leases::effective_rate(double share, time_point now) const
{
    return std::max(0.0, share - sum(lent_, now)) + sum(borrowed_, now);
}

double share_leases::sum(std::span<const lease> leases, time_point now)
{
    double total = 0;
    for (const auto& item : leases)
    {
        total += item.expires_at > now ? item.rate : 0;
    }
    return total;
}

void share_leases::expire(std::vector<lease>& leases, time_point now)
{
    std::erase_if(leases,
                  [now](const lease& item) { return item.expires_at <= now; });
}

} // namespace jujubespan
