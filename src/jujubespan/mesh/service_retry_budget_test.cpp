// Tests of the retry budget of a service, counted where requests arrive: at the
// backend servers of all nodes.

#include "fleet_testing.hpp"

#include <gtest/gtest.h>

namespace jujubespan::mesh
{
namespace
{

using namespace std::chrono_literals;
using testing::simulated_fleet;

constexpr std::size_t node_count = 8;
constexpr double request_rate = 800; // requests per second

void set_error_share(simulated_fleet& fleet, double share)
{
    for (auto& server : fleet.servers)
    {
        server.error_share = share;
    }
}

// Guards against a budget that is spent twice in one window when all nodes
// restart while the backend servers fail requests.
TEST(service_retry_budget, is_kept_when_all_nodes_restart)
{
    simulated_fleet fleet(node_count);
    fleet.run(12s, request_rate);
    set_error_share(fleet, 0.6);
    fleet.run(3s, request_rate);
    for (std::size_t i = 0; i < node_count; ++i)
    {
        fleet.restart_node(i);
    }
    fleet.run(12s, request_rate);
    EXPECT_LE(fleet.largest_budget_excess(), 0);
}

// The same while half of the nodes restart, and again three seconds later.
TEST(service_retry_budget, is_kept_when_half_of_the_nodes_restart_twice)
{
    simulated_fleet fleet(node_count);
    fleet.run(12s, request_rate);
    set_error_share(fleet, 0.6);
    fleet.run(3s, request_rate);
    for (int restart = 0; restart < 2; ++restart)
    {
        for (std::size_t i = 0; i < node_count; i += 2)
        {
            fleet.restart_node(i);
        }
        fleet.run(3s, request_rate);
    }
    fleet.run(9s, request_rate);
    EXPECT_LE(fleet.largest_budget_excess(), 0);
}

// Guards against retries that no guard charges: servers end, so that attempts
// fail before and after they reach a server.
TEST(service_retry_budget, is_kept_while_servers_end)
{
    simulated_fleet fleet(node_count);
    fleet.run(12s, request_rate);
    set_error_share(fleet, 0.3);
    for (int round = 0; round < 4; ++round)
    {
        for (std::size_t i = 0; i < 3; ++i)
        {
            fleet.crash_server(i);
        }
        fleet.run(4s, request_rate);
    }
    EXPECT_LE(fleet.largest_budget_excess(), 0);
}

// Guards against a budget so small that retries do not help: one request in ten
// fails, and its retry at another server nearly always succeeds.
TEST(service_retry_budget, pays_for_the_retries_of_a_tenth_of_the_requests)
{
    simulated_fleet fleet(node_count);
    fleet.run(12s, request_rate);
    set_error_share(fleet, 0.1);
    const auto outcomes = fleet.run(10s, request_rate);
    EXPECT_GE(static_cast<double>(outcomes.answered), 0.97 * 10 * request_rate);
}

} // namespace
} // namespace jujubespan::mesh
