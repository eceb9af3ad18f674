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

// Simulates a saturated backend server that works on a fixed number of calls at
// once.
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
            // Calls beyond the number of slots share them.
            const double rate = std::min(static_cast<double>(running_.size()),
                                         static_cast<double>(slots_)) /
                                seconds(service_time);
            now += from_seconds(1 / rate);
            const auto started_at = running_.front();
            running_.pop();
            limit_.on_finish(now - started_at, now);
            ++completed;
            fill();
        }
    }

    duration service_time{10ms};
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

TEST(adaptive_limit, stays_near_an_accurate_slot_count)
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

TEST(adaptive_limit, decreases_when_too_many_slots_are_published)
{
    const auto limit = make_adaptive_limit(40, {});
    saturated_server server(*limit, 40);
    server.run(5s);
    // The server loses most of its slots; the published number does not change.
    saturated_server smaller(*limit, 15);
    smaller.now = server.now;
    smaller.run(60s);
    EXPECT_LE(limit->limit(smaller.now), 24U);
    EXPECT_GE(limit->limit(smaller.now), 13U);
}

TEST(adaptive_limit, a_slowdown_does_not_reduce_the_limit)
{
    const auto limit = make_adaptive_limit(40, {});
    saturated_server server(*limit, 40);
    server.run(10s);
    server.service_time = 50ms;
    server.run(20s);
    server.service_time = 10ms;
    server.run(5s);
    EXPECT_GE(limit->limit(server.now), 36U);
}

TEST(adaptive_limit, decreases_when_the_backend_server_refuses)
{
    const auto limit = make_adaptive_limit(40, {});
    time_point now(1000s);
    limit->on_backend_refusal(now);
    EXPECT_EQ(limit->limit(now), 36U);
    limit->on_backend_refusal(now + 1ms); // In the same burst.
    EXPECT_EQ(limit->limit(now), 36U);
    for (int i = 0; i < 100; ++i)
    {
        now += 200ms;
        limit->on_backend_refusal(now);
    }
    EXPECT_EQ(limit->limit(now), 5U);
}

TEST(adaptive_limit, rises_gradually_during_a_cold_start)
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
