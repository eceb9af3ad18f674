#include "jujubespan/policy/admission_level.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <random>

namespace jujubespan
{
namespace
{

using namespace std::chrono_literals;

TEST(shed_key, is_the_same_on_every_node_and_ordered_by_class)
{
    const auto first = make_shed_key(request_class::normal, "request-1", 1);
    EXPECT_EQ(first, make_shed_key(request_class::normal, "request-1", 1));
    EXPECT_EQ(class_of(first), request_class::normal);
    EXPECT_LT(make_shed_key(request_class::critical, "x", 1),
              make_shed_key(request_class::normal, "x", 0));
}

TEST(shed_key, a_lightly_used_contract_is_refused_last)
{
    for (int i = 0; i < 1000; ++i)
    {
        const auto id = fmt::format("r{}", i);
        EXPECT_LT(make_shed_key(request_class::critical, id, 0.5),
                  keys_per_class / 2);
        EXPECT_LT(make_shed_key(request_class::critical, id, 9),
                  keys_per_class);
    }
}

// Simulates a server of fixed capacity with shed keys that are uniformly
// distributed in each class.
class simulated_server
{
public:
    // Offered rates by class and capacity are in calls per interval. Returns
    // the calls completed per interval.
    double run(std::array<double, request_class_count> offered, double capacity,
               int intervals)
    {
        double total_served = 0;
        for (int i = 0; i < intervals; ++i)
        {
            for (std::size_t c = 0; c < offered.size(); ++c)
            {
                arrive(c, offered[c]);
            }
            const double served = std::min(backlog_, capacity);
            backlog_ -= served;
            total_served += served;
            load_sample sample;
            sample.completed = static_cast<std::uint32_t>(served);
            sample.capacity = capacity;
            sample.utilisation = served / capacity;
            sample.oldest_wait = from_seconds(0.05 * backlog_ / capacity);
            controller.update(sample);
        }
        return total_served / intervals;
    }

    shed_controller controller;
    std::array<double, request_class_count> admitted{};

private:
    void arrive(std::size_t cls, double count)
    {
        std::poisson_distribution<int> number(count);
        const int arrivals = number(random_);
        for (int i = 0; i < arrivals; ++i)
        {
            const auto key = static_cast<shed_key>(cls * keys_per_class +
                                                   random_() % keys_per_class);
            // Callers refuse keys at or above the level, so that they do not
            // arrive.
            if (key < controller.level())
            {
                controller.on_offered(key);
                backlog_ += 1;
                admitted[cls] += 1;
            }
        }
    }

    std::mt19937_64 random_{7};
    double backlog_{0};
};

TEST(shed_controller, admits_all_without_overload)
{
    simulated_server server;
    server.run({5, 5, 5, 5}, 100, 200);
    EXPECT_EQ(server.controller.level(), admit_all_level);
}

TEST(shed_controller, serves_near_capacity_and_protects_critical)
{
    simulated_server server;
    server.run({8, 22, 0, 70}, 50, 100);
    server.admitted = {};
    const double goodput = server.run({8, 22, 0, 70}, 50, 400);
    EXPECT_GE(goodput, 0.95 * 50);
    EXPECT_GE(server.admitted[0], 0.99 * 8 * 400 * 0.95);
    EXPECT_GE(server.admitted[1], 0.95 * 22 * 400 * 0.95);
}

TEST(shed_controller, critical_calls_below_capacity_are_never_all_refused)
{
    simulated_server server;
    server.run({40, 110, 0, 350}, 50, 40);
    for (int i = 0; i < 400; ++i)
    {
        server.run({40, 110, 0, 350}, 50, 1);
        // Noise lowers the level by half a class at most.
        EXPECT_GE(server.controller.level(), keys_per_class / 2);
    }
}

TEST(shed_controller, admits_all_within_three_seconds_after_overload)
{
    simulated_server server;
    server.run({40, 110, 0, 350}, 50, 200);
    EXPECT_LT(server.controller.level(), admit_all_level);
    server.run({2, 2, 2, 2}, 50, 60); // 3 s in intervals of 50 ms
    EXPECT_EQ(server.controller.level(), admit_all_level);
}

TEST(shed_controller, follows_a_capacity_that_recovers)
{
    simulated_server server;
    server.run({8, 12, 0, 25}, 10, 200);
    server.run({8, 12, 0, 25}, 50, 20); // 1 s in intervals of 50 ms
    const double goodput = server.run({8, 12, 0, 25}, 50, 40);
    EXPECT_GE(goodput, 0.95 * 45);
}

} // namespace
} // namespace jujubespan
