// Tests of the record of instances that announced that they stop.

#include "jujubespan/mesh/leaving_instances.hpp"

#include <gtest/gtest.h>

namespace jujubespan::mesh
{
namespace
{

TEST(leaving_instances, holds_for_one_lifetime)
{
    leaving_instances target;
    EXPECT_FALSE(target.contains("i-1", 7));
    EXPECT_TRUE(target.record("i-1", 7));
    EXPECT_FALSE(target.record("i-1", 7)) << "known";
    EXPECT_TRUE(target.contains("i-1", 7));
    EXPECT_FALSE(target.contains("i-1", 8));
    EXPECT_FALSE(target.contains("i-2", 7));
    EXPECT_TRUE(target.record("i-1", 8));
    EXPECT_TRUE(target.contains("i-1", 8));
}

// The announcement may arrive before discovery lists the instance.
TEST(leaving_instances, unknown_lifetime_is_the_one_listed_next)
{
    leaving_instances target;
    target.record("i-1", 0);
    EXPECT_TRUE(target.contains("i-1", 7));
    target.on_listed("i-1", 7);
    EXPECT_TRUE(target.contains("i-1", 7));
    EXPECT_FALSE(target.contains("i-1", 8));
}

TEST(leaving_instances, unknown_lifetime_does_not_replace_a_known_one)
{
    leaving_instances target;
    target.record("i-1", 7);
    EXPECT_FALSE(target.record("i-1", 0));
    EXPECT_FALSE(target.contains("i-1", 8));
}

TEST(leaving_instances, number_of_instances_is_bounded)
{
    leaving_instances target;
    for (int i = 0; i < 5000; ++i)
    {
        target.record("i-" + std::to_string(i), 1);
    }
    EXPECT_TRUE(target.contains("i-4999", 1));
    EXPECT_FALSE(target.contains("i-0", 1));
}

} // namespace
} // namespace jujubespan::mesh
