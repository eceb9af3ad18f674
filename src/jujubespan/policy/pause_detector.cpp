#include "jujubespan/policy/pause_detector.hpp"

namespace jujubespan
{

std::optional<duration> pause_detector::observe(time_point now)
{
    const auto previous = last_observed_;
    last_observed_ = now;
    if (previous && now - *previous > threshold_)
    {
        return now - *previous;
    }
    return std::nullopt;
}

} // namespace jujubespan
