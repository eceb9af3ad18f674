// Tests of when nodes exchange their quarantines.

#include "jujubespan/mesh/quarantine_exchange.hpp"

#include <gtest/gtest.h>

namespace jujubespan::mesh
{
namespace
{

using namespace std::chrono_literals;

const time_point start{1000s};

TEST(quarantine_exchange, nodes_that_agree_exchange_nothing)
{
    quarantine_exchange target;
    EXPECT_FALSE(target.is_due("a", 0, start));
    EXPECT_TRUE(target.update(7, start));
    EXPECT_FALSE(target.update(7, start + 1s));
    EXPECT_FALSE(target.is_due("a", 7, start + 2s));
}

TEST(quarantine_exchange, waits_for_reports_that_are_on_their_way)
{
    quarantine_exchange target;
    target.update(7, start);
    EXPECT_FALSE(target.is_due("a", 0, start + 100ms));
    EXPECT_TRUE(target.is_due("a", 0, start + 200ms));
}

TEST(quarantine_exchange, is_repeated_once_a_second_with_each_node)
{
    quarantine_exchange target;
    target.update(7, start);
    int exchanges = 0;
    for (duration after = 1s; after < 11s; after += 10ms)
    {
        exchanges += target.is_due("a", 0, start + after) ? 1 : 0;
    }
    EXPECT_EQ(exchanges, 10);
    EXPECT_TRUE(target.is_due("b", 0, start + 11s));
}

// A node that has just started knows nothing, and learns by asking.
TEST(quarantine_exchange, new_node_asks_the_first_node_that_differs)
{
    quarantine_exchange target;
    EXPECT_TRUE(target.is_due("a", 7, start));
}

} // namespace
} // namespace jujubespan::mesh
