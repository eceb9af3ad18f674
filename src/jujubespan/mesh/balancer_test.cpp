// Tests of the selection of instances by load, latency, failure rate and
// failure domain.

#include "jujubespan/mesh/balancer.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace jujubespan::mesh
{
namespace
{

using namespace std::chrono_literals;

const time_point start{1000s};

instance make_instance(std::string id, std::string domain,
                       std::uint32_t slots = 50)
{
    instance value;
    value.id = std::move(id);
    value.service = "s";
    value.failure_domain = std::move(domain);
    value.call_address = "10.0.0.1:7000";
    value.slots = slots;
    value.incarnation = 1;
    return value;
}

class balancer_test : public ::testing::Test
{
protected:
    balancer_test()
    {
        list = {make_instance("a", "zone-a"), make_instance("b", "zone-b"),
                make_instance("c", "zone-c")};
        target.apply(list, start);
    }

    // Makes calls that end at once; returns their number by instance.
    std::map<std::string, int>
    send(int calls, const std::map<std::string, attempt_outcome>& outcomes = {},
         const std::map<std::string, duration>& latencies = {})
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < calls; ++i)
        {
            now += 5ms;
            const auto chosen = target.pick({}, random, now);
            if (!chosen)
            {
                ++counts["none"];
                continue;
            }
            ++counts[*chosen];
            target.on_attempt_start(*chosen, now);
            const auto outcome = outcomes.find(*chosen);
            const auto latency = latencies.find(*chosen);
            target.on_attempt_end(
                *chosen,
                outcome == outcomes.end() ? attempt_outcome::success
                                          : outcome->second,
                latency == latencies.end() ? duration(20ms) : latency->second,
                now);
        }
        return counts;
    }

    void report_load(const std::string& id, std::uint32_t in_flight)
    {
        target.on_load(id, {in_flight, 50}, now);
    }

    void report_slowness(const std::string& id, float slowness)
    {
        target.on_load(id, {20, 50, slowness}, now);
    }

    std::vector<instance> list;
    balancer target{"zone-a"};
    std::mt19937_64 random{3};
    time_point now{start};
};

TEST_F(balancer_test, own_failure_domain_first_while_idle)
{
    const auto counts = send(300);
    EXPECT_GT(counts.at("a"), 200);
}

// A service at low load with many instances, of which the local ones are not
// the fastest. Small differences in latency must not send calls across failure
// domains.
TEST_F(balancer_test, idle_service_is_called_in_the_own_failure_domain)
{
    list.clear();
    std::map<std::string, duration> latencies;
    for (int i = 0; i < 30; ++i)
    {
        const auto id = std::to_string(i);
        const bool own = i % 3 == 0;
        list.push_back(make_instance(id, own ? "zone-a" : "zone-b"));
        latencies[id] = own ? 30ms : 20ms;
    }
    target.apply(list, now);
    send(300, {}, latencies);
    for (const auto& item : list)
    {
        report_load(item.id, 10);
    }
    const auto counts = send(150, {}, latencies);
    int own = 0;
    for (const auto& [id, count] : counts)
    {
        own += latencies[id] == duration(30ms) ? count : 0;
    }
    EXPECT_GE(own, 140);
}

// One failure domain has more callers than free slots.
TEST_F(balancer_test, full_failure_domain_spills_over)
{
    send(100);
    report_load("a", 47);
    report_load("b", 42);
    report_load("c", 42);
    const auto counts = send(60);
    const int own = counts.contains("a") ? counts.at("a") : 0;
    EXPECT_LE(own, 10);
}

TEST_F(balancer_test, load_outweighs_failure_domain)
{
    report_load("a", 45);
    report_load("b", 10);
    report_load("c", 10);
    auto counts = send(100);
    EXPECT_EQ(counts["a"], 0);
}

// One instance answers quickly but fails most requests.
TEST_F(balancer_test, failing_instance_is_only_probed)
{
    send(100, {{"a", attempt_outcome::failed}});
    const auto counts = send(400, {{"a", attempt_outcome::failed}});
    const int probes = counts.contains("a") ? counts.at("a") : 0;
    EXPECT_LE(probes, 8) << "in two seconds";
    EXPECT_GE(probes, 2);
}

TEST_F(balancer_test, instance_that_recovers_is_used_again)
{
    send(200, {{"a", attempt_outcome::failed}});
    send(8000);
    EXPECT_GT(send(300)["a"], 100);
}

// All instances of a service fail part of their requests.
TEST_F(balancer_test, no_instance_is_an_outlier_when_all_fail_alike)
{
    const auto counts = send(600, {{"a", attempt_outcome::failed},
                                   {"b", attempt_outcome::failed},
                                   {"c", attempt_outcome::failed}});
    EXPECT_FALSE(counts.contains("none"));
    EXPECT_GT(counts.at("a"), 50);
}

