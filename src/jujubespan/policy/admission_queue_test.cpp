#include "jujubespan/policy/admission_queue.hpp"

#include <gtest/gtest.h>

namespace jujubespan
{
namespace
{

using namespace std::chrono_literals;

const time_point start(1000s);

queued_call make_call(std::uint64_t id, request_class cls,
                      bool prioritized = false)
{
    queued_call call;
    call.id = id;
    call.key = static_cast<shed_key>(cls) * keys_per_class + 5;
    call.prioritized = prioritized;
    call.arrived = start;
    call.deadline = start + 1s;
    return call;
}

TEST(admission_queue, orders_by_class_then_prioritized_calls_first)
{
    admission_queue queue(100ms, 100);
    queue.offer(make_call(1, request_class::sheddable));
    queue.offer(make_call(2, request_class::critical));
    queue.offer(make_call(3, request_class::critical, true));
    queue.offer(make_call(4, request_class::normal, true));
    std::vector<std::uint64_t> expired;
    std::vector<std::uint64_t> order;
    while (const auto call = queue.pop(start, expired))
    {
        order.push_back(call->id);
    }
    EXPECT_EQ(order, (std::vector<std::uint64_t>{3, 2, 4, 1}));
}

// Guards against a server that returns calls for which other services have
// already worked while it could return others.
TEST(admission_queue, trim_removes_the_lowest_and_keeps_prioritized_calls)
{
    admission_queue queue(100ms, 100);
    for (std::uint64_t id = 1; id <= 6; ++id)
    {
        queue.offer(make_call(id, request_class::normal, id <= 3));
    }
    EXPECT_EQ(queue.trim(1), (std::vector<std::uint64_t>{6, 5, 4}));
    EXPECT_EQ(queue.size(), 3U) << "up to four prioritized calls stay";
    EXPECT_TRUE(queue.trim(3).empty());
    EXPECT_EQ(queue.bound(), 64U) << "not changed";
}

TEST(admission_queue, higher_class_evicts_lower)
{
    admission_queue queue(100ms, 4);
    for (std::uint64_t id = 1; id <= 4; ++id)
    {
        EXPECT_TRUE(queue.offer(make_call(id, request_class::normal)).accepted);
    }
    EXPECT_FALSE(queue.offer(make_call(5, request_class::sheddable)).accepted);
    const auto result = queue.offer(make_call(6, request_class::critical));
    EXPECT_TRUE(result.accepted);
    EXPECT_EQ(result.evicted, 4U);
    EXPECT_EQ(queue.size(), 4U);
}

TEST(admission_queue, bound_follows_the_service_rate)
{
    admission_queue queue(100ms, 1000);
    queue.update_service_rate(500, 10ms);
    EXPECT_EQ(queue.bound(), 50U);
    queue.update_service_rate(1, 10ms);
    EXPECT_EQ(queue.bound(), 4U);
}

TEST(admission_queue, drops_calls_that_cannot_finish_in_time)
{
    admission_queue queue(100ms, 100);
    queue.update_service_rate(100, 200ms);
    auto expiring = make_call(1, request_class::critical);
    expiring.deadline = start + 250ms;
    queue.offer(expiring);
    queue.offer(make_call(2, request_class::sheddable));
    std::vector<std::uint64_t> expired;
    const auto call = queue.pop(start + 100ms, expired);
    ASSERT_TRUE(call);
    EXPECT_EQ(call->id, 2U);
    EXPECT_EQ(expired, (std::vector<std::uint64_t>{1}));
    EXPECT_TRUE(queue.empty());
    EXPECT_EQ(queue.oldest_wait(start + 1s), duration::zero());
}

TEST(admission_queue, removes_a_call_whose_caller_has_disconnected)
{
    admission_queue queue(100ms, 100);
    queue.offer(make_call(1, request_class::normal));
    EXPECT_TRUE(queue.remove(1));
    EXPECT_FALSE(queue.remove(1));
    EXPECT_TRUE(queue.take_expired(start + 2s).empty());
}

} // namespace
} // namespace jujubespan
