// The retry budget of a service: the parts of all guards never exceed it.

#include "jujubespan/mesh/repeat_allowance.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>

namespace jujubespan::mesh
{
namespace
{

using namespace std::chrono_literals;

constexpr retry_budget_options terms{0.2, 49, 10s};
constexpr auto attempt = retry_cause::attempt;
const time_point start{1000s};

TEST(repeat_allowance, newcomer_has_no_slack_for_one_window)
{
    repeat_allowance guard(terms, false, start);
    guard.on_guards(2, start);
    EXPECT_FALSE(guard.spend(attempt, start + 1s));
    EXPECT_TRUE(guard.spend(attempt, start + 11s));
}

TEST(repeat_allowance, fresh_fleet_has_its_slack_at_once)
{
    repeat_allowance guard(terms, true, start);
    EXPECT_FALSE(guard.spend(attempt, start)) << "number of guards unknown";
    guard.on_guards(2, start);
    EXPECT_TRUE(guard.spend(attempt, start));
}

TEST(repeat_allowance, number_of_guards_does_not_shrink_at_once)
{
    repeat_allowance guard(terms, true, start);
    guard.on_guards(40, start);
    const double before = guard.left(start);
    guard.on_guards(4, start + 5s); // A cut hides most of them.
    EXPECT_DOUBLE_EQ(guard.left(start + 5s), before);
}

TEST(repeat_allowance, calls_of_repeated_runs_leave_room_for_single_calls)
{
    repeat_allowance guard(terms, true, start);
    guard.on_guards(3, start);
    const double whole = guard.left(start);
    while (guard.spend(retry_cause::caller, start))
    {
    }
    EXPECT_GE(guard.left(start), whole / 2 - 1);
    EXPECT_TRUE(guard.spend(attempt, start));
}

// Pattern: every guard allows as many repeats as it may while requests come
// and go.
TEST(repeat_allowance, service_keeps_the_budget_in_every_window)
{
    constexpr int guards = 13;
    std::mt19937 random(7);
    std::deque<repeat_allowance> service;
    for (int i = 0; i < guards; ++i)
    {
        service.emplace_back(terms, true, start);
        service.back().on_guards(guards, start);
    }
    std::deque<time_point> requests;
    std::deque<time_point> repeats;
    for (auto now = start; now < start + 60s; now += 10ms)
    {
        const bool busy = (now - start) % 20s < 8s;
        const int arrivals = busy ? 3 : static_cast<int>(random() % 2);
        for (int i = 0; i < arrivals; ++i)
        {
            service[random() % guards].on_client_request(now);
            requests.push_back(now);
        }
        for (auto& guard : service)
        {
            while (guard.spend(attempt, now))
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

// Pattern: a small service deep in the call graph loses answers. Nodes that
// call it have few clients of its own, so that the budget that they could earn
// by themselves is next to nothing.
TEST(repeat_allowance, callers_without_own_clients_can_use_most_of_the_budget)
{
    constexpr int guards = 4;
    std::deque<repeat_allowance> service;
    for (int i = 0; i < guards; ++i)
    {
        service.emplace_back(retry_budget_options{0.2, 106, 10s}, true, start);
        service.back().on_guards(guards, start);
    }
    int spent = 0;
    for (auto now = start; now < start + 10s; now += 10ms)
    {
        // 132 requests a second of its own clients, and more calls than that
        // to be repeated.
        const auto step = static_cast<std::size_t>((now - start) / 10ms);
        service[step % guards].on_client_request(now);
        spent += service[step % guards].spend(attempt, now) ? 1 : 0;
    }
    EXPECT_GE(spent, 0.6 * (0.2 * 1000 + 106));
}

} // namespace
} // namespace jujubespan::mesh