// One instance becomes slower than the others: 500 ms instead of 20 ms.
TEST_F(balancer_test, slow_instance_gets_fewer_calls)
{
    const std::map<std::string, duration> latencies{
        {"a", 500ms}, {"b", 20ms}, {"c", 20ms}};
    send(200, {}, latencies);
    EXPECT_LT(send(300, {}, latencies)["a"], 60);
}

TEST_F(balancer_test, unreachable_instance_is_avoided_then_retried)
{
    target.on_attempt_end("a", attempt_outcome::unreachable, {}, now);
    EXPECT_EQ(send(30)["a"], 0);
    now += 1s;
    EXPECT_GT(send(30)["a"], 0);
}

TEST_F(balancer_test, leaving_instance_gets_no_calls)
{
    list[0].leaving = true;
    target.apply(list, now);
    EXPECT_EQ(send(100)["a"], 0);
}

TEST_F(balancer_test, instance_of_a_stopping_node_gets_calls_only_as_the_last)
{
    target.on_node_stopping("a", now);
    EXPECT_EQ(send(100)["a"], 0);
    const std::vector<std::string> tried{"b", "c"};
    EXPECT_EQ(target.pick(tried, random, now), "a");
}

TEST_F(balancer_test, restarted_node_is_used_at_once)
{
    target.on_node_seen("a", 1);
    target.on_node_stopping("a", now);
    target.on_attempt_end("a", attempt_outcome::unreachable, {}, now);
    EXPECT_FALSE(target.on_node_seen("a", 1));
    EXPECT_EQ(send(30)["a"], 0) << "still the process that is stopping";
    EXPECT_TRUE(target.on_node_seen("a", 2));
    EXPECT_GT(send(30)["a"], 0);
}

// All nodes of a service were lost a moment ago. Refusing until the avoidance
// ends would keep the first node that returns idle.
TEST_F(balancer_test, instances_are_tried_when_all_were_unreachable)
{
    for (const auto* id : {"a", "b", "c"})
    {
        target.on_attempt_end(id, attempt_outcome::unreachable, {}, now);
    }
    EXPECT_NE(target.pick({}, random, now), std::nullopt);
}

TEST_F(balancer_test, leaving_backend_server_is_not_even_the_last_choice)
{
    list[0].leaving = true;
    target.apply(list, now);
    target.on_node_stopping("b", now);
    EXPECT_EQ(send(30)["a"], 0);
    const std::vector<std::string> tried{"b", "c"};
    EXPECT_EQ(target.pick(tried, random, now), std::nullopt);
}

TEST_F(balancer_test, added_instance_gets_calls)
{
    send(200);
    list.push_back(make_instance("d", "zone-a"));
    target.apply(list, now);
    EXPECT_GT(send(100)["d"], 10);
}

TEST_F(balancer_test, tried_instances_are_excluded)
{
    const std::vector<std::string> tried{"a", "b"};
    for (int i = 0; i < 20; ++i)
    {
        EXPECT_EQ(target.pick(tried, random, now), "c");
    }
    const std::vector<std::string> all{"a", "b", "c"};
    EXPECT_EQ(target.pick(all, random, now), std::nullopt);
}

TEST_F(balancer_test, pressure_is_known_once_half_of_the_instances_reported)
{
    report_load("a", 25);
    EXPECT_EQ(target.pressure(now), std::nullopt);
    report_load("b", 50);
    ASSERT_TRUE(target.pressure(now).has_value());
    EXPECT_DOUBLE_EQ(*target.pressure(now), 0.75);
    EXPECT_EQ(target.pressure(now + 2s), std::nullopt);
}

// A service is near its capacity and many nodes have the same view of it.
TEST_F(balancer_test, loads_are_balanced_near_capacity)
{
    std::map<std::string, std::uint32_t> running;
    for (int i = 0; i < 135; ++i)
    {
        const auto chosen = target.pick({}, random, now);
        ASSERT_TRUE(chosen.has_value());
        ++running[*chosen];
        target.on_attempt_start(*chosen, now);
        report_load(*chosen, running[*chosen]);
    }
    for (const auto& [id, count] : running)
    {
        EXPECT_LE(count, 50U) << id;
    }
}

// A machine freezes or is cut off while its connections stay open.
TEST_F(balancer_test, unresponsive_instance_with_open_calls_gets_no_more_calls)
{
    send(300, {}, {{"a", 20ms}, {"b", 20ms}, {"c", 20ms}});
    target.on_attempt_start("a", now);
    target.on_attempt_start("a", now);
    now += 100ms;
    EXPECT_GT(send(10)["a"] + send(10)["b"] + send(10)["c"], 0);
    // The replies above show that the instance responds, so the waiting time
    // starts again.
    target.on_attempt_start("a", now);
    target.on_attempt_start("a", now);
    now += 300ms;
    for (int i = 0; i < 50; ++i)
    {
        EXPECT_NE(target.pick({}, random, now), "a");
    }
    target.on_attempt_end("a", attempt_outcome::success, 20ms, now);
    EXPECT_GT(send(100)["a"], 0);
}

