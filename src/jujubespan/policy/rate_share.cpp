#include "jujubespan/policy/rate_share.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jujubespan
{

namespace
{

constexpr double meter_window = 1.0; // seconds
// Part of its spare rate that a node lends at once.
constexpr double lendable = 0.5;

} // namespace

rate_share::rate_share(std::string self, duration lag)
    : self_(std::move(self)), lag_(lag)
{
}

void rate_share::apply(std::span<const std::string> members, time_point now)
{
    for (auto& [id, entry] : members_)
    {
        const bool listed =
            std::find(members.begin(), members.end(), id) != members.end();
        if (!listed && entry.removed == time_point::max())
        {
            entry.removed = now;
        }
    }
    for (const auto& id : members)
    {
        auto [it, added] = members_.try_emplace(id, membership{now});
        if (!added && it->second.removed != time_point::max())
        {
            it->second = membership{now};
        }
    }
    std::erase_if(members_,
                  [this, now](const auto& item)
                  {
                      return item.second.removed != time_point::max() &&
                             now - item.second.removed > lag_;
                  });
}

void rate_share::restore(std::span<const std::string> members, time_point named,
                         time_point contact)
{
    apply(members, named);
    last_contact_ = contact;
}

void rate_share::on_contact(time_point now)
{
    if (now - last_contact_ > lag_ / 2)
    {
        // It may have been removed and named anew in the meantime.
        reset(now);
    }
    last_contact_ = now;
    paused_ = false;
}

void rate_share::on_pause(duration gap, time_point now)
{
    paused_ = true;
    if (gap > lag_ / 2)
    {
        reset(now);
    }
}

std::size_t rate_share::counted(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(
        members_.begin(), members_.end(),
        [this, now](const auto& item)
        {
            const auto removed = item.second.removed;
            return removed == time_point::max() || now - removed <= lag_;
        }));
}

double rate_share::fraction(time_point now) const
{
    const auto self = members_.find(self_);
    if (self == members_.end() || self->second.removed != time_point::max() ||
        now - self->second.named <= lag_)
    {
        return 0;
    }
    const std::size_t members = counted(now);
    const bool alone = paused_ || now - last_contact_ > lag_ / 2;
    if (alone)
    {
        return 0;
    }
    return 1.0 / static_cast<double>(members);
}

void rate_share::reset(time_point now)
{
    for (auto& [id, entry] : members_)
    {
        entry.named = now;
    }
}

bool token_bucket::take(double rate, time_point now)
{
    if (rate <= 0)
    {
        tokens_ = 0;
        last_ = now;
        return false;
    }
    const double saved = std::max(1.0, rate * seconds(burst_));
    // A new bucket is full: its node waited for its share at least as long.
    tokens_ = last_ == time_point{}
                  ? saved
                  : std::min(saved, tokens_ + rate * seconds(now - last_));
    last_ = now;
    if (tokens_ < 1)
    {
        return false;
    }
    tokens_ -= 1;
    return true;
}

duration token_bucket::time_until_token(double rate) const
{
    constexpr double longest = 10; // seconds
    if (rate <= 0)
    {
        return from_seconds(longest);
    }
    return from_seconds(std::clamp((1 - tokens_) / rate, 0.0, longest));
}

void rate_meter::add(time_point now)
{
    value_ = per_second(now) + 1 / meter_window;
    last_ = now;
}

double rate_meter::per_second(time_point now) const
{
    return value_ * std::exp(-seconds(now - last_) / meter_window);
}

share_leases::share_leases(duration lease, duration margin)
    : lease_(lease), margin_(margin)
{
}

double share_leases::lend(double asked, double share, double used,
                          time_point now)
{
    expire(lent_, now);
    const double spare = share - sum(lent_, now) - used;
    const double granted = std::min(asked, std::max(0.0, spare * lendable));
    if (granted > 0)
    {
        lent_.push_back({granted, now + lease_ + margin_});
    }
    return granted;
}

void share_leases::on_grant(double rate, time_point asked_at, time_point now)
{
    expire(borrowed_, now);
    if (rate > 0 && asked_at + lease_ > now)
    {
        borrowed_.push_back({rate, asked_at + lease_});
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
        total += item.until > now ? item.rate : 0;
    }
    return total;
}

void share_leases::expire(std::vector<lease>& leases, time_point now)
{
    std::erase_if(leases,
                  [now](const lease& item) { return item.until <= now; });
}

} // namespace jujubespan
