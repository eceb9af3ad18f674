#ifndef JUJUBESPAN_NODE_DRAIN_SCHEDULE_HPP
#define JUJUBESPAN_NODE_DRAIN_SCHEDULE_HPP

#include "jujubespan/policy/time.hpp"

namespace jujubespan::node
{

/// @brief Steps of a planned stop, as times since its begin, in this order.
struct drain_schedule
{
    /// Other nodes are told to prefer other instances.
    duration announcement{};
    /// New requests are refused from here on. Load balancers have stopped
    /// sending them by then if the grace is long enough.
    duration end_of_admission{};
    /// From here on, nothing that has not started is passed on: it might not
    /// complete.
    duration end_of_starts{};
    /// The process exits, even with requests in flight.
    duration end{};
};

/// @brief Divides the time until the process is killed.
/// @param stop_grace time from the request to stop until the kill; positive.
[[nodiscard]] drain_schedule make_drain_schedule(duration stop_grace);

} // namespace jujubespan::node

#endif