TEST_F(balancer_test, service_without_reachable_instance_is_unavailable)
{
    for (const auto* id : {"a", "b", "c"})
    {
        target.on_attempt_end(id, attempt_outcome::unreachable, {}, now);
    }
    EXPECT_EQ(target.pressure(now), unavailable_pressure);
}

// Part of a small service becomes twelve times slower under load. Calls sent
// there take longer than their callers wait.
TEST_F(balancer_test, much_slower_instance_stays_nearly_idle_under_load)
{
    const std::map<std::string, duration> latencies{
        {"a", 20ms}, {"b", 240ms}, {"c", 20ms}};
    send(300, {}, latencies);
    report_load("a", 46);
    report_load("b", 10);
    report_load("c", 46);
    EXPECT_LT(send(150, {}, latencies)["b"], 15);
}

// Guards against calls to a server that has just become slower: its latencies
// so far do not show it.
TEST_F(balancer_test, reported_slowness_takes_effect_at_once)
{
    send(300);
    report_slowness("a", 2.5);
    report_slowness("b", 1);
    report_slowness("c", 1);
    EXPECT_LE(send(20)["a"], 2);
}

// A report that is no longer true must neither keep an instance unused nor
// attract calls.
TEST_F(balancer_test, reported_slowness_is_forgotten_within_a_second)
{
    send(300);
    const auto before = send(200)["a"];
    report_slowness("a", 12);
    now += 1100ms;
    EXPECT_NEAR(send(200)["a"], before, 40);
}

// Guards against a slow phase being remembered as the usual latency: the
// latency of an attempt is divided by the factor at that time.
TEST_F(balancer_test, latency_of_a_slow_phase_counts_at_usual_speed)
{
    const std::vector<std::string> others{"c"};
    const auto run_phase = [&](float slowness)
    {
        for (int i = 0; i < 50; ++i)
        {
            now += 1ms;
            for (const auto* id : {"a", "b"})
            {
                const bool slow = id == std::string_view("a");
                const float factor = slow ? slowness : 1;
                report_slowness(id, factor);
                target.on_attempt_start(id, now);
                target.on_attempt_end(id, attempt_outcome::success,
                                      from_seconds(0.02 * factor), now);
            }
        }
    };
    run_phase(2.5);
    report_slowness("a", 1);
    int chosen = 0;
    for (int i = 0; i < 100; ++i)
    {
        chosen += target.pick(others, random, now) == "a" ? 1 : 0;
    }
    EXPECT_GE(chosen, 90) << "idle and in this node's failure domain";
}

// A server may announce a slightly different limit in each response.
TEST_F(balancer_test, changed_rate_limit_does_not_end_the_avoidance)
{
    target.on_attempt_end("a", attempt_outcome::paced, {}, now);
    EXPECT_TRUE(target.on_rate_limit("a", 20));
    EXPECT_FALSE(target.on_rate_limit("a", 20.5));
    EXPECT_EQ(target.rate_limit("a"), 20.5);
    for (int i = 0; i < 20; ++i)
    {
        EXPECT_NE(target.pick({}, random, now), "a");
    }
    EXPECT_TRUE(target.on_rate_limit("a", std::nullopt));
    EXPECT_GT(send(200)["a"], 0);
}

// Guards against a service being refused requests while its servers in need
// could take them: an instance that refused for its rate limit is avoided, but
// not when all others do so too.
TEST_F(balancer_test, instance_whose_rate_limit_is_used_up_is_the_last_choice)
{
    target.on_rate_limit("a", 20);
    target.on_attempt_end("a", attempt_outcome::paced, {}, now);
    for (int i = 0; i < 20; ++i)
    {
        EXPECT_NE(target.pick({}, random, now), "a");
    }
    const std::vector<std::string> others{"b", "c"};
    EXPECT_EQ(target.pick(others, random, now), "a");
    now += 1s;
    EXPECT_GT(send(200)["a"], 0);
}

TEST_F(balancer_test, nodes_select_the_same_instance_by_a_key)
{
    balancer other("zone-c");
    std::reverse(list.begin(), list.end());
    other.apply(list, start);
    std::map<std::string, int> selected;
    for (std::uint64_t key = 0; key < 3000; ++key)
    {
        const auto chosen = target.pick_by_key(key, {}, start);
        ASSERT_TRUE(chosen);
        EXPECT_EQ(other.pick_by_key(key, {}, start), chosen);
        ++selected[*chosen];
    }
    for (const auto& [id, count] : selected)
    {
        EXPECT_GE(count, 800) << id;
    }
    EXPECT_EQ(selected.size(), 3U);
    const std::vector<std::string> all{"a", "b", "c"};
    EXPECT_FALSE(target.pick_by_key(1, all, start));
}

} // namespace
} // namespace jujubespan::mesh
