#include "jujubespan/policy/concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

namespace jujubespan
{

namespace
{

constexpr double step_up = 1.25;
constexpr double step_down = 0.8;
constexpr double inflated = 1.5;
// A change beyond what the step explains, by this factor, has another cause.
constexpr double other_cause_factor = 1.25;
// Rise of the baseline a second, so that a lasting change is accepted.
constexpr double baseline_drift = 0.001;
constexpr double saturated_share = 0.8;
constexpr unsigned window_calls = 100;
constexpr duration shortest_window = std::chrono::milliseconds(100);
constexpr duration longest_window = std::chrono::seconds(1);
constexpr duration shortest_probe_gap = std::chrono::milliseconds(500);
constexpr duration longest_probe_gap = std::chrono::seconds(16);
constexpr double refused_factor = 0.9;
constexpr double cold_share = 0.1;

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
    void on_refused(time_point /*now*/) override {}
    void reset(time_point /*now*/) override {}

private:
    std::uint32_t slots_;
};

class adaptive_limit final : public concurrency_limit
{
public:
    adaptive_limit(std::uint32_t published, duration cold_start)
        : lowest_(std::max(1.0, published / 8.0)), highest_(published * 4.0),
          cold_start_(cold_start), limit_(published)
    {
    }

    [[nodiscard]] std::uint32_t limit(time_point now) const override
    {
        double value = limit_;
        if (cold_start_ > duration::zero())
        {
            const double warm =
                first_start_ == time_point{}
                    ? 0.0
                    : seconds(now - first_start_) / seconds(cold_start_);
            value *= std::clamp(warm, cold_share, 1.0);
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
        self_time_sum_ += seconds(self_time);
        const duration age = now - window_start_;
        const bool enough = finished_ >= window_calls && age >= shortest_window;
        if (enough || age >= longest_window)
        {
            close_window(now);
        }
    }

    void on_refused(time_point now) override
    {
        if (now - last_refusal_ < shortest_window)
        {
            return;
        }
        last_refusal_ = now;
        set(limit_ * refused_factor);
        probe_ = probe::none;
        next_probe_ = now + probe_gap_;
        open_window(now);
    }

    void reset(time_point now) override
    {
        probe_ = probe::none;
        baseline_ = 0;
        open_window(now);
    }

private:
    enum class probe
    {
        none,
        settling,
        measuring
    };

    void set(double value) { limit_ = std::clamp(value, lowest_, highest_); }

    void open_window(time_point now)
    {
        window_start_ = now;
        finished_ = 0;
        starts_ = 0;
        saturated_starts_ = 0;
        self_time_sum_ = 0;
    }

    void close_window(time_point now)
    {
        const double self_time = std::max(self_time_sum_ / finished_, 1e-6);
        const double elapsed = seconds(now - window_start_);
        const bool saturated =
            starts_ > 0 && saturated_starts_ >= saturated_share * starts_;
        open_window(now);
        if (now - first_start_ < cold_start_)
        {
            return;
        }
        const double drifted = baseline_ * (1 + baseline_drift * elapsed);
        baseline_ = baseline_ == 0 ? self_time : std::min(drifted, self_time);
        if (!saturated)
        {
            abandon_probe();
            return;
        }
        advance(self_time, now);
    }

    void advance(double self_time, time_point now)
    {
        switch (probe_)
        {
        case probe::none:
            if (now >= next_probe_)
            {
                begin_probe(self_time);
            }
            return;
        case probe::settling:
            probe_ = probe::measuring;
            return;
        case probe::measuring:
            judge(self_time, now);
            return;
        }
    }

    void begin_probe(double self_time)
    {
        before_limit_ = limit_;
        before_self_time_ = self_time;
        const bool down = self_time > baseline_ * inflated;
        set(down ? std::min(limit_ - 1, std::floor(limit_ * step_down))
                 : std::max(limit_ + 1, std::ceil(limit_ * step_up)));
        probe_ = probe::settling;
    }

    // A call's own time follows the limit where the backend server queues,
    // and does not where it works on all calls at once. By Little's law this
    // tells whether throughput changed, and unlike a count of completions it
    // does not vary with the moments in which slots were idle.
    void judge(double self_time, time_point now)
    {
        const double step = limit_ / before_limit_;
        const double change = self_time / before_self_time_;
        const bool queues =
            step > 1 ? change > (1 + step) / 2 : change < (1 + step) / 2;
        const bool other_cause =
            change < std::min(step, 1.0) / other_cause_factor ||
            change > std::max(step, 1.0) * other_cause_factor;
        const bool keep = !other_cause && queues == (step < 1);
        probe_ = probe::none;
        if (keep)
        {
            probe_gap_ = shortest_probe_gap;
        }
        else
        {
            limit_ = before_limit_;
            probe_gap_ = std::min(probe_gap_ * 2, longest_probe_gap);
        }
        next_probe_ = now + probe_gap_;
    }

    void abandon_probe()
    {
        if (probe_ != probe::none)
        {
            limit_ = before_limit_;
            probe_ = probe::none;
        }
    }

    double lowest_;
    double highest_;
    duration cold_start_;
    double limit_;
    time_point first_start_{};
    time_point window_start_{};
    time_point last_refusal_{};
    time_point next_probe_{};
    duration probe_gap_{shortest_probe_gap};
    probe probe_{probe::none};
    double before_limit_{0};
    double before_self_time_{0};
    double baseline_{0};
    unsigned finished_{0};
    unsigned starts_{0};
    unsigned saturated_starts_{0};
    double self_time_sum_{0};
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
