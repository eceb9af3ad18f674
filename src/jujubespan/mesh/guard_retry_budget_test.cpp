// Tests of the retry budget: the shares of all guards of a service never
// exceed it.

#include "jujubespan/mesh/guard_retry_budget.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>

namespace jujubespan::mesh
{
namespace
{

using namespace std::chrono_literals;

constexpr retry_budget_options options{0.2, 49, 10s};
constexpr auto attempt = retry_cause::attempt;
const time_point start{1000s};

TEST(guard_retry_budget, restarted_guard_has_no_slack_for_one_window)
{
    guard_retry_budget guard(options, false, start);
    guard.set_guard_count(2, start);
    EXPECT_FALSE(guard.try_spend(attempt, start + 1s));
    EXPECT_TRUE(guard.try_spend(attempt, start + 11s));
}

TEST(guard_retry_budget, starting_fleet_has_its_slack_at_once)
{
    guard_retry_budget guard(options, true, start);
    EXPECT_FALSE(guard.try_spend(attempt, start)) << "number of guards unknown";
    guard.set_guard_count(2, start);
    EXPECT_TRUE(guard.try_spend(attempt, start));
}

TEST(guard_retry_budget, guard_count_does_not_decrease_at_once)
{
    guard_retry_budget guard(options, true, start);
    guard.set_guard_count(40, start);
    const double before = guard.remaining(start);
    // A network partition hides most of the guards.
    guard.set_guard_count(4, start + 5s);
    EXPECT_DOUBLE_EQ(guard.remaining(start + 5s), before);
}

TEST(guard_retry_budget,
     calls_of_retried_requests_leave_budget_for_single_calls)
{
    guard_retry_budget guard(options, true, start);
    guard.set_guard_count(3, start);
    const double whole = guard.remaining(start);
    while (guard.try_spend(retry_cause::caller, start))
    {
    }
    EXPECT_GE(guard.remaining(start), whole / 2 - 1);
    EXPECT_TRUE(guard.try_spend(attempt, start));
}

// Every guard spends as many retries as it may while the request rate changes.
TEST(guard_retry_budget, service_keeps_the_budget_in_every_window)
{
    constexpr int guards = 13;
    std::mt19937 random(7);
    std::deque<guard_retry_budget> service;
    for (int i = 0; i < guards; ++i)
    {
        service.emplace_back(options, true, start);
        service.back().set_guard_count(guards, start);
    }
    std::deque<time_point> requests;
    std::deque<time_point> retries;
    for (auto now = start; now < start + 60s; now += 10ms)
    {
        const bool busy = (now - start) % 20s < 8s;
        const int arrivals = busy ? 3 : static_cast<int>(random() % 2);
        for (int i = 0; i < arrivals; ++i)
        {
            service[random() % guards].record_client_request(now);
            requests.push_back(now);
        }
        for (auto& guard : service)
        {
            while (guard.try_spend(attempt, now))
            {
                retries.push_back(now);
            }
        }
        std::erase_if(retries, [now](time_point at) { return at < now - 10s; });
        // Requests of this window or the one before, whichever has more.
        std::erase_if(requests,
                      [now](time_point at) { return at < now - 20s; });
        const auto recent =
            std::count_if(requests.begin(), requests.end(),
                          [now](time_point at) { return at >= now - 10s; });
        const auto before =
            static_cast<long>(requests.size()) - static_cast<long>(recent);
        const double budget =
            options.ratio *
                static_cast<double>(std::max<long>(recent, before)) +
            options.slack;
        ASSERT_LE(static_cast<double>(retries.size()), budget);
    }
}

// A small service deep in the call graph loses answers. The nodes that call it
// have few client requests of their own, so a budget earned by them alone
// would be almost zero.
TEST(guard_retry_budget, callers_without_own_clients_can_use_most_of_the_budget)
{
    constexpr int guards = 4;
    std::deque<guard_retry_budget> service;
    for (int i = 0; i < guards; ++i)
    {
        service.emplace_back(retry_budget_options{0.2, 106, 10s}, true, start);
        service.back().set_guard_count(guards, start);
    }
    int spent = 0;
    for (auto now = start; now < start + 10s; now += 10ms)
    {
        // 100 client requests per second reach the service, and each has a
        // call to retry.
        const auto step = static_cast<std::size_t>((now - start) / 10ms);
        service[step % guards].record_client_request(now);
        spent += service[step % guards].try_spend(attempt, now) ? 1 : 0;
    }
    EXPECT_GE(spent, 0.6 * (0.2 * 1000 + 106));
}

} // namespace
} // namespace jujubespan::mesh
