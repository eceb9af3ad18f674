// Tests how soon a node that was cut off stops using instances that left while
// it was away. It must do so within three seconds after the cut, as a node that
// has had contact for three seconds is relied on by callers, and not before the
// entries of instances that are alive can be back, two seconds after the cut.

#include "jujubespan/mesh/discovery_retry.hpp"
#include "jujubespan/mesh/instance_directory.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <optional>
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

const time_point start{1000s};

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

// A cut of a node's path to discovery, and the time at which the entry of an
// instance is removed.
struct cut
{
    time_point begin;
    time_point end;
    time_point removed_at;
    double jitter; // of the delays between calls that fail
};

// A node whose calls get no response if they are in progress during the cut.
class cut_node
{
public:
    cut_node(const reading_pattern& pattern, const cut& times)
        : pattern_(pattern), times_(times)
    {
        instance item;
        item.id = "a";
        item.service = "s";
        item.backend_address = "10.0.0.1:80";
        list_.put(item);
    }

    // Calls discovery until the instance is out of use, and returns that time.
    time_point run()
    {
        if (relies_on_updates())
        {
            if (times_.removed_at < times_.begin)
            {
                return times_.removed_at; // An update has brought the removal.
            }
            next_call_ = times_.begin + pattern_.updates_end;
        }
        while (!out_of_use_at_)
        {
            const auto sent_at = next_call_;
            const auto answer_at = answer_time(sent_at);
            const bool answered =
                sent_at >= times_.end || answer_at < times_.begin;
            const auto end =
                answered ? answer_at : sent_at + wait() + response_margin;
            expire_until(end);
            answered ? on_answer(end) : on_timeout(sent_at, end);
        }
        return *out_of_use_at_;
    }

private:
    [[nodiscard]] bool relies_on_updates() const
    {
        return pattern_.updates_end > duration::zero();
    }

    [[nodiscard]] duration wait() const
    {
        const bool has_contact =
            failures_ == 0 && (last_answer_ || !relies_on_updates());
        return has_contact ? pattern_.watch_wait : probe_wait;
    }

    // The source answers at once if something has changed.
    [[nodiscard]] time_point answer_time(time_point sent_at) const
    {
        const auto latest = sent_at + wait();
        return removal_known_ ? latest
                              : std::clamp(times_.removed_at, sent_at, latest) +
                                    round_trip;
    }

    void expire_until(time_point end)
    {
        for (; next_tick_ < end && !out_of_use_at_; next_tick_ += tick)
        {
            if (list_.expire(next_tick_))
            {
                out_of_use_at_ = next_tick_;
            }
        }
    }

    void on_timeout(time_point sent_at, time_point now)
    {
        const failed_call call{sent_at, sent_at, false, {}};
        const bool updates_ended =
            failures_ == 0 && !last_answer_ && relies_on_updates();
        list_.on_interrupted(updates_ended ? times_.begin : call.away_since,
                             call.sent_at);
        next_call_ =
            now + retry_delay(call, failures_++, pattern_.max_retry_delay,
                              times_.jitter, now);
    }

    void on_answer(time_point now)
    {
        list_.on_restored(now);
        last_answer_ = now;
        failures_ = 0;
        next_call_ = now;
        if (removal_known_ || times_.removed_at >= now || out_of_use_at_)
        {
            return;
        }
        removal_known_ = true;
        list_.remove("a", now);
        if (list_.state("a") == instance_state::removed)
        {
            out_of_use_at_ = now;
        }
    }

    reading_pattern pattern_;
    cut times_;
    instance_directory list_;
    unsigned failures_{0};
    bool removal_known_{false};
    std::optional<time_point> last_answer_;
    std::optional<time_point> out_of_use_at_;
    time_point next_call_{start};
    time_point next_tick_{start};
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
    static cut make_cut(const cut_times& times)
    {
        const auto cut_begin = start + times.begin;
        return {cut_begin, cut_begin + times.length, cut_begin + times.removal,
                times.jitter};
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
        const auto cut = make_cut(times);
        const auto bound =
            std::max(cut.removed_at + drain_bound, cut.end + contact_bound);
        const auto late = cut_node(GetParam(), cut).run() - bound;
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
        const auto cut = make_cut(times);
        const auto used_for = cut_node(GetParam(), cut).run() - cut.end;
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
                    retry_delay({start, start, false, {}}, failures, 1600ms,
                                jitter, start + took);
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
    const failed_call refused{start, start, true, {}};
    EXPECT_EQ(retry_delay(refused, 0, 1600ms, 1, start), 120ms);
    EXPECT_EQ(retry_delay(refused, 2, 1600ms, 1, start), 480ms);
    EXPECT_EQ(retry_delay(refused, 9, 1600ms, 1, start), 1600ms);
    EXPECT_EQ(retry_delay(refused, 9, 800ms, 1, start), 800ms);
}

INSTANTIATE_TEST_SUITE_P(patterns, return_from_cut,
                         ::testing::ValuesIn(patterns),
                         [](const auto& info)
                         { return std::string(info.param.name); });

} // namespace
} // namespace jujubespan::mesh
