#include "jujubespan/policy/pause_detector.hpp"

namespace jujubespan
{

std::optional<duration> pause_detector::observe(time_point now)
{
    const auto before = last_;
    last_ = now;
    if (before && now - *before > threshold_)
    {
        return now - *before;
    }
    return std::nullopt;
}

} // namespace jujubespan
