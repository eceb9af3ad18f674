#include "jujubespan/policy/control_plane.hpp"

#include "jujubespan/policy/stable_hash.hpp"

#include <algorithm>
#include <map>

namespace jujubespan
{

namespace
{

constexpr std::uint64_t reader_seed = 1;
constexpr std::uint64_t ring_seed = 2;

} // namespace

bool is_reader(std::string_view self, std::string_view domain,
               std::span<const instance> list, std::size_t readers)
{
    const auto own = stable_hash(self, reader_seed);
    std::size_t ahead = 0;
    for (const auto& item : list)
    {
        const bool rival =
            item.failure_domain == domain && !item.leaving && item.id != self;
        if (rival && stable_hash(item.id, reader_seed) > own)
        {
            ++ahead;
        }
    }
    return ahead < readers;
}

std::vector<instance> select_heartbeat_peers(std::string_view self,
                                             std::string_view domain,
                                             std::span<const instance> list,
                                             std::size_t foreign)
{
    std::map<std::uint64_t, const instance*> ring;
    std::map<std::uint64_t, const instance*> others;
    const auto own = stable_hash(self, ring_seed);
    for (const auto& item : list)
    {
        if (item.leaving || item.id == self)
        {
            continue;
        }
        if (item.failure_domain == domain)
        {
            // Distance on the ring from this node, wrapping around.
            ring.emplace(stable_hash(item.id, ring_seed) - own, &item);
        }
        else
        {
            others.emplace(stable_hash(item.id, own), &item);
        }
    }
    std::vector<instance> peers;
    std::size_t position = 1;
    std::size_t next = 1;
    for (const auto& [distance, item] : ring)
    {
        if (position == next)
        {
            peers.push_back(*item);
            next *= 2;
        }
        ++position;
    }
    std::vector<std::string> domains;
    for (const auto& [hash, item] : others)
    {
        const bool seen = std::find(domains.begin(), domains.end(),
                                    item->failure_domain) != domains.end();
        if (domains.size() < foreign && !seen)
        {
            domains.push_back(item->failure_domain);
            peers.push_back(*item);
        }
    }
    return peers;
}

fallback_reader::fallback_reader(duration silence, duration spread)
    : silence_(silence), spread_(spread)
{
}

void fallback_reader::on_digest(time_point /*now*/)
{
    armed_ = false;
}

bool fallback_reader::should_read(double random, time_point now)
{
    if (!armed_)
    {
        armed_ = true;
        next_ = now + silence_ + from_seconds(seconds(spread_) * random);
        return false;
    }
    if (now < next_)
    {
        return false;
    }
    armed_ = false;
    return true;
}

} // namespace jujubespan
