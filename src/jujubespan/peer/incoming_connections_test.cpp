// Tests of the limit of incoming connections: strangers must neither use up the
// descriptors of a node nor keep other nodes out.

#include "jujubespan/peer/incoming_connections.hpp"

#include <gtest/gtest.h>

namespace jujubespan::peer
{
namespace
{

constexpr int first_stranger = 1000;

TEST(incoming_connections, longest_unidentified_connection_is_closed)
{
    incoming_connections target;
    target.set_peer_count(8); // limit: 80
    for (int peer = 0; peer < 16; ++peer)
    {
        EXPECT_FALSE(target.on_accepted(peer));
        target.on_identified(peer);
    }
    EXPECT_FALSE(target.has_unidentified());
    for (int i = 0; i < 64; ++i)
    {
        EXPECT_FALSE(target.on_accepted(first_stranger + i));
    }
    const auto closed = target.on_accepted(first_stranger + 64);
    EXPECT_EQ(closed, first_stranger);
    target.on_closed(first_stranger);
    EXPECT_EQ(target.count(), 80U);
    // Another node still gets in, in the place of a stranger.
    EXPECT_EQ(target.on_accepted(16), first_stranger + 1);
}

TEST(incoming_connections, closed_connections_make_room)
{
    incoming_connections target;
    target.set_peer_count(0);
    for (int round = 0; round < 3; ++round)
    {
        for (int i = 0; i < 64; ++i)
        {
            EXPECT_FALSE(target.on_accepted(i));
        }
        for (int i = 0; i < 64; ++i)
        {
            target.on_closed(i);
        }
    }
    EXPECT_EQ(target.count(), 0U);
}

} // namespace
} // namespace jujubespan::peer
