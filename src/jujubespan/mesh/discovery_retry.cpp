#include "jujubespan/mesh/discovery_retry.hpp"

#include <algorithm>

namespace jujubespan::mesh
{

namespace
{

constexpr duration first_retry_delay = std::chrono::milliseconds(120);
constexpr unsigned max_doublings = 4;

} // namespace

duration retry_delay(const failed_call& /*call*/, unsigned earlier_failures,
                     duration max_delay, double jitter, time_point /*now*/)
{
    const auto factor = 1U << std::min(earlier_failures, max_doublings);
    const auto usual =
        std::min<duration>(first_retry_delay * factor, max_delay);
    return from_seconds(seconds(usual) * jitter);
}

} // namespace jujubespan::mesh
