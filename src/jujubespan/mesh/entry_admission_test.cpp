// Tests of which requests are refused while a service that their route calls
// is overloaded.

#include "jujubespan/mesh/entry_admission.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <bit>
#include <deque>
#include <random>
#include <string>
#include <utility>

namespace jujubespan::mesh
{
namespace
{

using namespace std::chrono_literals;

const time_point start{1000s};

shed_key key_of(request_class cls, std::mt19937_64& random)
{
    return static_cast<shed_key>(cls) * keys_per_class +
           static_cast<shed_key>(random() % keys_per_class);
}

// Fluid model of a service that several routes call: admitted work occupies
// slots after a delay, and the resulting pressure is reported with each step.
class fluid_service
{
public:
    /// @param delay steps from admission to arrival.
    fluid_service(double slots, std::size_t delay)
        : slots_(slots), delay_(delay)
    {
    }

    void admit(double seconds) { arriving_ += seconds; }

    // Simulates ten milliseconds and returns the pressure.
    double step()
    {
        constexpr double length = 0.01;
        pipeline_.push_back(std::exchange(arriving_, 0));
        if (pipeline_.size() > delay_)
        {
            work_ += pipeline_.front();
            pipeline_.pop_front();
        }
        // The guard refuses calls that would wait too long.
        work_ = std::min(work_, slots_ * (slot_time_ + longest_wait));
        const double demand = work_ / slot_time_;
        work_ -= std::min(demand, slots_) * length;
        return demand / slots_;
    }

private:
    static constexpr double longest_wait = 0.1; // seconds

    double slots_;
    std::size_t delay_;
    double slot_time_{0.1}; // seconds that one request occupies a slot
    double arriving_{0};
    double work_{0};
    std::deque<double> pipeline_;
};

struct request_counts
{
    double offered{0};
    double admitted{0};

    [[nodiscard]] double share() const
    {
        return offered > 0 ? admitted / offered : 1;
    }
};

class entry_admission_control : public ::testing::Test
{
protected:
    // Offers requests of two classes for some time; the deep service has 138
    // slots.
    void offer_load(double critical_rate, double low_rate, duration length)
    {
        for (const auto end = now + length; now < end; now += 10ms)
        {
            offer(request_class::critical, critical_rate, critical);
            offer(request_class::sheddable_plus, low_rate, low);
            offer(request_class::sheddable_plus, light_rate, light, "light",
                  &light_costs);
            pressure = deep.step();
            target.on_pressure("deep", pressure, now);
            target.on_tick(now);
        }
    }

    void offer(request_class cls, double rate, request_counts& counts,
               std::string_view route = "main",
               const std::vector<service_cost>* costs_of_route = nullptr)
    {
        std::poisson_distribution<int> arrivals(rate / 100);
        for (int i = arrivals(random); i > 0; --i)
        {
            ++counts.offered;
            const auto& route_cost =
                costs_of_route == nullptr ? costs : *costs_of_route;
            if (!target.check_request(route, route_cost, key_of(cls, random),
                                      now))
            {
                ++counts.admitted;
                deep.admit(route_cost.front().slot_seconds);
            }
        }
    }

