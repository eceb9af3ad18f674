#include "jujubespan/node/drain_schedule.hpp"

#include <algorithm>

namespace jujubespan::node
{

namespace
{

// Load balancers remove an instance only after several failed readiness checks,
// sent once a second.
constexpr duration deregistration_time = std::chrono::milliseconds(2800);
// Until the announcement, other nodes send calls as usual: a service of few
// instances needs each of them, and the calls end before the drain does.
constexpr duration usual_announcement = std::chrono::milliseconds(2000);
// The process exits this long before it would be killed.
constexpr duration usual_exit_margin = std::chrono::milliseconds(700);
// Shares that bound these times when the grace is short: the last requests that
// are admitted need time to complete.
constexpr double max_announcement_share = 0.4;  // of the time until the end
constexpr double max_admission_share = 0.55;    // of the time until the end
constexpr double max_exit_margin_share = 0.125; // of the grace

duration share_of(duration whole, double share)
{
    return from_seconds(seconds(whole) * share);
}

} // namespace

drain_schedule make_drain_schedule(duration stop_grace)
{
    drain_schedule result;
    result.end =
        stop_grace - std::min(usual_exit_margin,
                              share_of(stop_grace, max_exit_margin_share));
    result.announcement = std::min(
        usual_announcement, share_of(result.end, max_announcement_share));
    result.end_of_admission = std::min(
        deregistration_time, share_of(result.end, max_admission_share));
    result.end_of_starts = (result.end_of_admission + result.end) / 2;
    return result;
}

} // namespace jujubespan::node
