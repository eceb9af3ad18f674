#ifndef JUJUBESPAN_POLICY_TIME_HPP
#define JUJUBESPAN_POLICY_TIME_HPP

#include <chrono>

namespace jujubespan
{

/// @brief Monotonic clock that also counts the time a machine is suspended.
///
/// Functions that make decisions take the current time as an argument; only the
/// outermost layers read this clock.
struct boot_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now();
};

using time_point = boot_clock::time_point;
using duration = boot_clock::duration;

/// @brief Converts a duration to fractional seconds.
constexpr double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

/// @brief Converts fractional seconds to a duration.
constexpr duration from_seconds(double value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(value));
}

/// @brief Converts a duration to whole milliseconds, rounded towards zero.
constexpr long long milliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace jujubespan

#endif
