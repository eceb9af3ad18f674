#include "jujubespan/engine/admission_gate.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jujubespan::engine
{

namespace
{

constexpr duration control_interval = std::chrono::milliseconds(50);
constexpr double occupancy_smoothing_factor = 0.3;

} // namespace

admission_gate::admission_gate(std::unique_ptr<concurrency_limit> limit,
                               duration queue_wait, std::size_t max_queue)
    : limit_(std::move(limit)), queue_wait_(queue_wait), max_queue_(max_queue),
      queue_(queue_wait, max_queue)
{
}

std::uint32_t admission_gate::limit(time_point now) const
{
    return limit_ ? limit_->limit(now)
                  : std::numeric_limits<std::uint32_t>::max();
}

std::uint32_t admission_gate::usable_concurrency(time_point now) const
{
    const auto slots = limit(now);
    if (!pacer_.rate() || mean_occupancy_seconds_ == 0)
    {
        return slots;
    }
    // Little's law.
    const double calls =
        std::max(1.0, std::ceil(*pacer_.rate() * mean_occupancy_seconds_));
    return calls < slots ? static_cast<std::uint32_t>(calls) : slots;
}

bool admission_gate::may_start(time_point now) const
{
    return running_ < limit(now) && pacer_.may_start(now);
}

std::vector<std::uint64_t>
admission_gate::set_start_rate(std::optional<double> rate, time_point now)
{
    pacer_.set_rate(rate, now);
    if (!rate)
    {
        return queue_.set_hard_limit(max_queue_);
    }
    const double starts = *rate * seconds(queue_wait_);
    return queue_.set_hard_limit(std::clamp<std::size_t>(
        static_cast<std::size_t>(starts), 1, max_queue_));
}

std::vector<std::uint64_t> admission_gate::trim_queue(duration run_time,
                                                      time_point now)
{
    if (run_time <= duration::zero())
    {
        return {};
    }
    const double starts =
        std::ceil(limit(now) * seconds(queue_wait_) / seconds(run_time));
    auto removed = queue_.trim(static_cast<std::size_t>(
        std::min(starts, static_cast<double>(max_queue_))));
    sample_.dropped += static_cast<std::uint32_t>(removed.size());
    return removed;
}

void admission_gate::accumulate_busy_time(time_point now)
{
    if (busy_time_counted_until_ != time_point{})
    {
        busy_slot_seconds_ +=
            running_ * seconds(now - busy_time_counted_until_);
    }
    busy_time_counted_until_ = now;
}

void admission_gate::record_start(time_point now)
{
    accumulate_busy_time(now);
    ++running_;
    pacer_.on_start(now);
    if (limit_)
    {
        limit_->on_start(running_, now);
    }
}

gate_result admission_gate::offer(const queued_call& call, time_point now)
{
    controller_.on_offered(call.key);
    gate_result result;
    if (may_start(now) && queue_.empty())
    {
        record_start(now);
        result.verdict = gate_verdict::run;
        return result;
    }
    const offer_result offered = queue_.offer(call);
    const bool dropped = !offered.accepted || offered.evicted;
    sample_.dropped += dropped ? 1 : 0;
    result.evicted = offered.evicted;
    result.verdict =
        offered.accepted ? gate_verdict::queued : gate_verdict::refused;
    return result;
}

void admission_gate::on_finish(duration self_time, duration occupancy,
                               bool completed, time_point now)
{
    accumulate_busy_time(now);
    running_ -= running_ > 0 ? 1 : 0;
    sample_.completed += completed ? 1 : 0;
    if (limit_ && completed)
    {
        limit_->on_finish(self_time, now);
    }
    finished_occupancy_seconds_ += seconds(occupancy);
    ++finished_calls_;
}

void admission_gate::update_mean_occupancy()
{
    if (finished_calls_ == 0)
    {
        return;
    }
    const double mean = finished_occupancy_seconds_ / finished_calls_;
    mean_occupancy_seconds_ =
        mean_occupancy_seconds_ == 0
            ? mean
            : mean_occupancy_seconds_ +
                  occupancy_smoothing_factor * (mean - mean_occupancy_seconds_);
    finished_occupancy_seconds_ = 0;
    finished_calls_ = 0;
}

void admission_gate::on_backend_refusal(time_point now)
{
    if (limit_)
    {
        limit_->on_backend_refusal(now);
    }
    sample_.dropped += 1;
}

dequeued_calls admission_gate::dequeue_ready(time_point now)
{
    dequeued_calls result;
    while (may_start(now))
    {
        const auto call = queue_.pop(now, result.expired);
        if (!call)
        {
            break;
        }
        record_start(now);
        result.run.push_back(call->id);
    }
    sample_.dropped += static_cast<std::uint32_t>(result.expired.size());
    return result;
}

std::vector<std::uint64_t> admission_gate::update_level(time_point now)
{
    if (interval_start_ == time_point{})
    {
        interval_start_ = now;
    }
    const duration elapsed = now - interval_start_;
    if (elapsed < control_interval)
    {
        return {};
    }
    interval_start_ = now;
    auto expired = queue_.take_expired(now);
    sample_.dropped += static_cast<std::uint32_t>(expired.size());
    sample_.oldest_wait = queue_.oldest_wait(now);
    update_mean_occupancy();
    accumulate_busy_time(now);
    const double slot_seconds = limit(now) * seconds(elapsed);
    sample_.utilisation = std::min(busy_slot_seconds_ / slot_seconds, 1.0);
    busy_slot_seconds_ = 0;
    if (limit_ && mean_occupancy_seconds_ > 0)
    {
        sample_.capacity =
            limit(now) / mean_occupancy_seconds_ * seconds(elapsed);
    }
    controller_.update(sample_);
    if (mean_occupancy_seconds_ > 0)
    {
        queue_.update_service_rate(limit(now) / mean_occupancy_seconds_,
                                   from_seconds(mean_occupancy_seconds_));
    }
    sample_ = {};
    return expired;
}

void admission_gate::reset(time_point now)
{
    controller_.reset();
    if (limit_)
    {
        limit_->reset(now);
    }
    sample_ = {};
    interval_start_ = now;
}

} // namespace jujubespan::engine
