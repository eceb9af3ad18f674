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
constexpr double memory = 0.7;

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

shed_level shed_controller::update(const load_sample& sample)
{
    completed_ = completed_ * memory + sample.completed;
    const bool overloaded =
        sample.dropped > 0 ||
        (sample.oldest_wait > overload_wait && !sample.queue_was_empty);
    if (overloaded)
    {
        level_ = std::min(level_, level_for(completed_ * admit_ratio));
        step_ = 1;
    }
    else if (sample.queue_was_empty && level_ < open_level)
    {
        level_ = std::min(level_ + step_, open_level);
        step_ *= 2;
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
    completed_ = 0;
    level_ = open_level;
    step_ = 1;
}

} // namespace jujubespan
