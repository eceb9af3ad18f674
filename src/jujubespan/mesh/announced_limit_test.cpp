// Tests of limits that backend servers announce: what the fleet together sends
// to such a server, and what becomes of the requests that it does not take.

#include "fleet_testing.hpp"

#include <gtest/gtest.h>

namespace jujubespan::mesh
{
namespace
{

using namespace std::chrono_literals;
using testing::simulated_fleet;

// Time that the fleet has to apply a limit, and the window and tolerance with
// which its requests are compared with it.
constexpr duration contact_time = 3s;
constexpr duration window = 4s;

std::size_t allowed(double rate_limit)
{
    return static_cast<std::size_t>(1.5 * rate_limit * seconds(window) + 5);
}

// Pattern: one server of a service is in need while the others have room.
// Guards against requests being sent to a server beyond the limit that it
// announced, because no node reads the announcement.
TEST(announced_limit, fleet_sends_no_more_than_a_server_announced)
{
    simulated_fleet fleet(4);
    fleet.run(1s, 400);
    fleet.servers[0].rate_limit = "20";
    fleet.run(contact_time, 400);
    const auto since = fleet.now();
    const auto outcomes = fleet.run(8s, 400);
    EXPECT_LE(fleet.most_arrivals(0, window, since), allowed(20));
    EXPECT_GE(fleet.arrivals_between(0, since, fleet.now()), 100U)
        << "the server still takes what it announced";
    EXPECT_EQ(outcomes.refused + outcomes.failed, 0U)
        << "the other servers have room";
}

// Pattern: the guard of a server in need restarts under load, while the nodes
// that call it know its limit.
TEST(announced_limit, restarted_guard_keeps_to_the_announced_limit)
{
    simulated_fleet fleet(4);
    fleet.servers[0].rate_limit = "20";
    fleet.run(contact_time, 400);
    const auto since = fleet.now();
    fleet.run(2s, 400);
    fleet.restart_node(0);
    const auto restarted = fleet.now();
    fleet.run(6s, 400);
    EXPECT_LE(fleet.most_arrivals(0, window, since), allowed(20));
    EXPECT_LE(fleet.arrivals_between(0, restarted, restarted + 200ms), 20U);
}

// Pattern: all servers of a service are in need. What they take is used, and
// the rest is refused as not run.
TEST(announced_limit, service_whose_servers_are_all_limited_is_used_fully)
{
    simulated_fleet fleet(4);
    for (auto& server : fleet.servers)
    {
        server.rate_limit = "20";
    }
    fleet.run(contact_time, 200);
    const auto since = fleet.now();
    const auto outcomes = fleet.run(8s, 200);
    for (std::size_t i = 0; i < fleet.servers.size(); ++i)
    {
        EXPECT_LE(fleet.most_arrivals(i, window, since), allowed(20));
    }
    EXPECT_GE(outcomes.answered, 0.8 * 4 * 20 * 8);
    EXPECT_EQ(outcomes.failed, 0U);
}

TEST(announced_limit, withdrawn_limit_ends)
{
    simulated_fleet fleet(4);
    fleet.servers[0].rate_limit = "5";
    fleet.run(contact_time, 400);
    fleet.servers[0].rate_limit.reset();
    fleet.run(3s, 400);
    const auto since = fleet.now();
    fleet.run(2s, 400);
    EXPECT_GE(fleet.arrivals_between(0, since, fleet.now()), 100U);
}

// A server that takes no request must still be asked now and then, since only
// its responses tell that it does again.
TEST(announced_limit, limit_of_zero_is_probed_and_ends)
{
    simulated_fleet fleet(4);
    fleet.servers[0].rate_limit = "0";
    fleet.run(contact_time, 400);
    const auto since = fleet.now();
    fleet.run(6s, 400);
    EXPECT_LE(fleet.most_arrivals(0, window, since), allowed(0));
    EXPECT_GE(fleet.arrivals_between(0, since, fleet.now()), 1U);
    fleet.servers[0].rate_limit.reset();
    fleet.run(6s, 400);
    const auto after = fleet.now();
    fleet.run(2s, 400);
    EXPECT_GE(fleet.arrivals_between(0, after, fleet.now()), 100U);
}

// Guards against one spoiled response ending a limit, or setting a wrong one.
TEST(announced_limit, unreadable_limit_changes_nothing)
{
    simulated_fleet fleet(4);
    fleet.servers[0].rate_limit = "20";
    fleet.run(contact_time, 400);
    const auto since = fleet.now();
    fleet.servers[0].rate_limit = "many";
    fleet.run(5s, 400);
    EXPECT_LE(fleet.most_arrivals(0, window, since), allowed(20));
}

} // namespace
} // namespace jujubespan::mesh
