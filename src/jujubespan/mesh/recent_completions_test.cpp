// Tests of the memory of completed requests.

#include "jujubespan/mesh/recent_completions.hpp"

#include <gtest/gtest.h>

namespace jujubespan::mesh
{
namespace
{

using namespace std::chrono_literals;

const time_point start{1000s};

TEST(recent_completions, are_remembered_for_5_to_10_seconds)
{
    recent_completions target;
    target.expire(start);
    target.record(1, start + 1s);
    target.expire(start + 5s);
    EXPECT_TRUE(target.contains(1));
    EXPECT_FALSE(target.contains(2));
    target.expire(start + 10s);
    EXPECT_FALSE(target.contains(1));
}

TEST(recent_completions, are_bounded_in_number)
{
    recent_completions target;
    target.expire(start);
    for (request_fingerprint request = 1; request <= 100'000; ++request)
    {
        target.record(request, start);
    }
    EXPECT_TRUE(target.contains(100'000));
    EXPECT_FALSE(target.contains(1));
}

} // namespace
} // namespace jujubespan::mesh
