// Tests of the steps of a planned stop for graces of any length.

#include "jujubespan/node/drain_schedule.hpp"

#include <gtest/gtest.h>

namespace jujubespan::node
{
namespace
{

using namespace std::chrono_literals;

// Guards against requests being admitted until the end of a short grace, which
// then cuts them.
TEST(drain_schedule, leaves_time_to_complete_what_was_admitted)
{
    for (const duration grace :
         {1000ms, 1500ms, 2000ms, 3000ms, 4000ms, 6000ms, 10'000ms, 600'000ms})
    {
        const auto steps = make_drain_schedule(grace);
        EXPECT_GT(steps.announcement, duration::zero());
        EXPECT_LT(steps.announcement, steps.end_of_admission);
        EXPECT_LT(steps.end_of_admission, steps.end_of_starts);
        EXPECT_LT(steps.end_of_starts, steps.end);
        EXPECT_LT(steps.end, grace);
        EXPECT_GE(steps.end - steps.end_of_admission, grace / 3);
        EXPECT_GE(steps.end - steps.end_of_starts, grace / 6);
    }
}

// Guards against requests being cut although a sixth of the grace is left.
TEST(drain_schedule, uses_five_sixths_of_the_grace)
{
    for (const duration grace : {1000ms, 3000ms, 4000ms, 6000ms, 10'000ms})
    {
        EXPECT_GE(make_drain_schedule(grace).end, grace * 5 / 6);
    }
}

// Guards against refusals while load balancers still send requests.
TEST(drain_schedule, admits_until_load_balancers_have_noticed)
{
    const auto steps = make_drain_schedule(6s);
    EXPECT_EQ(steps.announcement, 2000ms);
    EXPECT_EQ(steps.end_of_admission, 2800ms);
    EXPECT_EQ(steps.end, 5300ms);
}

} // namespace
} // namespace jujubespan::node
