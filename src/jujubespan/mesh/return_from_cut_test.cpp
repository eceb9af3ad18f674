// Tests how soon a node that was cut off stops using instances that left while
// it was away. It must do so within three seconds after the cut, as a node that
// has had contact for three seconds is relied on by callers, and not before the
// entries of instances that are alive can be back, two seconds after the cut.

#include "jujubespan/mesh/discovery_retry.hpp"
#include "jujubespan/mesh/instance_directory.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <ostream>
#include <string>

namespace jujubespan::mesh
{
namespace
{

using namespace std::chrono_literals;

constexpr duration contact_bound = 3s;
constexpr duration drain_bound = 2s;
constexpr duration reentry_time = 2s;
constexpr duration entry_lifetime = 3s; // at least, without a report
constexpr duration tick = 100ms;
constexpr duration round_trip = 4ms;

const time_point begin{1000s};

// How a node reads discovery before the cut.
struct reading_pattern
{
    const char* name;
    duration updates_end;     // until it reads for itself
    duration watch_wait;      // asked for by the first calls
    duration max_retry_delay; // after failures
};

constexpr std::array patterns{
    reading_pattern{"root", 0ms, 500ms, 800ms},
    reading_pattern{"relay", 1200ms, 500ms, 800ms},
    reading_pattern{"subscriber", 1600ms, 2000ms, 1600ms},
    reading_pattern{"subscriber_without_reader", 0ms, 2000ms, 1600ms}};

// A node whose path to discovery is cut from `cut_at` until `cut_end`. A call
// that is in progress at any time of the cut gets no response.
struct cut_node
{
    reading_pattern pattern;
    time_point cut_at;
    time_point cut_end;
    time_point removed_at; // the entry of the instance
    double jitter;

    instance_directory list{};

    [[nodiscard]] bool is_cut(time_point from, time_point to) const
    {
        return from < cut_end && to >= cut_at;
    }

    [[nodiscard]] bool relies_on_updates() const
    {
        return pattern.updates_end > duration::zero();
    }

    // The time at which the instance is out of use.
    time_point run()
    {
        instance item;
        item.id = "a";
        item.service = "s";
        item.backend_address = "10.0.0.1:80";
        list.put(item);
        unsigned failures = 0;
        bool known = false;
        bool short_call = relies_on_updates();
        time_point next_call = begin;
        time_point last_contact = begin;
        time_point next_tick = begin;
        if (relies_on_updates())
        {
            next_call = cut_at + pattern.updates_end;
            last_contact = cut_at;
            if (removed_at < cut_at)
            {
                return removed_at; // An update has brought the removal.
            }
        }
        while (true)
        {
            const auto wait = short_call ? probe_wait : pattern.watch_wait;
            const auto sent_at = next_call;
            const auto answer_at =
                known ? sent_at + wait
                      : std::clamp(removed_at, sent_at, sent_at + wait) +
                            round_trip;
            const bool answered = !is_cut(sent_at, answer_at);
            const auto end =
                answered ? answer_at : sent_at + wait + response_margin;
            for (; next_tick < end; next_tick += tick)
            {
                if (list.expire(next_tick))
                {
                    return next_tick;
                }
            }
            if (!answered)
            {
                const failed_call call{sent_at, sent_at, false, {}};
                list.on_interrupted(failures == 0 && relies_on_updates()
                                        ? last_contact
                                        : call.away_since,
                                    call.sent_at);
                short_call = true;
                next_call =
                    end + retry_delay(call, failures++, pattern.max_retry_delay,
                                      jitter, end);
                continue;
            }
            list.on_restored(end);
            last_contact = end;
            failures = 0;
            short_call = false;
            if (!known && removed_at < end)
            {
                known = true;
                list.remove("a", end);
                if (list.state("a") == instance_state::removed)
                {
                    return end;
                }
            }
            next_call = end;
        }
    }
};

struct cut_times
{
    duration begin;
    duration length;
    duration removal; // from the begin of the cut
    double jitter;
};

std::ostream& operator<<(std::ostream& out, const cut_times& times)
{
    return out << "cut at " << milliseconds(times.begin) << " ms for "
               << milliseconds(times.length) << " ms, entry removed "
               << milliseconds(times.removal) << " ms after its begin, jitter "
               << times.jitter;
}

class return_from_cut : public ::testing::TestWithParam<reading_pattern>
{
protected:
    static cut_node make_node(const cut_times& times)
    {
        const auto cut_at = begin + times.begin;
        return {GetParam(), cut_at, cut_at + times.length,
                cut_at + times.removal, times.jitter};
    }

