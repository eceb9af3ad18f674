// Tests of backend servers that announce in their responses that they are about
// to stop, whatever discovery lists.

#include "fleet_testing.hpp"

#include <gtest/gtest.h>

namespace jujubespan::mesh
{
namespace
{

using namespace std::chrono_literals;
using testing::simulated_fleet;

constexpr duration drain_time = 2s;

// Guards against requests being sent to a server that has said that it leaves,
// because only discovery is asked.
TEST(announced_leaving, server_gets_no_requests_after_the_drain_time)
{
    simulated_fleet fleet(4);
    fleet.run(1s, 400);
    fleet.servers[0].leaving = true;
    fleet.run(drain_time, 400);
    const auto since = fleet.now();
    const auto outcomes = fleet.run(10s, 400);
    EXPECT_EQ(fleet.arrivals_between(0, since, fleet.now()), 0U);
    EXPECT_EQ(outcomes.refused + outcomes.failed, 0U);
}

// Entries vanish and come back while discovery is unavailable.
TEST(announced_leaving, server_that_is_listed_again_gets_no_requests)
{
    simulated_fleet fleet(4);
    fleet.run(1s, 400);
    fleet.servers[0].leaving = true;
    fleet.run(drain_time, 400);
    const auto since = fleet.now();
    fleet.servers[0].listed = false;
    fleet.publish_instances();
    fleet.run(1s, 400);
    fleet.servers[0].listed = true;
    fleet.publish_instances();
    fleet.run(3s, 400);
    EXPECT_EQ(fleet.arrivals_between(0, since, fleet.now()), 0U);
}

// The other nodes still know, so a restart of the server's own node does not
// bring it back into use for them.
TEST(announced_leaving, restart_of_its_node_does_not_bring_it_back)
{
    simulated_fleet fleet(4);
    fleet.run(1s, 400);
    fleet.servers[0].leaving = true;
    fleet.run(drain_time, 400);
    fleet.restart_node(0);
    fleet.run(1s, 400);
    const auto since = fleet.now();
    fleet.run(3s, 400);
    EXPECT_EQ(fleet.arrivals_between(0, since, fleet.now()), 0U);
}

// Guards against an announcement being lost that arrives while the entry is
// missing; the server's node, which knows it too, restarts meanwhile.
TEST(announced_leaving, announcement_of_an_unlisted_server_is_kept)
{
    simulated_fleet fleet(4);
    fleet.run(1s, 1600);
    // All nodes have calls at the server when its entry vanishes.
    fleet.servers[0].leaving = true;
    fleet.servers[0].listed = false;
    fleet.publish_instances();
    fleet.run(500ms, 400);
    fleet.restart_node(0);
    fleet.servers[0].listed = true;
    const auto relisted = fleet.now();
    fleet.publish_instances();
    fleet.run(1s, 400);
    EXPECT_GE(fleet.told_node_count(0), 2U);
    EXPECT_EQ(fleet.arrivals_from_told(0, relisted), 0U);
    fleet.run(drain_time, 400);
    const auto since = fleet.now();
    fleet.run(1s, 400);
    EXPECT_EQ(fleet.arrivals_between(0, since, fleet.now()), 0U);
}

TEST(announced_leaving, new_lifetime_of_the_same_id_gets_requests)
{
    simulated_fleet fleet(4);
    fleet.run(1s, 400);
    fleet.servers[0].leaving = true;
    fleet.run(drain_time, 400);
    fleet.servers[0].leaving = false;
    fleet.servers[0].incarnation = 2;
    fleet.publish_instances();
    fleet.run(1s, 400);
    const auto since = fleet.now();
    fleet.run(2s, 400);
    EXPECT_GE(fleet.arrivals_between(0, since, fleet.now()), 100U);
}

} // namespace
} // namespace jujubespan::mesh
