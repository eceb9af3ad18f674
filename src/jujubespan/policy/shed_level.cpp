#include "jujubespan/policy/shed_level.hpp"

#include "jujubespan/policy/stable_hash.hpp"

#include <algorithm>
#include <cmath>

namespace jujubespan
{

namespace
{

// Keys that stay open at any load; their calls measure the recovery.
constexpr admission_level lowest_level = keys_per_class / 16;
constexpr double lowest_use = 0.25;
// Weights of one interval in the smoothed figures.
constexpr double recent_weight = 0.5;
constexpr double density_weight = 0.1;
constexpr double capacity_weight = 0.3;
constexpr double utilisation_weight = 0.4;
constexpr double wait_weight = 0.5;
// Part that is remembered, an interval later, of what is no longer seen.
constexpr double remember_busy = 0.99;
constexpr double remember_idle = 0.85;
// Below this share of slots in use there is room for more.
constexpr double idle_utilisation = 0.7;
// The share of slots in use that the correction aims at.
constexpr double full_utilisation = 0.97;
// Target rate over capacity: this much with no wait, less by the wait over
// the range, never less than the lowest.
constexpr double highest_target = 1.05;
constexpr double lowest_target = 0.6;
// Critical calls are cut only when they exceed this part of the capacity.
constexpr double critical_target = 0.97;
constexpr double wait_range = 0.4;  // seconds
constexpr double free_wait = 0.005; // seconds
// Change of the correction in one interval, and its bounds.
constexpr double correction_step = 0.02;
constexpr double lowest_correction = 1;
constexpr double highest_correction = 1.5;
constexpr double long_wait = 0.03; // seconds

} // namespace

shed_key make_shed_key(request_class cls, std::string_view request_id,
                       double use)
{
    const auto hash = stable_hash(request_id);
    const double unit = static_cast<double>(hash >> 11) * 0x1.0p-53;
    const double scaled = unit * std::clamp(use, lowest_use, 1.0);
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
                                           double budget) const
{
    double sum = 0;
    for (admission_level level = 0; level < admit_all_level; ++level)
    {
        sum += density[level];
        if (sum > budget)
        {
            return std::max(level, lowest_level);
        }
    }
    return admit_all_level;
}

void shed_controller::observe(const load_sample& sample)
{
    const double seen_capacity =
        std::max<double>(sample.completed, sample.capacity);
    capacity_ = capacity_ == 0
                    ? seen_capacity
                    : capacity_ + capacity_weight * (seen_capacity - capacity_);
    utilisation_ += utilisation_weight * (sample.utilisation - utilisation_);
    wait_ += wait_weight * (seconds(sample.oldest_wait) - wait_);
    const double remember =
        utilisation_ < idle_utilisation ? remember_idle : remember_busy;
    for (admission_level key = 0; key < admit_all_level; ++key)
    {
        const double count = offered_[key];
        recent_[key] += recent_weight * (count - recent_[key]);
        const double smoothed =
            density_[key] + density_weight * (count - density_[key]);
        density_[key] = key < level_
                            ? smoothed
                            : std::max(smoothed, density_[key] * remember);
    }
    offered_.fill(0);
}

void shed_controller::correct()
{
    if (level_ == admit_all_level)
    {
        correction_ = std::max(1.0, correction_ - correction_step);
    }
    else if (wait_ > long_wait)
    {
        correction_ -= correction_step;
    }
    else if (utilisation_ < full_utilisation)
    {
        correction_ += correction_step * (full_utilisation - utilisation_) /
                       (1 - idle_utilisation);
    }
    correction_ =
        std::clamp(correction_, lowest_correction, highest_correction);
}

double shed_controller::target() const
{
    const double over = std::max(0.0, wait_ - free_wait) / wait_range;
    return capacity_ * correction_ *
           std::clamp(highest_target - over, lowest_target, highest_target);
}

admission_level shed_controller::update(const load_sample& sample)
{
    observe(sample);
    correct();
    const double budget = target();
    // A queue drains by cutting the classes below critical alone.
    const admission_level critical = std::min(
        keys_per_class, level_for(density_, critical_target * capacity_));
    level_ = std::max(level_for(density_, budget), critical);
    if (sample.dropped > 0)
    {
        // A surge shows in the recent figures first.
        level_ =
            std::min(level_, std::max(level_for(recent_, budget), critical));
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
    wait_ = 0;
    correction_ = 1;
    level_ = admit_all_level;
}

} // namespace jujubespan
