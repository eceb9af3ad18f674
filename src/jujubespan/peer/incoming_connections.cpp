#include "jujubespan/peer/incoming_connections.hpp"

#include <algorithm>

namespace jujubespan::peer
{

namespace
{

// A node may open a second connection before the end of its first one is
// noticed, and nodes that were added are not listed at once.
constexpr std::size_t connections_per_node = 2;
constexpr std::size_t unlisted_connections = 64;

} // namespace

void incoming_connections::set_peer_count(std::size_t count)
{
    limit_ = connections_per_node * count + unlisted_connections;
}

std::optional<int> incoming_connections::on_accepted(int descriptor)
{
    ++count_;
    unidentified_.push_back(descriptor);
    if (count_ <= limit_)
    {
        return std::nullopt;
    }
    const int longest_open = unidentified_.front();
    unidentified_.pop_front();
    return longest_open;
}

void incoming_connections::on_closed(int descriptor)
{
    count_ -= std::min<std::size_t>(count_, 1);
    on_identified(descriptor);
}

void incoming_connections::on_identified(int descriptor)
{
    std::erase(unidentified_, descriptor);
}

} // namespace jujubespan::peer
