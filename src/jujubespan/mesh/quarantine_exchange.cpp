#include "jujubespan/mesh/quarantine_exchange.hpp"

#include <string>

namespace jujubespan::mesh
{

namespace
{

// Reports of a change are on their way to other nodes for this time.
constexpr duration settling_time = std::chrono::milliseconds(200);
constexpr duration exchange_interval = std::chrono::seconds(1); // with one node
// Addresses of nodes that have left are not worth keeping.
constexpr std::size_t max_peers = 4096;

} // namespace

bool quarantine_exchange::update(std::uint64_t own_digest, time_point now)
{
    if (own_digest == own_digest_)
    {
        return false;
    }
    own_digest_ = own_digest;
    changed_at_ = now;
    return true;
}

bool quarantine_exchange::is_due(std::string_view peer, std::uint64_t digest,
                                 time_point now)
{
    if (digest == own_digest_ || now - changed_at_ < settling_time)
    {
        return false;
    }
    const auto found = sent_at_.find(peer);
    if (found != sent_at_.end() && now - found->second < exchange_interval)
    {
        return false;
    }
    if (sent_at_.size() >= max_peers)
    {
        sent_at_.clear();
    }
    sent_at_[std::string(peer)] = now;
    return true;
}

} // namespace jujubespan::mesh
