#include "jujubespan/policy/pause_detector.hpp"

namespace jujubespan
{

std::optional<duration> pause_detector::detect_pause(time_point now)
{
    const auto previous = last_call_at_;
    last_call_at_ = now;
    if (previous && now - *previous > threshold_)
    {
        return now - *previous;
    }
    return std::nullopt;
}

} // namespace jujubespan