    std::vector<service_cost> costs{{"deep", 4, 0.12}};
    entry_admission target;
    fluid_service deep{138, 10};
    std::mt19937_64 random{11};
    time_point now{start};
    request_counts critical;
    request_counts low;
    // Another route of the low class, with little demand.
    request_counts light;
    double light_rate{0};
    std::vector<service_cost> light_costs{{"deep", 1, 0.1}};
    double pressure{0};
};

TEST_F(entry_admission_control, nothing_is_refused_below_capacity)
{
    offer_load(300, 500, 10s); // 96 of 138 slots
    EXPECT_DOUBLE_EQ(critical.share(), 1);
    EXPECT_DOUBLE_EQ(low.share(), 1);
}

// A burst asks for 1.6 times the capacity of the deepest service.
TEST_F(entry_admission_control, burst_is_limited_to_capacity_lowest_class_first)
{
    offer_load(300, 500, 5s);
    critical = {};
    low = {};
    offer_load(600, 1250, 15s); // 222 of 138 slots
    EXPECT_GT(critical.share(), 0.97);
    const double used = (critical.admitted + low.admitted) * 0.12 / 15;
    EXPECT_GT(used, 0.85 * 138);
    EXPECT_LT(used, 1.05 * 138);
}

TEST_F(entry_admission_control,
       all_is_admitted_within_three_seconds_after_a_burst)
{
    offer_load(600, 1250, 10s);
    offer_load(300, 500, 3s);
    low = {};
    offer_load(300, 500, 3s);
    EXPECT_GT(low.share(), 0.99);
}

TEST_F(entry_admission_control,
       route_that_does_not_reach_the_service_is_not_refused)
{
    offer_load(600, 1250, 5s);
    const std::vector<service_cost> other{{"shallow", 1, 0.3}};
    for (int i = 0; i < 100; ++i)
    {
        EXPECT_EQ(target.check_request(
                      "other", other,
                      key_of(request_class::sheddable_plus, random), now),
                  std::nullopt);
    }
}

// A small service is called half a second after admission and is offered
// slightly more than its capacity. Refusing too much leaves its slots idle.
TEST_F(entry_admission_control,
       slight_overload_of_a_delayed_service_leaves_no_slots_idle)
{
    deep = fluid_service(72, 50);
    offer_load(150, 400, 5s); // 66 of 72 slots
    critical = {};
    low = {};
    offer_load(200, 500, 20s); // 84 of 72 slots
    const double used = (critical.admitted + low.admitted) * 0.12 / 20;
    EXPECT_GT(used, 0.85 * 72);
    EXPECT_LT(used, 1.05 * 72);
    EXPECT_GT(critical.share(), 0.97);
}

// The same service after a surge of twice its capacity.
TEST_F(entry_admission_control, surge_does_not_leave_slots_idle_afterwards)
{
    deep = fluid_service(72, 50);
    offer_load(200, 1000, 5s); // 144 of 72 slots
    offer_load(150, 350, 2s);
    critical = {};
    low = {};
    offer_load(150, 350, 10s); // 60 of 72 slots
    EXPECT_GT(low.share(), 0.97);
}

// The service is cut off, so that no replies report its pressure.
TEST_F(entry_admission_control, pressure_without_reports_expires)
{
    offer_load(600, 1250, 5s);
    for (const auto end = now + 4s; now < end; now += 50ms)
    {
        target.on_tick(now);
    }
    EXPECT_DOUBLE_EQ(target.admitted_share("deep"), 1);
    EXPECT_TRUE(target.downstream_pressures(now).empty());
}

// The only reachable instance of a deep service restarts. Requests that would
// call it fail after the services above it have done their work.
TEST_F(entry_admission_control,
       requests_for_an_unreachable_service_are_refused_at_once)
{
    offer_load(300, 500, 3s);
    target.on_pressure("deep", unavailable_pressure, now);
    target.on_pressure("deep", unavailable_pressure, now);
    int admitted = 0;
    for (int i = 0; i < 1000; ++i)
    {
        admitted +=
            target.check_request("main", costs,
                                 key_of(request_class::critical, random), now)
                ? 0
                : 1;
    }
    EXPECT_LT(admitted, 100) << "only probes";
    EXPECT_GT(admitted, 0);
    offer_load(300, 500, 1s);
    low = {};
    offer_load(300, 500, 1s);
    EXPECT_GT(low.share(), 0.9)
        << "admitted again once an instance is reachable";
}

// A heavy and a light route of the same priority call the same small service.
// Refusing the light route frees almost no slots.
TEST_F(entry_admission_control, light_route_is_not_refused_for_a_heavy_one)
{
    light_rate = 35; // 3.5 of 138 slots
    offer_load(300, 500, 5s);
    light = {};
    low = {};
    offer_load(600, 1250, 10s); // 222 of 138 slots
    EXPECT_GT(light.share(), 0.97);
    EXPECT_LT(low.share(), 0.6);
}

// After an outage of a service, nodes keep reporting to each other that it is
// unreachable although all of its instances are back.
TEST(entry_admission, nodes_do_not_keep_outdated_pressure_of_each_other_alive)
{
    std::array<entry_admission, 3> nodes;
    time_point now = start;
    for (auto& node : nodes)
    {
        node.on_pressure("first", unavailable_pressure, now);
    }
    for (int step = 0; step < 300; ++step)
    {
        now += 10ms;
        for (std::size_t i = 0; i < nodes.size(); ++i)
        {
            // A reply of the next node to a client request.
            for (const auto& item :
                 nodes[(i + 1) % nodes.size()].downstream_pressures(now))
            {
                nodes[i].on_pressure(item.service, item.pressure, now);
            }
            nodes[i].on_tick(now);
        }
    }
    for (const auto& node : nodes)
    {
        EXPECT_DOUBLE_EQ(node.admitted_share("first"), 1);
    }
}

TEST(entry_admission, reports_services_that_the_own_backend_server_calls)
{
    entry_admission target;
    target.on_pressure("first", 1.5, start);
    target.on_downstream_pressure("second", 1.5, start);
    const auto reported = target.downstream_pressures(start);
    ASSERT_EQ(reported.size(), 1U);
    EXPECT_EQ(reported[0].service, "second");
    EXPECT_TRUE(target.downstream_pressures(start + 2s).empty());
}

// Offers a fixed sequence of requests without organisations, at up to twice
// the capacity of a service, and returns a digest of all decisions.
std::uint64_t digest_of_decisions()
{
    entry_admission target;
    fluid_service deep(138, 10);
    std::mt19937_64 random{5};
    const std::vector<service_cost> main_costs{{"deep", 4, 0.12},
                                               {"other", 1, 0.02}};
    const std::vector<service_cost> light_costs{{"deep", 1, 0.1}};
    std::uint64_t digest = 0;
    const auto offer = [&](std::string_view route, const auto& costs,
                           request_class cls, time_point now)
    {
        const auto refusal =
            target.check_request(route, costs, key_of(cls, random), now);
        if (!refusal)
        {
            deep.admit(costs.front().slot_seconds);
        }
        constexpr std::uint64_t factor = 0x100000001b3;
        digest =
            (digest ^
             (refusal ? std::bit_cast<std::uint64_t>(refusal->admitted_share)
                      : 1)) *
            factor;
    };
    for (int step = 0; step < 2000; ++step)
    {
        const auto now = start + step * 10ms;
        const int load = step / 500 % 2 == 0 ? 4 : 12; // requests of each kind
        for (int i = 0; i < load; ++i)
        {
            offer("main", main_costs, request_class::critical, now);
            offer("main", main_costs, request_class::sheddable_plus, now);
            offer(i % 2 == 0 ? "light" : "second", light_costs,
                  request_class::sheddable_plus, now);
        }
        target.on_pressure("deep", deep.step(), now);
        target.on_pressure("other", 1.3, now);
        target.on_tick(now);
    }
    return digest;
}

// Sharing among organisations must not change what other deployments see. The
// digest is that of the version before it was added.
TEST(entry_admission, without_organisations_decisions_are_those_of_before)
{
    EXPECT_EQ(digest_of_decisions(), 0xc420372687f8960cU);
}

struct test_organisation
{
    std::string name;
    double allowance;    // requests per second; 0: no limit
    double request_rate; // requests per second that it sends
    request_counts counts;
};

// Organisations that send requests of one class and route to a service with
// room for 1,150 requests per second.
class entry_admission_organisations : public ::testing::Test
{
protected:
    void offer_load(duration length)
    {
        for (auto& item : organisations)
        {
            item.counts = {};
        }
        for (const auto end = now + length; now < end; now += 10ms)
        {
            for (auto& item : organisations)
            {
                offer(item);
            }
            target.on_pressure("deep", deep.step(), now);
            target.on_tick(now);
        }
    }