    template <typename Check>
    static void check_jitters(cut_times times, Check check)
    {
        for (const double jitter : {0.7, 1.0, 1.3})
        {
            times.jitter = jitter;
            check(times);
        }
    }
};

// Guards against a removal that is put off beyond the bound, since the time
// until the first answer adds to the time for which removals are deferred.
TEST_P(return_from_cut, instance_that_left_is_out_of_use_within_three_seconds)
{
    duration worst = -1h;
    cut_times worst_case{};
    const auto check = [&](const cut_times& times)
    {
        auto node = make_node(times);
        const auto bound = std::max(node.removed_at + drain_bound,
                                    node.cut_end + contact_bound);
        const auto late = node.run() - bound;
        if (late > worst)
        {
            worst = late;
            worst_case = times;
        }
    };
    for (duration at = 2s; at < 5s; at += 70ms)
    {
        for (duration length = 100ms; length < 14s; length += 130ms)
        {
            for (duration removal = -1s; removal < length + 4s;
                 removal += 430ms)
            {
                check_jitters({at, length, removal, 1}, check);
            }
        }
    }
    EXPECT_LE(milliseconds(worst), 0) << worst_case;
}

// Guards against taking instances that are alive out of use because their
// entries expired during the cut.
TEST_P(return_from_cut, instance_whose_entry_expired_is_used_for_two_seconds)
{
    duration least = 1h;
    cut_times least_case{};
    const auto check = [&](const cut_times& times)
    {
        auto node = make_node(times);
        const auto used_for = node.run() - node.cut_end;
        if (used_for < least)
        {
            least = used_for;
            least_case = times;
        }
    };
    for (duration at = 2s; at < 5s; at += 70ms)
    {
        for (duration length = entry_lifetime; length < 14s; length += 130ms)
        {
            for (duration removal = entry_lifetime; removal < length;
                 removal += 430ms)
            {
                check_jitters({at, length, removal, 1}, check);
            }
        }
    }
    EXPECT_GE(milliseconds(least), milliseconds(reentry_time)) << least_case;
}

// Guards against a late first contact of a node that was cut off.
TEST(retry_delay, calls_without_a_response_begin_within_a_second)
{
    duration longest{};
    duration shortest = 1h;
    for (unsigned failures = 0; failures < 20; ++failures)
    {
        for (const double jitter : {0.7, 1.0, 1.3})
        {
            for (duration took = 0ms; took <= probe_wait + response_margin;
                 took += 10ms)
            {
                const auto delay =
                    retry_delay({begin, begin, false, {}}, failures, 1600ms,
                                jitter, begin + took);
                longest = std::max(longest, took + delay);
                shortest = std::min(shortest, delay);
            }
        }
    }
    EXPECT_LE(milliseconds(longest),
              milliseconds(contact_bound - reentry_time));
    EXPECT_GE(milliseconds(shortest), 40);
}

// A store that refuses calls is asked less often.
TEST(retry_delay, calls_that_are_refused_wait_up_to_the_given_delay)
{
    const failed_call refused{begin, begin, true, {}};
    EXPECT_EQ(retry_delay(refused, 0, 1600ms, 1, begin), 120ms);
    EXPECT_EQ(retry_delay(refused, 2, 1600ms, 1, begin), 480ms);
    EXPECT_EQ(retry_delay(refused, 9, 1600ms, 1, begin), 1600ms);
    EXPECT_EQ(retry_delay(refused, 9, 800ms, 1, begin), 800ms);
}

INSTANTIATE_TEST_SUITE_P(patterns, return_from_cut,
                         ::testing::ValuesIn(patterns),
                         [](const auto& info)
                         { return std::string(info.param.name); });

} // namespace
} // namespace jujubespan::mesh
