#include "jujubespan/policy/concurrency_limit.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <queue>
#include <random>

namespace jujubespan
{
namespace
{

using namespace std::chrono_literals;

// A saturated backend server with a true number of slots.
class saturated_server
{
public:
    saturated_server(concurrency_limit& limit, unsigned slots)
        : limit_(limit), slots_(slots)
    {
    }

    void run(duration length)
    {
        const auto end = now + length;
        fill();
        while (now < end)
        {
            // All calls in the server share its slots.
            const double rate = std::min(static_cast<double>(running_.size()),
                                         static_cast<double>(slots_)) /
                                seconds(work);
            now += from_seconds(1 / rate);
            const auto begun = running_.front();
            running_.pop();
            limit_.on_finish(now - begun, now);
            ++completed;
            fill();
        }
    }

    duration work{10ms};
    time_point now{1000s};
    std::uint64_t completed{0};

private:
    void fill()
    {
        while (running_.size() < limit_.limit(now))
        {
            running_.push(now);
            limit_.on_start(static_cast<std::uint32_t>(running_.size()), now);
        }
    }

    concurrency_limit& limit_;
    unsigned slots_;
    std::queue<time_point> running_;
};

TEST(adaptive_limit, stays_near_slots_that_are_true)
{
    const auto limit = make_adaptive_limit(40, {});
    saturated_server server(*limit, 40);
    server.run(60s);
    EXPECT_GE(limit->limit(server.now), 40U);
    EXPECT_LE(limit->limit(server.now), 60U);
}

TEST(adaptive_limit, finds_more_slots_than_published)
{
    const auto limit = make_adaptive_limit(20, {});
    saturated_server server(*limit, 60);
    server.run(60s);
    EXPECT_GE(limit->limit(server.now), 48U);
}

TEST(adaptive_limit, comes_down_when_published_slots_are_too_many)
{
    const auto limit = make_adaptive_limit(40, {});
    saturated_server server(*limit, 40);
    server.run(5s);
    // Most of its slots are lost, and the published number stays frozen.
    saturated_server smaller(*limit, 15);
    smaller.now = server.now;
    smaller.run(60s);
    EXPECT_LE(limit->limit(smaller.now), 24U);
    EXPECT_GE(limit->limit(smaller.now), 13U);
}

TEST(adaptive_limit, a_slowdown_does_not_take_slots_away)
{
    const auto limit = make_adaptive_limit(40, {});
    saturated_server server(*limit, 40);
    server.run(10s);
    server.work = 50ms;
    server.run(20s);
    server.work = 10ms;
    server.run(5s);
    EXPECT_GE(limit->limit(server.now), 36U);
}

TEST(adaptive_limit, falls_when_the_backend_server_refuses)
{
    const auto limit = make_adaptive_limit(40, {});
    time_point now(1000s);
    limit->on_refused(now);
    EXPECT_EQ(limit->limit(now), 36U);
    limit->on_refused(now + 1ms); // Of the same burst.
    EXPECT_EQ(limit->limit(now), 36U);
    for (int i = 0; i < 100; ++i)
    {
        now += 200ms;
        limit->on_refused(now);
    }
    EXPECT_EQ(limit->limit(now), 5U);
}

TEST(adaptive_limit, warms_a_cold_backend_server_up)
{
    const auto limit = make_adaptive_limit(40, 10s);
    const time_point now(1000s);
    EXPECT_EQ(limit->limit(now), 4U);
    limit->on_start(1, now);
    EXPECT_EQ(limit->limit(now + 5s), 20U);
    EXPECT_EQ(limit->limit(now + 10s), 40U);
}

} // namespace
} // namespace jujubespan
