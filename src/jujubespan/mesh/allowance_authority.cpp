#include "jujubespan/mesh/allowance_authority.hpp"

#include <algorithm>
#include <cmath>

namespace jujubespan::mesh
{

namespace
{

// A node that has not asked for this long contributes nothing for that time:
// it may have asked another authority.
constexpr duration contribution_lifetime = std::chrono::milliseconds(1200);
constexpr duration sweep_interval = std::chrono::milliseconds(250);
// Nodes that asked longer ago count as new ones. Within a window of the bound,
// none may add its share of the first tokens twice.
constexpr duration min_peer_retention = std::chrono::seconds(10);
// Buckets are filled faster than at the rate by this share, at most by a
// quarter of the tolerance. Two of three failure domains thereby admit 0.7 of
// the rate while the third one is cut off.
constexpr double max_fill_surplus = 0.06;
constexpr double max_surplus_of_tolerance = 0.25;
constexpr duration max_next_token = std::chrono::seconds(10);
constexpr duration min_next_token = std::chrono::milliseconds(1);
// Grants are whole tokens; sums of contributions have rounding errors.
constexpr double rounding = 1e-6;

} // namespace

void allowance_authority::apply(const configuration& next)
{
    absl::flat_hash_map<std::uint64_t, bucket> buckets;
    if (next.organisations)
    {
        for (const auto& item : *next.organisations)
        {
            if (!item.allowance.limited())
            {
                continue;
            }
            const auto hash = organisation_hash(item.name);
            const auto known = buckets_.find(hash);
            bucket value;
            if (known != buckets_.end())
            {
                value = known->second;
                fill(value); // At the rate until now.
            }
            else
            {
                value.contributed = contributed_;
            }
            value.allowance = item.allowance;
            fill(value);
            buckets.try_emplace(hash, value);
        }
    }
    buckets_ = std::move(buckets);
    if (buckets_.empty())
    {
        members_ = {}; // Instance lists are not passed on without a limit.
    }
}

// Half of what the bound permits beyond rate and burst. The other half covers
// changes of the authority.
double allowance_authority::reserve(const allowance& limit) const
{
    return ((limit.rate * seconds(bound_.window) + limit.burst) *
                bound_.tolerance +
            bound_.slack) /
           2;
}

double allowance_authority::fill_factor() const
{
    return 1 + std::min(max_fill_surplus,
                        bound_.tolerance * max_surplus_of_tolerance);
}

void allowance_authority::fill(bucket& item) const
{
    const auto& limit = item.allowance;
    const double spare = reserve(limit);
    // The surplus of one window is taken out of the depth.
    const double surplus =
        limit.rate * seconds(bound_.window) * (fill_factor() - 1);
    const double depth =
        std::max(1.0, (limit.burst + spare - surplus) * fraction_);
    const double ceiling = (limit.burst + spare) * fraction_;
    // An earlier authority may have granted its whole depth. A quarter of the
    // reserve exceeded the bound when a fleet restarted eight times in a
    // window.
    const double first_tokens = std::min(limit.burst / 2, spare / 8);
    const double added =
        (contributed_ - item.contributed) * limit.rate * fill_factor() +
        std::min(1.0, joined_ - item.joined) * first_tokens;
    item.contributed = contributed_;
    item.joined = joined_;
    const double kept = std::min(item.tokens, depth);
    // Tokens that nodes hold take up part of the depth.
    item.tokens = std::max(kept, std::min({item.tokens + added, depth,
                                           ceiling - item.outstanding}));
}

std::optional<allowance_grant> allowance_authority::on_request(
    std::string_view peer, const allowance_request& request, time_point now)
{
    if (buckets_.empty())
    {
        return std::nullopt;
    }
    allowance_grant answer;
    answer.sequence = request.sequence;
    if (request.sequence == 0)
    {
        return answer;
    }
    sweep(now);
    record_contribution(peer, request.sequence, now);
    auto& state = peers_.find(peer)->second;
    forget_outstanding(state);
    for (const auto& demand : request.demands)
    {
        const auto found = buckets_.find(demand.organisation);
        if (found == buckets_.end())
        {
            continue;
        }
        auto& item = found->second;
        const double held = std::max(0.0, demand.held);
        item.outstanding += held;
        const auto share = grant(item, demand);
        item.outstanding += share.tokens;
        state.outstanding.emplace_back(demand.organisation,
                                       held + share.tokens);
        answer.shares.push_back(share);
    }
    return answer;
}

void allowance_authority::record_contribution(std::string_view peer,
                                              std::uint64_t sequence,
                                              time_point now)
{
    const auto [found, is_new] = peers_.try_emplace(std::string(peer));
    auto& state = found->second;
    const duration elapsed = now - state.last_request;
    const bool was_active = !is_new && elapsed < contribution_lifetime;
    // Otherwise the node has asked another authority, or has restarted.
    const bool continues = sequence > state.last_sequence &&
                           sequence >> allowance_change_shift ==
                               state.last_sequence >> allowance_change_shift;
    state.last_request = now;
    state.last_sequence = sequence;
    if (!was_active)
    {
        ++active_peers_;
    }
    // Nodes that are not listed yet take part, too.
    const auto nodes =
        static_cast<double>(std::max(listed_nodes_, active_peers_));
    fraction_ = static_cast<double>(active_peers_) / nodes;
    if (is_new)
    {
        joined_ += 1 / nodes;
    }
    else if (was_active && continues && elapsed > duration::zero())
    {
        contributed_ += seconds(elapsed) / nodes;
    }
}

void allowance_authority::sweep(time_point now)
{
    if (now < next_sweep_)
    {
        return;
    }
    next_sweep_ = now + sweep_interval;
    listed_nodes_ = members_.count(now);
    active_peers_ = 0;
    for (auto& [address, state] : peers_)
    {
        if (now - state.last_request < contribution_lifetime)
        {
            ++active_peers_;
        }
        else
        {
            forget_outstanding(state); // Its tokens have expired.
        }
    }
    const auto retention = std::max(min_peer_retention, 2 * bound_.window);
    std::erase_if(peers_, [&](const auto& entry)
                  { return now - entry.second.last_request > retention; });
}

void allowance_authority::forget_outstanding(peer_state& peer)
{
    for (const auto& [organisation, tokens] : peer.outstanding)
    {
        const auto found = buckets_.find(organisation);
        if (found != buckets_.end())
        {
            auto& outstanding = found->second.outstanding;
            outstanding = std::max(0.0, outstanding - tokens);
        }
    }
    peer.outstanding.clear();
}

allowance_share allowance_authority::grant(bucket& item,
                                           const allowance_demand& demand)
{
    fill(item);
    const double wanted = std::max(0.0, demand.wanted);
    allowance_share share;
    share.organisation = demand.organisation;
    share.tokens = std::min(std::ceil(wanted - rounding),
                            std::floor(item.tokens + rounding));
    item.tokens = std::max(0.0, item.tokens - share.tokens);
    granted_ += static_cast<std::uint64_t>(share.tokens);
    if (share.tokens < wanted)
    {
        const double rate = item.allowance.rate * fill_factor() * fraction_;
        share.next_token =
            std::clamp(from_seconds((1 - std::min(item.tokens, 1.0)) / rate),
                       min_next_token, max_next_token);
    }
    return share;
}

} // namespace jujubespan::mesh
