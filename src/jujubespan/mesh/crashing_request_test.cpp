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
    EXPECT_LE(fleet.arrivals_of(simulated_fleet::crashing_prefix, known_at),
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

} // namespace
} // namespace jujubespan::mesh
