#include "jujubespan/policy/start_pacer.hpp"

#include <algorithm>

namespace jujubespan
{

namespace
{

// Starts may be early by this much, so that a rate is used in full although
// calls do not arrive evenly.
constexpr duration burst_time = std::chrono::milliseconds(100);
// Starts per second that are allowed at any rate. Without them, nothing would
// tell when a rate of zero ends.
constexpr double min_rate = 0.5;

} // namespace

duration start_pacer::interval() const
{
    return from_seconds(1 / std::max(*rate_, min_rate));
}

void start_pacer::set_rate(std::optional<double> rate, time_point now)
{
    if (rate == rate_)
    {
        return;
    }
    rate_ = rate;
    if (rate_)
    {
        next_start_ = std::min(next_start_, now + interval());
    }
}

bool start_pacer::may_start(time_point now) const
{
    return !rate_ || now + burst_time >= next_start_;
}

void start_pacer::on_start(time_point now)
{
    if (rate_)
    {
        next_start_ = std::max(next_start_, now) + interval();
    }
}

} // namespace jujubespan
