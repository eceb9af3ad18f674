#ifndef JUJUBESPAN_POLICY_PAUSE_DETECTOR_HPP
#define JUJUBESPAN_POLICY_PAUSE_DETECTOR_HPP

#include "jujubespan/policy/time.hpp"

#include <optional>

namespace jujubespan
{

/// @brief Detects that a thread did not run for a while.
///
/// The owner calls `detect_pause` before each decision. After a gap longer than
/// the threshold, all state observed before the gap is out of date.
class pause_detector
{
public:
    explicit pause_detector(duration threshold) : threshold_(threshold) {}

    /// @brief Records that the thread runs.
    /// @return the time since the previous call if it exceeds the threshold.
    std::optional<duration> detect_pause(time_point now);

private:
    duration threshold_;
    std::optional<time_point> last_call_at_;
};

} // namespace jujubespan

#endif
