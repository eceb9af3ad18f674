#include "jujubespan/policy/upstream_set.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <map>
#include <random>

namespace jujubespan
{
namespace
{

using namespace std::chrono_literals;

const time_point start(1000s);

std::vector<instance> make_list(int own, int other)
{
    std::vector<instance> list;
    for (int i = 0; i < own + other; ++i)
    {
        instance item;
        item.id = fmt::format("s-{}", i);
        item.failure_domain = i < own ? "d-1" : "d-2";
        item.call_address = fmt::format("address-{}", i);
        item.slots = 10;
        list.push_back(item);
    }
    return list;
}

class upstreams : public ::testing::Test
{
protected:
    std::map<std::string, int> picks(int count, time_point now)
    {
        std::map<std::string, int> result;
        for (int i = 0; i < count; ++i)
        {
            const auto id = set.pick(random(), {}, now);
            result[id.value_or("none")]++;
        }
        return result;
    }

    void fail(const std::string& id, int times, time_point now)
    {
        for (int i = 0; i < times; ++i)
        {
            set.on_start(id, now);
            set.on_finish(id, attempt_result::failure, now);
        }
    }

    std::mt19937_64 random{3};
    upstream_set set{"me", "d-1", routing_options{}};
};

TEST_F(upstreams, prefers_the_own_domain)
{
    set.apply(make_list(3, 5), false, start);
    for (const auto& [id, count] : picks(300, start))
    {
        EXPECT_LT(id, "s-3");
        EXPECT_GT(count, 50);
    }
}

TEST_F(upstreams, uses_other_domains_when_the_own_domain_is_overloaded)
{
    set.apply(make_list(2, 2), false, start);
    set.on_load("s-0", {10, 10}, start);
    set.on_load("s-1", {12, 10}, start);
    const auto chosen = picks(200, start);
    EXPECT_GT(chosen.count("s-2") + chosen.count("s-3"), 1U);
}

TEST_F(upstreams, announced_leaving_takes_precedence_over_the_list)
{
    const auto list = make_list(2, 0);
    set.apply(list, false, start);
    set.on_leaving("s-0");
    set.apply(list, true, start + 1s); // The list does not show it yet.
    EXPECT_EQ(picks(50, start + 1s).count("s-0"), 0U);
    set.on_restart("s-0", start + 2s);
    EXPECT_GT(picks(200, start + 60s)["s-0"], 0);
}

TEST_F(upstreams, ejects_after_failures_and_sends_one_trial_call)
{
    set.apply(make_list(4, 0), false, start);
    fail("s-1", 3, start);
    EXPECT_EQ(set.ejected_count(start), 1U);
    EXPECT_EQ(picks(200, start).count("s-1"), 0U);
    const auto later = start + 1100ms;
    int trials = 0;
    for (int i = 0; i < 200; ++i)
    {
        const auto id = set.pick(random(), {}, later);
        if (id == "s-1")
        {
            set.on_start(*id, later);
            ++trials;
        }
    }
    EXPECT_EQ(trials, 1);
    set.on_finish("s-1", attempt_result::failure, later);
    EXPECT_EQ(picks(100, later + 1500ms).count("s-1"), 0U);
    EXPECT_GT(picks(100, later + 2500ms).count("s-1"), 0U);
}

TEST_F(upstreams, failures_cannot_eject_all_upstreams)
{
    set.apply(make_list(4, 0), false, start);
    for (int i = 0; i < 4; ++i)
    {
        fail(fmt::format("s-{}", i), 10, start);
    }
    EXPECT_EQ(set.ejected_count(start), 2U);
    EXPECT_EQ(picks(100, start).count("none"), 0U);
}

TEST_F(upstreams, subset_is_bounded_and_stable)
{
    const auto list = make_list(40, 80);
    set.apply(list, false, start);
    const auto before = set.subset();
    EXPECT_EQ(before.size(), 8U);
    auto shrunk = list;
    shrunk.erase(shrunk.begin() + 100);
    set.apply(shrunk, true, start);
    const auto after = set.subset();
    std::size_t same = 0;
    for (const auto& id : after)
    {
        same += std::find(before.begin(), before.end(), id) != before.end();
    }
    EXPECT_GE(same, 7U);
}

TEST_F(upstreams, an_added_upstream_starts_slowly)
{
    set.apply(make_list(2, 0), false, start);
    set.apply(make_list(3, 0), true, start);
    const auto early = picks(300, start + 100ms);
    EXPECT_LT(early.count("s-2") == 0 ? 0 : early.at("s-2"), 30);
    const auto late = picks(300, start + 20s);
    EXPECT_GT(late.at("s-2"), 60);
}

TEST_F(upstreams, excludes_upstreams_already_tried)
{
    set.apply(make_list(2, 0), false, start);
    const std::vector<std::string> tried{"s-0", "s-1"};
    EXPECT_FALSE(set.pick(random(), tried, start));
    EXPECT_FALSE(set.has_spare_capacity(tried, start));
}

} // namespace
} // namespace jujubespan
