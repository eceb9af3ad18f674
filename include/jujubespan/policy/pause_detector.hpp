#ifndef JUJUBESPAN_POLICY_PAUSE_DETECTOR_HPP
#define JUJUBESPAN_POLICY_PAUSE_DETECTOR_HPP

#include "jujubespan/policy/time.hpp"

#include <optional>

namespace jujubespan
{

/// @brief Detects that a thread did not run for a while.
///
/// The owner calls `observe` before each decision. After a gap above the
/// threshold everything learned before it has expired.
class pause_detector
{
public:
    explicit pause_detector(duration threshold) : threshold_(threshold) {}

    /// @return the length of the pause, when there was one.
    std::optional<duration> observe(time_point now);

private:
    duration threshold_;
    std::optional<time_point> last_;
};

} // namespace jujubespan

#endif
