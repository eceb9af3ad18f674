#include "jujubespan/mesh/allowance_members.hpp"

#include "jujubespan/mesh/allowance_messages.hpp"
#include "jujubespan/policy/stable_hash.hpp"

#include <algorithm>
#include <map>

namespace jujubespan::mesh
{

namespace
{

constexpr std::uint64_t organisation_seed = 0x616c6c6f77;
constexpr std::uint64_t rank_seed = 0x72616e6b;
// An entry that discovery drops without an announcement may belong to a node
// that is only cut off from it, and which continues to spend its share.
constexpr duration removed_retention = std::chrono::seconds(60);

} // namespace

std::uint64_t organisation_hash(std::string_view name)
{
    return stable_hash(name, organisation_seed);
}

void allowance_members::apply(const instance_directory& list, time_point now)
{
    string_map<member> next;
    for (const auto& item : list.all())
    {
        next[item.call_address] = {
            item.failure_domain, stable_hash(item.id, rank_seed), item.leaving};
    }
    for (auto& [address, known] : members_)
    {
        known.removed_at = std::min(known.removed_at, now);
        if (!known.leaving && now - known.removed_at < removed_retention)
        {
            next.try_emplace(address, known);
        }
    }
    members_ = std::move(next);
}

std::size_t allowance_members::count(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(members_.begin(), members_.end(),
                      [now](const auto& entry)
                      {
                          const auto removed_at = entry.second.removed_at;
                          return removed_at == time_point::max() ||
                                 now - removed_at < removed_retention;
                      }));
}

std::vector<std::string>
allowance_members::authorities(std::string_view own_domain) const
{
    struct candidate
    {
        std::uint64_t rank;
        std::string_view address;
    };
    std::map<std::string_view, std::vector<candidate>> by_domain;
    for (const auto& [address, item] : members_)
    {
        if (!item.leaving && item.removed_at == time_point::max())
        {
            by_domain[item.failure_domain].push_back({item.rank, address});
        }
    }
    const auto precedes = [](const candidate& left, const candidate& right)
    {
        return std::tie(left.rank, left.address) <
               std::tie(right.rank, right.address);
    };
    std::vector<candidate> first;
    for (auto& [domain, candidates] : by_domain)
    {
        std::sort(candidates.begin(), candidates.end(), precedes);
        first.push_back(candidates.front());
    }
    std::sort(first.begin(), first.end(), precedes);
    std::vector<std::string> addresses;
    addresses.reserve(first.size() + 1);
    for (const auto& item : first)
    {
        addresses.emplace_back(item.address);
    }
    const auto own = by_domain.find(own_domain);
    if (own != by_domain.end() && own->second.size() > 1)
    {
        addresses.emplace_back(own->second[1].address);
    }
    return addresses;
}

} // namespace jujubespan::mesh
