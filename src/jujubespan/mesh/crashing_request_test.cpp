// Tests of requests that end the process of each backend server that runs them.

#include "fleet_testing.hpp"

#include <gtest/gtest.h>

namespace jujubespan::mesh
{
namespace
{

using namespace std::chrono_literals;
using testing::simulated_fleet;

// Within this time of a fact every node in contact must act on it.
constexpr duration contact_time = 3s;
constexpr std::size_t crash_threshold = 3;
constexpr std::size_t tolerated_retries = 3;
constexpr double background_rate = 400; // requests per second

// Guards against a request being sent to server after server, each of which
// ends, because its retries and repetitions are taken for new requests.
TEST(crashing_request, stops_reaching_servers_after_it_has_ended_three)
{
    simulated_fleet fleet(6);
    fleet.run(1s, background_rate);
    fleet.crashing_per_second = 5;
    fleet.run(20s, background_rate);
    ASSERT_GE(fleet.crashes().size(), crash_threshold);
    const auto known_at =
        fleet.crashes()[crash_threshold - 1].at + contact_time;
    EXPECT_LE(fleet.arrivals_of(fleet.crashing_target, known_at),
              tolerated_retries);
}

// The other requests are served again while the request is still repeated.
TEST(crashing_request, leaves_the_service_to_the_other_requests)
{
    simulated_fleet fleet(6);
    fleet.run(1s, background_rate);
    fleet.crashing_per_second = 5;
    fleet.run(10s, background_rate);
    const auto outcomes = fleet.run(10s, background_rate);
    EXPECT_GE(static_cast<double>(outcomes.answered),
              0.99 * 10 * background_rate);
}

// Guards against copies that several clients send at once ending more servers
// than one after another: a restarted fleet knows nothing of the first three.
TEST(crashing_request, that_many_clients_send_runs_once_at_a_time)
{
    simulated_fleet fleet(6);
    fleet.run(1s, background_rate);
    fleet.crash_server(0);
    fleet.send_request(fleet.crashing_target);
    fleet.run(200ms, background_rate);
    const auto before = fleet.arrivals_of(fleet.crashing_target, {});
    fleet.crashing_per_second = 100;
    fleet.run(10s, background_rate);
    EXPECT_LE(fleet.arrivals_of(fleet.crashing_target, {}), crash_threshold);
    EXPECT_GE(before, 1U);
}

// A request that must not repeat is not retried by nodes, only sent again by
// its client.
TEST(crashing_request, that_is_not_idempotent_ends_three_servers_at_most)
{
    simulated_fleet fleet(6);
    fleet.crashing_target = simulated_fleet::unsafe_crashing_prefix;
    fleet.run(1s, background_rate);
    fleet.crashing_per_second = 5;
    fleet.run(20s, background_rate);
    EXPECT_EQ(fleet.crashes().size(), crash_threshold);
}

// Nodes that restart one after the other learn from the others.
TEST(crashing_request, stays_quarantined_when_all_nodes_restart_in_turn)
{
    simulated_fleet fleet(6);
    fleet.run(1s, background_rate);
    fleet.crashing_per_second = 5;
    fleet.run(10s, background_rate);
    const auto crashes = fleet.crashes().size();
    for (std::size_t i = 0; i < fleet.servers.size(); ++i)
    {
        fleet.restart_node(i);
        fleet.run(1s, background_rate);
    }
    fleet.run(5s, background_rate);
    EXPECT_EQ(fleet.crashes().size(), crashes);
}

// Guards against a report that is lost with a connection leaving a node
// uninformed.
TEST(crashing_request, is_known_to_nodes_that_missed_all_reports)
{
    simulated_fleet fleet(6);
    fleet.run(1s, background_rate);
    fleet.reports_are_lost = true;
    fleet.crashing_per_second = 5;
    fleet.run(2s, background_rate);
    fleet.crashing_per_second = 0;
    fleet.reports_are_lost = false;
    fleet.run(contact_time, background_rate);
    const auto since = fleet.now();
    fleet.crashing_per_second = 5;
    fleet.run(20s, background_rate);
    EXPECT_LE(fleet.arrivals_of(fleet.crashing_target, since),
              crash_threshold + tolerated_retries);
}

// Guards against a request that runs beside others in waves of crashes which it
// does not cause being taken for their cause.
TEST(crashing_request, waves_of_other_crashes_quarantine_nothing)
{
    for (const std::string common : {"", "/popular"})
    {
        simulated_fleet fleet(6);
        fleet.common_target = common;
        fleet.run(1s, background_rate);
        for (int wave = 0; wave < 20; ++wave)
        {
            for (std::size_t i = 0; i < 3; ++i)
            {
                fleet.crash_server((wave + i) % fleet.servers.size());
            }
            fleet.run(1500ms, background_rate);
        }
        EXPECT_GE(fleet.crashes().size(), 20U);
        EXPECT_EQ(fleet.quarantine_refusals(), 0U) << common;
    }
}

// The requests that were in progress beside the one that ends the servers.
TEST(crashing_request, others_in_progress_are_not_quarantined)
{
    simulated_fleet fleet(6);
    fleet.run(1s, background_rate);
    fleet.crashing_per_second = 20;
    fleet.run(20s, background_rate);
    fleet.crashing_per_second = 0;
    const auto outcomes = fleet.run(5s, background_rate);
    EXPECT_EQ(fleet.quarantine_refusals(), 0U);
    EXPECT_EQ(outcomes.answered, static_cast<std::size_t>(5 * background_rate));
}

} // namespace
} // namespace jujubespan::mesh
