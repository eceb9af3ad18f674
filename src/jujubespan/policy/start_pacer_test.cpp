// Tests of the spacing of call starts.

#include "jujubespan/policy/start_pacer.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace jujubespan
{
namespace
{

using namespace std::chrono_literals;

const time_point start{1000s};

// Offers a call every `gap`; returns the times of the starts.
std::vector<time_point> offer(start_pacer& pacer, time_point& now,
                              duration time, duration gap)
{
    std::vector<time_point> starts;
    for (const auto until = now + time; now < until; now += gap)
    {
        if (pacer.may_start(now))
        {
            pacer.on_start(now);
            starts.push_back(now);
        }
    }
    return starts;
}

TEST(start_pacer, without_a_rate_every_call_starts)
{
    start_pacer pacer;
    time_point now = start;
    EXPECT_EQ(offer(pacer, now, 1s, 1ms).size(), 1000U);
}

TEST(start_pacer, rate_is_used_in_full_and_not_exceeded)
{
    for (const double rate : {0.7, 3.0, 17.3, 250.0})
    {
        start_pacer pacer;
        time_point now = start;
        pacer.set_rate(rate, now);
        const auto starts = offer(pacer, now, 40s, 1ms);
        EXPECT_NEAR(static_cast<double>(starts.size()), rate * 40,
                    rate * 0.1 + 2);
        for (std::size_t i = 0; i < starts.size(); ++i)
        {
            std::size_t in_window = 0;
            for (std::size_t j = i;
                 j < starts.size() && starts[j] < starts[i] + 4s; ++j)
            {
                ++in_window;
            }
            EXPECT_LE(static_cast<double>(in_window), rate * 4.1 + 2);
        }
    }
}

TEST(start_pacer, idle_time_and_pauses_accumulate_no_starts)
{
    start_pacer pacer;
    time_point now = start;
    pacer.set_rate(20, now);
    offer(pacer, now, 1s, 1ms);
    now += 60s;
    EXPECT_LE(offer(pacer, now, 10ms, 1ms).size(), 3U);
}

TEST(start_pacer, rate_of_zero_leaves_a_rare_probe)
{
    start_pacer pacer;
    time_point now = start;
    pacer.set_rate(0, now);
    const auto starts = offer(pacer, now, 8s, 10ms);
    EXPECT_GE(starts.size(), 3U);
    EXPECT_LE(starts.size(), 5U);
}

TEST(start_pacer, higher_rate_takes_effect_at_once)
{
    start_pacer pacer;
    time_point now = start;
    pacer.set_rate(0, now);
    offer(pacer, now, 1s, 10ms);
    pacer.set_rate(100, now);
    EXPECT_GE(offer(pacer, now, 1s, 1ms).size(), 95U);
}

} // namespace
} // namespace jujubespan
