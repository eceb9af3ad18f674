#include "jujubespan/policy/admission_level.hpp"

#include "jujubespan/policy/stable_hash.hpp"

#include <algorithm>
#include <cmath>

namespace jujubespan
{

namespace
{

// Keys below this level are admitted at any load; their calls show when the
// node has recovered.
constexpr admission_level min_level = keys_per_class / 16;
constexpr double min_contract_use = 0.25;
// Weights of one interval in the smoothed values.
constexpr double recent_weight = 0.5;
constexpr double density_weight = 0.1;
constexpr double capacity_weight = 0.3;
constexpr double utilisation_weight = 0.4;
constexpr double wait_weight = 0.5;
// Share of the rate of a refused key that is kept after each interval.
constexpr double busy_retention = 0.99;
constexpr double idle_retention = 0.85;
// Share of slots in use below which the node has spare capacity.
constexpr double idle_utilisation = 0.7;
// Share of slots in use that the correction aims at.
constexpr double target_utilisation = 0.97;
// Target rate over capacity. It falls from the maximum to the minimum in
// proportion to the wait that exceeds the tolerated wait.
constexpr double max_target_ratio = 1.05;
constexpr double min_target_ratio = 0.6;
// Critical calls are refused only when they exceed this share of the capacity.
constexpr double critical_target_ratio = 0.97;
// Excess wait that would lower the target by the whole capacity.
constexpr double wait_range_seconds = 0.4;
constexpr double tolerated_wait_seconds = 0.005;
// Largest change of the correction in one interval, and its bounds.
constexpr double correction_step = 0.02;
constexpr double min_correction = 1;
constexpr double max_correction = 1.5;
// Wait above which the correction shrinks.
constexpr double correction_wait_seconds = 0.03;

} // namespace

shed_key make_shed_key(request_class cls, std::string_view request_id,
                       double contract_use)
{
    const auto hash = stable_hash(request_id);
    const double fraction = static_cast<double>(hash >> 11) * 0x1.0p-53;
    const double scaled =
        fraction * std::clamp(contract_use, min_contract_use, 1.0);
    const auto position = std::min<shed_key>(
        static_cast<shed_key>(scaled * keys_per_class), keys_per_class - 1);
    return static_cast<shed_key>(cls) * keys_per_class + position;
}

request_class class_of(shed_key key)
{
    const auto index =
        std::min<shed_key>(key / keys_per_class, request_class_count - 1);
    return static_cast<request_class>(index);
}

void shed_controller::on_offered(shed_key key)
{
    offered_[std::min(key, admit_all_level - 1)] += 1;
}

admission_level shed_controller::level_for(std::span<const double> density,
                                           double max_calls) const
{
    double sum = 0;
    for (admission_level level = 0; level < admit_all_level; ++level)
    {
        sum += density[level];
        if (sum > max_calls)
        {
            return std::max(level, min_level);
        }
    }
    return admit_all_level;
}

void shed_controller::update_estimates(const load_sample& sample)
{
    const double interval_capacity =
        std::max<double>(sample.completed, sample.capacity);
    capacity_ =
        capacity_ == 0
            ? interval_capacity
            : capacity_ + capacity_weight * (interval_capacity - capacity_);
    utilisation_ += utilisation_weight * (sample.utilisation - utilisation_);
    wait_seconds_ +=
        wait_weight * (seconds(sample.oldest_wait) - wait_seconds_);
    const double retention =
        utilisation_ < idle_utilisation ? idle_retention : busy_retention;
    for (admission_level key = 0; key < admit_all_level; ++key)
    {
        const double count = offered_[key];
        recent_[key] += recent_weight * (count - recent_[key]);
        const double smoothed =
            density_[key] + density_weight * (count - density_[key]);
        density_[key] = key < level_
                            ? smoothed
                            : std::max(smoothed, density_[key] * retention);
    }
    offered_.fill(0);
}

void shed_controller::update_correction()
{
    if (level_ == admit_all_level)
    {
        correction_ = std::max(1.0, correction_ - correction_step);
    }
    else if (wait_seconds_ > correction_wait_seconds)
    {
        correction_ -= correction_step;
    }
    else if (utilisation_ < target_utilisation)
    {
        correction_ += correction_step * (target_utilisation - utilisation_) /
                       (1 - idle_utilisation);
    }
    correction_ = std::clamp(correction_, min_correction, max_correction);
}

double shed_controller::target_calls() const
{
    const double excess_ratio =
        std::max(0.0, wait_seconds_ - tolerated_wait_seconds) /
        wait_range_seconds;
    return capacity_ * correction_ *
           std::clamp(max_target_ratio - excess_ratio, min_target_ratio,
                      max_target_ratio);
}

admission_level shed_controller::update(const load_sample& sample)
{
    update_estimates(sample);
    update_correction();
    const double max_calls = target_calls();
    // To shorten the queue, only the classes below critical are refused.
    const admission_level critical_level = std::min(
        keys_per_class, level_for(density_, critical_target_ratio * capacity_));
    level_ = std::max(level_for(density_, max_calls), critical_level);
    if (sample.dropped > 0)
    {
        // A sudden increase of load shows first in the less smoothed rates.
        level_ = std::min(
            level_, std::max(level_for(recent_, max_calls), critical_level));
    }
    return level_;
}

void shed_controller::reset()
{
    offered_.fill(0);
    recent_.fill(0);
    density_.fill(0);
    capacity_ = 0;
    utilisation_ = 0;
    wait_seconds_ = 0;
    correction_ = 1;
    level_ = admit_all_level;
}

} // namespace jujubespan
