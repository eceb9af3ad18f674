#include "jujubespan/mesh/discovery_retry.hpp"

#include <algorithm>

namespace jujubespan::mesh
{

namespace
{

constexpr duration first_retry_delay = std::chrono::milliseconds(120);
constexpr unsigned max_doublings = 4;
// Longest time between the starts of calls that get no response. A node that
// was cut off must stop using instances that left meanwhile within three
// seconds after the cut, and defers removals for two of them.
constexpr duration max_unanswered_interval = std::chrono::milliseconds(800);
constexpr duration min_retry_delay = std::chrono::milliseconds(40);
constexpr double max_jitter = 1.3;

} // namespace

duration retry_delay(const failed_call& call, unsigned earlier_failures,
                     duration max_delay, double jitter, time_point now)
{
    const auto factor = 1U << std::min(earlier_failures, max_doublings);
    const auto usual =
        std::min<duration>(first_retry_delay * factor, max_delay);
    const auto delay = from_seconds(seconds(usual) * jitter);
    if (call.answered)
    {
        return delay;
    }
    const auto left = call.sent_at + max_unanswered_interval - now;
    const auto limit = from_seconds(seconds(left) * jitter / max_jitter);
    return std::max(std::min(delay, limit), min_retry_delay);
}

} // namespace jujubespan::mesh
