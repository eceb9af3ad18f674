// Tests of the retry budget: the shares of all guards of a service never
// exceed it.

#include "jujubespan/mesh/guard_retry_budget.hpp"

#include "retry_budget_testing.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <numeric>
#include <random>
#include <vector>

namespace jujubespan::mesh
{
namespace
{

using namespace std::chrono_literals;

constexpr retry_budget_options options{0.2, 49, 10s};
constexpr auto attempt = retry_cause::attempt;
const time_point start{1000s};

// A service whose guards spend as many retries as they may. Compares what they
// spend with the budget of the service.
class simulated_service
{
public:
    explicit simulated_service(std::size_t guard_count) : random_(7)
    {
        for (std::size_t i = 0; i < guard_count; ++i)
        {
            guards_.emplace_back(options, true, start);
            guards_.back().set_guard_count(guard_count, start);
        }
    }

    void restart(std::size_t index)
    {
        guards_[index] = guard_retry_budget(options, false, now_);
        guards_[index].set_guard_count(guards_.size(), now_);
    }

    void restart_all()
    {
        for (std::size_t i = 0; i < guards_.size(); ++i)
        {
            restart(i);
        }
    }

    /// @brief Sends client requests to guards drawn from a range.
    /// @param retries_needed false: no request needs a retry.
    void run(duration time, double requests_per_second, bool retries_needed,
             std::size_t first, std::size_t last)
    {
        for (const auto until = now_ + time; now_ < until; now_ += step)
        {
            requests_due_ += requests_per_second * seconds(step);
            for (; requests_due_ >= 1; requests_due_ -= 1)
            {
                std::uniform_int_distribution<std::size_t> index(first, last);
                guards_[index(random_)].record_client_request(now_);
                requests_.push_back(now_);
            }
            for (std::size_t i = 0; retries_needed && i < guards_.size(); ++i)
            {
                while (guards_[i].try_spend(attempt, now_))
                {
                    retries_.push_back(now_);
                }
            }
        }
    }

    void run(duration time, double requests_per_second, bool retries_needed)
    {
        run(time, requests_per_second, retries_needed, 0, guards_.size() - 1);
    }

    /// @brief Largest number of retries beyond the budget of a window.
    [[nodiscard]] double largest_excess() const
    {
        return testing::largest_budget_excess(retries_, requests_, options);
    }
    [[nodiscard]] std::size_t guard_count() const { return guards_.size(); }
    [[nodiscard]] std::size_t retry_count() const { return retries_.size(); }

private:
    static constexpr duration step = 10ms;

    std::mt19937 random_;
    time_point now_{start};
    std::vector<guard_retry_budget> guards_;
    std::vector<time_point> requests_;
    std::vector<time_point> retries_;
    double requests_due_{0};
};

// Guards against new processes that spend again what their predecessors have
// spent in the same window.
TEST(guard_retry_budget, restarted_guards_keep_the_budget_of_the_window)
{
    simulated_service service(19);
    service.run(12s, 950, false);
    service.run(2s, 950, true);
    service.restart_all();
    service.run(14s, 950, true);
    EXPECT_LE(service.largest_excess(), 0);
    EXPECT_GT(service.retry_count(), 0U);
}

// Guards against a share that is spent at one guard and earned again at another
// one by the same clients.
TEST(guard_retry_budget, guards_keep_the_budget_while_the_load_moves)
{
    simulated_service service(20);
    service.run(12s, 950, false, 0, 9);
    service.run(1s, 950, true, 0, 9);
    service.run(14s, 950, true, 10, 19);
    EXPECT_LE(service.largest_excess(), 0);
    EXPECT_GT(service.retry_count(), 0U);
}

// Guards against combinations of restarts, moving load and changing rates that
// exceed the budget.
TEST(guard_retry_budget, service_keeps_the_budget_in_random_schedules)
{
    constexpr unsigned schedules = 30;
    std::vector<unsigned> seeds(schedules);
    std::iota(seeds.begin(), seeds.end(), 0U);
    // Exceeded it when the first window of a fleet allowed 0.9 of the ratio.
    seeds.insert(seeds.end(), {2583, 2609, 2618, 2628, 2869});
    for (const unsigned seed : seeds)
    {
        std::mt19937 random(seed);
        const auto draw = [&random](std::size_t most)
        { return std::uniform_int_distribution<std::size_t>(0, most)(random); };
        simulated_service service(2 + draw(18));
        for (int phase = 0; phase < 12; ++phase)
        {
            const std::size_t last = service.guard_count() - 1;
            const std::size_t first = draw(last);
            for (std::size_t i = 0; i <= last; ++i)
            {
                if (draw(3) == 0)
                {
                    service.restart(i);
                }
            }
            service.run(500ms * (1 + draw(9)),
                        50.0 * static_cast<double>(1 + draw(19)), draw(2) > 0,
                        first, first + draw(last - first));
        }
        EXPECT_LE(service.largest_excess(), 0) << "seed " << seed;
    }
}

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
