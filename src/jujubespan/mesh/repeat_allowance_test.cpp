// The fleet's retry budget: the parts of all nodes never exceed it.

#include "jujubespan/mesh/repeat_allowance.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <memory>
#include <random>

namespace jujubespan::mesh
{
namespace
{

using namespace std::chrono_literals;

constexpr repeat_terms terms{0.2, 49, 10s};
const time_point start{1000s};

std::vector<service_cost> one(std::string service)
{
    return {{std::move(service), 1, 0}};
}

TEST(repeat_allowance, newcomer_has_no_slack_for_one_window)
{
    repeat_allowance node(terms, false, start);
    node.on_fleet_size(2, start);
    EXPECT_FALSE(node.spend(one("a"), start + 1s));
    EXPECT_TRUE(node.spend(one("a"), start + 11s));
}

TEST(repeat_allowance, fresh_fleet_has_its_slack_at_once)
{
    repeat_allowance node(terms, true, start);
    EXPECT_FALSE(node.spend(one("a"), start)); // Size of the fleet unknown.
    node.on_fleet_size(2, start);
    EXPECT_TRUE(node.spend(one("a"), start));
}

TEST(repeat_allowance, repeat_needs_room_at_every_service_behind_it)
{
    repeat_allowance node(terms, true, start);
    node.on_fleet_size(13, start);
    const std::vector<service_cost> costs{{"shop", 1, 0}, {"deep", 4, 0}};
    EXPECT_FALSE(node.spend(costs, start)) << "a part of 49 / 13 / 1.25";
    EXPECT_NEAR(node.left("shop", start), 0.7 * 49 / 13 / 1.25, 1e-6)
        << "nothing was taken";
}

TEST(repeat_allowance, size_of_the_fleet_does_not_shrink_at_once)
{
    repeat_allowance node(terms, true, start);
    node.on_fleet_size(40, start);
    const double before = node.left("a", start);
    node.on_fleet_size(4, start + 5s); // A cut hides most nodes.
    EXPECT_DOUBLE_EQ(node.left("a", start + 5s), before);
}

// Pattern: every node repeats as often as it may while requests come and go.
TEST(repeat_allowance, fleet_keeps_the_budget_in_every_window)
{
    constexpr int nodes = 13;
    std::mt19937 random(7);
    std::deque<repeat_allowance> fleet;
    for (int i = 0; i < nodes; ++i)
    {
        fleet.emplace_back(terms, true, start);
        fleet.back().on_fleet_size(nodes, start);
    }
    std::deque<time_point> requests;
    std::deque<time_point> repeats;
    for (auto now = start; now < start + 60s; now += 10ms)
    {
        const bool busy = (now - start) % 20s < 8s;
        const int arrivals = busy ? 3 : static_cast<int>(random() % 2);
        for (int i = 0; i < arrivals; ++i)
        {
            fleet[random() % nodes].on_client_request("a", now);
            requests.push_back(now);
        }
        for (auto& node : fleet)
        {
            while (node.spend(one("a"), now))
            {
                repeats.push_back(now);
            }
        }
        std::erase_if(repeats, [now](time_point at) { return at < now - 10s; });
        // Requests of this window or the one before, whichever has more.
        std::erase_if(requests,
                      [now](time_point at) { return at < now - 20s; });
        const auto recent =
            std::count_if(requests.begin(), requests.end(),
                          [now](time_point at) { return at >= now - 10s; });
        const auto before =
            static_cast<long>(requests.size()) - static_cast<long>(recent);
        const double budget =
            terms.ratio * static_cast<double>(std::max<long>(recent, before)) +
            terms.slack;
        ASSERT_LE(static_cast<double>(repeats.size()), budget);
    }
}

} // namespace
} // namespace jujubespan::mesh
