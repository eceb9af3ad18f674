#include "jujubespan/policy/shed_level.hpp"

#include "jujubespan/policy/stable_hash.hpp"

#include <algorithm>
#include <cmath>

namespace jujubespan
{

namespace
{

// Admitted part of the completion rate, so that the queue drains.
constexpr double admit_ratio = 0.98;
constexpr duration overload_wait = std::chrono::milliseconds(20);
// Keys that stay open at any load; their calls measure the recovery.
constexpr shed_level lowest_level = keys_per_class / 16;
constexpr double lowest_use = 0.25;
// Weight that earlier intervals keep from one interval to the next.
constexpr double memory = 0.8;
constexpr double utilisation_weight = 0.4;
// The same for what waits behind a closed level.
constexpr double long_memory = 0.99;
// Least part admitted while a queue drains, and the time to drain it, in
// seconds.
constexpr double lowest_admit_ratio = 0.85;
constexpr double drain_time = 0.5;
// A wait below this part of that at the last cut is shrinking.
constexpr double shrinking_ratio = 0.9;
// Above this share of slots in use there is no room for more.
constexpr double busy = 0.95;
// Part of the idle capacity that one rise lets in.
constexpr double raise_gain = 0.5;
// Intervals until a change of the level shows in what arrives.
constexpr unsigned effect_intervals = 3;
// Keys that one rise crosses at the most, and its growth with each rise.
constexpr shed_level first_step_keys = 64;
constexpr shed_level step_keys_factor = 4;

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
    offered_[std::min(key, open_level - 1)] += 1;
}

shed_level shed_controller::level_for(double budget) const
{
    double sum = 0;
    for (shed_level level = 0; level < open_level; ++level)
    {
        sum += offered_[level];
        if (sum > budget)
        {
            return std::max(level, lowest_level);
        }
    }
    return open_level;
}

void shed_controller::remember_offered()
{
    for (shed_level key = 0; key < open_level; ++key)
    {
        const double before = remembered_[key] * long_memory;
        remembered_[key] =
            key < level_ ? offered_[key] : std::max(before, offered_[key]);
    }
}

shed_level shed_controller::raised_level() const
{
    const double room = (1 - utilisation_) * raise_gain * capacity_;
    const shed_level last = std::min(level_ + step_keys_, open_level);
    double sum = 0;
    shed_level level = level_;
    while (level < last && sum + remembered_[level] <= room)
    {
        sum += remembered_[level];
        ++level;
    }
    return std::max(level, level_ + 1);
}

bool shed_controller::must_cut(const load_sample& sample) const
{
    if (sample.dropped > 0)
    {
        return true;
    }
    // A queue that shrinks shows that the last cut suffices.
    const bool shrinking =
        seconds(sample.oldest_wait) < shrinking_ratio * seconds(wait_at_cut_);
    return intervals_to_wait_ == 0 && !shrinking;
}

void shed_controller::cut(const load_sample& sample)
{
    const double excess =
        seconds(sample.oldest_wait - overload_wait) / drain_time;
    const double ratio =
        std::clamp(1 - excess, lowest_admit_ratio, admit_ratio);
    level_ = std::min(level_, level_for(capacity_ * ratio));
    wait_at_cut_ = sample.oldest_wait;
    step_keys_ = first_step_keys;
    intervals_to_wait_ = effect_intervals;
}

shed_level shed_controller::update(const load_sample& sample)
{
    capacity_ = capacity_ * memory +
                std::max<double>(sample.completed, sample.capacity);
    utilisation_ += utilisation_weight * (sample.utilisation - utilisation_);
    const bool overloaded =
        sample.dropped > 0 ||
        (sample.oldest_wait > overload_wait && !sample.queue_was_empty);
    remember_offered();
    intervals_to_wait_ -= intervals_to_wait_ > 0 ? 1 : 0;
    if (overloaded)
    {
        if (must_cut(sample))
        {
            cut(sample);
        }
    }
    else if (level_ < open_level && intervals_to_wait_ == 0 &&
             utilisation_ < busy)
    {
        level_ = raised_level();
        step_keys_ *= step_keys_factor;
        intervals_to_wait_ = effect_intervals;
        wait_at_cut_ = {};
    }
    for (auto& count : offered_)
    {
        count *= memory;
    }
    return level_;
}

void shed_controller::reset()
{
    offered_.fill(0);
    remembered_.fill(0);
    capacity_ = 0;
    level_ = open_level;
    utilisation_ = 0;
    intervals_to_wait_ = 0;
    wait_at_cut_ = {};
    step_keys_ = first_step_keys;
}

} // namespace jujubespan