    void offer(test_organisation& sender)
    {
        std::poisson_distribution<int> arrivals(sender.request_rate / 100);
        for (int i = arrivals(random); i > 0; --i)
        {
            ++sender.counts.offered;
            if (!target.check_request("main", costs,
                                      key_of(request_class::sheddable, random),
                                      now, {sender.name, sender.allowance}))
            {
                ++sender.counts.admitted;
                deep.admit(costs.front().slot_seconds);
            }
        }
    }

    // Share of the slots that the admitted requests used.
    [[nodiscard]] double utilisation(duration length) const
    {
        double admitted = 0;
        for (const auto& item : organisations)
        {
            admitted += item.counts.admitted;
        }
        return admitted * 0.12 / seconds(length) / 138;
    }

    std::vector<service_cost> costs{{"deep", 4, 0.12}};
    entry_admission target;
    fluid_service deep{138, 10};
    std::mt19937_64 random{13};
    time_point now{start};
    // The limit is about 1.6 times the usual rate.
    std::vector<test_organisation> organisations{{"heavy", 400, 250, {}},
                                                 {"large", 400, 250, {}},
                                                 {"second", 160, 100, {}},
                                                 {"third", 160, 100, {}},
                                                 {"small", 4.8, 3, {}}};
};

// Without the division among organisations, all of them would be refused the
// same share of their requests.
TEST_F(entry_admission_organisations, one_heavy_organisation)
{
    for (const double load : {1.5, 3.0})
    {
        organisations[0].request_rate = 250;
        offer_load(5s);
        organisations[0].request_rate = load * 1150 - 453;
        for (const auto length : {5s, 15s}) // while it rises, and then
        {
            offer_load(length);
            for (std::size_t i = 1; i < organisations.size(); ++i)
            {
                EXPECT_GT(organisations[i].counts.share(), 0.99)
                    << organisations[i].name << " at " << load;
            }
        }
        EXPECT_LT(organisations[0].counts.share(), 0.7) << load;
        EXPECT_GT(utilisation(15s), 0.85) << load;
        EXPECT_LT(utilisation(15s), 1.05) << load;
    }
}

// An organisation with few clients sends all its requests to this node, the
// others only a part. Its rate is far below theirs, but it offers little.
TEST_F(entry_admission_organisations, small_rate_alone_is_no_reason_to_refuse)
{
    for (auto& item : organisations)
    {
        item.request_rate = 430;
        item.allowance = 4000;
    }
    organisations[4] = {"small", 4.8, 30, {}};
    offer_load(15s);
    EXPECT_GT(organisations[4].counts.share(), 0.99);
}

// Beyond the half that is divided equally, the parts are as the rates. Every
// organisation offers more than its part.
TEST_F(entry_admission_organisations, parts_grow_with_the_rate)
{
    organisations = {{"three", 300, 1150, {}},
                     {"one", 100, 1150, {}},
                     {"unlimited", 0, 1150, {}}};
    offer_load(5s);
    offer_load(20s);
    const double total = organisations[0].counts.admitted +
                         organisations[1].counts.admitted +
                         organisations[2].counts.admitted;
    // Rates 300, 100 and their mean of 200.
    EXPECT_NEAR(organisations[0].counts.admitted / total, 5.0 / 12, 0.03);
    EXPECT_NEAR(organisations[1].counts.admitted / total, 3.0 / 12, 0.03);
    EXPECT_NEAR(organisations[2].counts.admitted / total, 4.0 / 12, 0.03);
}

// If the parts were not cut at the same positions, one service would run
// requests that another refuses.
TEST_F(entry_admission_organisations, highest_positions_are_refused)
{
    organisations[0].request_rate = 3000;
    offer_load(5s);
    bool refused = false;
    for (shed_key position = 0; position < 100; ++position)
    {
        const auto key =
            static_cast<shed_key>(request_class::sheddable) * keys_per_class +
            position * (keys_per_class / 100);
        const bool now_refused =
            target.check_request("main", costs, key, now, {"heavy", 400})
                .has_value();
        EXPECT_TRUE(now_refused || !refused) << position;
        refused = now_refused;
        EXPECT_FALSE(
            target.check_request("main", costs, key, now, {"large", 400}));
    }
    EXPECT_TRUE(refused);
}

// A configuration may hold any finite rate.
TEST_F(entry_admission_organisations, extreme_rates_leave_all_a_part)
{
    organisations = {{"huge", 1e300, 1150, {}},
                     {"tiny", 1e-300, 1150, {}},
                     {"usual", 100, 1150, {}}};
    offer_load(5s);
    offer_load(10s);
    for (const auto& item : organisations)
    {
        EXPECT_GT(item.counts.share(), 0.1) << item.name;
    }
    EXPECT_LT(utilisation(10s), 1.05);
}

} // namespace
} // namespace jujubespan::mesh
