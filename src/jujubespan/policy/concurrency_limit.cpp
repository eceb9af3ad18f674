#include "jujubespan/policy/concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

namespace jujubespan
{

namespace
{

// Factors by which a probe changes the limit.
constexpr double increase_factor = 1.25;
constexpr double decrease_factor = 0.8;
// Self time over its baseline above which calls are assumed to queue inside
// the backend server, so that the next probe lowers the limit.
constexpr double queueing_self_time_ratio = 1.5;
// A change of self time that exceeds the change of the limit by this factor is
// attributed to another cause than the probe.
constexpr double other_cause_factor = 1.25;
// Relative rise of the baseline per second, so that it adapts to a lasting
// increase of self time.
constexpr double baseline_drift_per_second = 0.001;
// Share of the calls of a window that start at the limit when the backend
// server is saturated.
constexpr double min_saturated_share = 0.8;
constexpr unsigned min_window_calls = 100;
constexpr duration min_window = std::chrono::milliseconds(100);
constexpr duration max_window = std::chrono::seconds(1);
constexpr duration min_probe_interval = std::chrono::milliseconds(500);
constexpr duration max_probe_interval = std::chrono::seconds(16);
constexpr double refusal_decrease_factor = 0.9;
constexpr double min_cold_start_share = 0.1;

class fixed_limit final : public concurrency_limit
{
public:
    explicit fixed_limit(std::uint32_t slots) : slots_(slots) {}

    [[nodiscard]] std::uint32_t limit(time_point /*now*/) const override
    {
        return slots_;
    }
    void on_start(std::uint32_t /*running*/, time_point /*now*/) override {}
    void on_finish(duration /*self_time*/, time_point /*now*/) override {}
    void on_backend_refusal(time_point /*now*/) override {}
    void reset(time_point /*now*/) override {}

private:
    std::uint32_t slots_;
};

class adaptive_limit final : public concurrency_limit
{
public:
    adaptive_limit(std::uint32_t published_slots, duration cold_start)
        : min_limit_(std::max(1.0, published_slots / 8.0)),
          max_limit_(published_slots * 4.0), cold_start_(cold_start),
          limit_(published_slots)
    {
    }

    [[nodiscard]] std::uint32_t limit(time_point now) const override
    {
        double value = limit_;
        if (cold_start_ > duration::zero())
        {
            const double warm_share =
                first_start_ == time_point{}
                    ? 0.0
                    : seconds(now - first_start_) / seconds(cold_start_);
            value *= std::clamp(warm_share, min_cold_start_share, 1.0);
        }
        return std::max(1U, static_cast<std::uint32_t>(std::lround(value)));
    }

    void on_start(std::uint32_t running, time_point now) override
    {
        if (first_start_ == time_point{})
        {
            first_start_ = now;
        }
        ++starts_;
        if (running >= limit(now))
        {
            ++saturated_starts_;
        }
    }

    void on_finish(duration self_time, time_point now) override
    {
        if (window_start_ == time_point{})
        {
            open_window(now);
        }
        ++finished_;
        self_time_sum_seconds_ += seconds(self_time);
        const duration age = now - window_start_;
        const bool enough_calls =
            finished_ >= min_window_calls && age >= min_window;
        if (enough_calls || age >= max_window)
        {
            close_window(now);
        }
    }

    void on_backend_refusal(time_point now) override
    {
        if (now - last_refusal_ < min_window)
        {
            return;
        }
        last_refusal_ = now;
        set_limit(limit_ * refusal_decrease_factor);
        probe_ = probe::none;
        next_probe_ = now + probe_interval_;
        open_window(now);
    }

    void reset(time_point now) override
    {
        probe_ = probe::none;
        baseline_self_time_seconds_ = 0;
        open_window(now);
    }

private:
    // The first window after a change of the limit is not evaluated.
    enum class probe
    {
        none,
        settling,
        measuring
    };

    void set_limit(double value)
    {
        limit_ = std::clamp(value, min_limit_, max_limit_);
    }

    void open_window(time_point now)
    {
        window_start_ = now;
        finished_ = 0;
        starts_ = 0;
        saturated_starts_ = 0;
        self_time_sum_seconds_ = 0;
    }

