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
    std::size_t higher_ranked = 0;
    for (const auto& item : list)
    {
        const bool competitor =
            item.failure_domain == domain && !item.leaving && item.id != self;
        if (competitor && stable_hash(item.id, reader_seed) > own)
        {
            ++higher_ranked;
        }
    }
    return higher_ranked < readers;
}

std::vector<instance> select_heartbeat_peers(std::string_view self,
                                             std::string_view domain,
                                             std::span<const instance> list,
                                             std::size_t foreign_domains)
{
    std::map<std::uint64_t, const instance*> ring;
    std::map<std::uint64_t, const instance*> other_domains;
    const auto own = stable_hash(self, ring_seed);
    for (const auto& item : list)
    {
        if (item.leaving || item.id == self)
        {
            continue;
        }
        if (item.failure_domain == domain)
        {
            // Distance from this node on the ring; the subtraction wraps
            // around.
            ring.emplace(stable_hash(item.id, ring_seed) - own, &item);
        }
        else
        {
            other_domains.emplace(stable_hash(item.id, own), &item);
        }
    }
    std::vector<instance> peers;
    std::size_t position = 1;
    std::size_t next_position = 1;
    for (const auto& [distance, item] : ring)
    {
        if (position == next_position)
        {
            peers.push_back(*item);
            next_position *= 2;
        }
        ++position;
    }
    std::vector<std::string> chosen_domains;
    for (const auto& [hash, item] : other_domains)
    {
        const bool domain_chosen =
            std::find(chosen_domains.begin(), chosen_domains.end(),
                      item->failure_domain) != chosen_domains.end();
        if (chosen_domains.size() < foreign_domains && !domain_chosen)
        {
            chosen_domains.push_back(item->failure_domain);
            peers.push_back(*item);
        }
    }
    return peers;
}

fallback_reader::fallback_reader(duration heartbeat_timeout, duration max_delay)
    : heartbeat_timeout_(heartbeat_timeout), max_delay_(max_delay)
{
}

void fallback_reader::on_heartbeat(time_point /*now*/)
{
    waiting_ = false;
}

bool fallback_reader::should_read(double random, time_point now)
{
    if (!waiting_)
    {
        waiting_ = true;
        read_at_ = now + heartbeat_timeout_ +
                   from_seconds(seconds(max_delay_) * random);
        return false;
    }
    if (now < read_at_)
    {
        return false;
    }
    waiting_ = false;
    return true;
}

} // namespace jujubespan