    void close_window(time_point now)
    {
        const double self_time_seconds =
            std::max(self_time_sum_seconds_ / finished_, 1e-6);
        const double elapsed_seconds = seconds(now - window_start_);
        const bool saturated =
            starts_ > 0 && saturated_starts_ >= min_saturated_share * starts_;
        open_window(now);
        if (now - first_start_ < cold_start_)
        {
            return;
        }
        const double drifted_baseline =
            baseline_self_time_seconds_ *
            (1 + baseline_drift_per_second * elapsed_seconds);
        baseline_self_time_seconds_ =
            baseline_self_time_seconds_ == 0
                ? self_time_seconds
                : std::min(drifted_baseline, self_time_seconds);
        if (!saturated)
        {
            abandon_probe();
            return;
        }
        advance_probe(self_time_seconds, now);
    }

    void advance_probe(double self_time_seconds, time_point now)
    {
        switch (probe_)
        {
        case probe::none:
            if (now >= next_probe_)
            {
                begin_probe(self_time_seconds);
            }
            return;
        case probe::settling:
            probe_ = probe::measuring;
            return;
        case probe::measuring:
            evaluate_probe(self_time_seconds, now);
            return;
        }
    }

    void begin_probe(double self_time_seconds)
    {
        limit_before_probe_ = limit_;
        self_time_before_probe_seconds_ = self_time_seconds;
        const bool decrease = self_time_seconds > baseline_self_time_seconds_ *
                                                      queueing_self_time_ratio;
        set_limit(
            decrease
                ? std::min(limit_ - 1, std::floor(limit_ * decrease_factor))
                : std::max(limit_ + 1, std::ceil(limit_ * increase_factor)));
        probe_ = probe::settling;
    }

    // Self time changes in proportion to the limit if the backend server queues
    // calls, and stays the same if it works on all of them concurrently. By
    // Little's law this shows whether throughput changed. Unlike a count of
    // completions, it does not depend on how long slots were idle.
    void evaluate_probe(double self_time_seconds, time_point now)
    {
        const double limit_ratio = limit_ / limit_before_probe_;
        const double self_time_ratio =
            self_time_seconds / self_time_before_probe_seconds_;
        const bool server_queues =
            limit_ratio > 1 ? self_time_ratio > (1 + limit_ratio) / 2
                            : self_time_ratio < (1 + limit_ratio) / 2;
        const bool other_cause =
            self_time_ratio < std::min(limit_ratio, 1.0) / other_cause_factor ||
            self_time_ratio > std::max(limit_ratio, 1.0) * other_cause_factor;
        const bool keeps_limit =
            !other_cause && server_queues == (limit_ratio < 1);
        probe_ = probe::none;
        if (keeps_limit)
        {
            probe_interval_ = min_probe_interval;
        }
        else
        {
            limit_ = limit_before_probe_;
            probe_interval_ = std::min(probe_interval_ * 2, max_probe_interval);
        }
        next_probe_ = now + probe_interval_;
    }

    void abandon_probe()
    {
        if (probe_ != probe::none)
        {
            limit_ = limit_before_probe_;
            probe_ = probe::none;
        }
    }

    double min_limit_;
    double max_limit_;
    duration cold_start_;
    double limit_;
    time_point first_start_{};
    time_point window_start_{};
    time_point last_refusal_{};
    time_point next_probe_{};
    duration probe_interval_{min_probe_interval};
    probe probe_{probe::none};
    double limit_before_probe_{0};
    double self_time_before_probe_seconds_{0};
    double baseline_self_time_seconds_{0};
    unsigned finished_{0};
    unsigned starts_{0};
    unsigned saturated_starts_{0};
    double self_time_sum_seconds_{0};
};

} // namespace

std::unique_ptr<concurrency_limit> make_fixed_limit(std::uint32_t slots)
{
    return std::make_unique<fixed_limit>(std::max(1U, slots));
}

std::unique_ptr<concurrency_limit>
make_adaptive_limit(std::uint32_t published_slots, duration cold_start)
{
    return std::make_unique<adaptive_limit>(std::max(1U, published_slots),
                                            cold_start);
}

} // namespace jujubespan
