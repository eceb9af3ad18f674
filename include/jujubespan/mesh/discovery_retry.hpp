#ifndef JUJUBESPAN_MESH_DISCOVERY_RETRY_HPP
#define JUJUBESPAN_MESH_DISCOVERY_RETRY_HPP

#include "jujubespan/policy/time.hpp"

#include <absl/status/status.h>

namespace jujubespan::mesh
{

/// @brief Time allowed for the response to a call beyond the wait that the call
/// asks for, and for opening a connection to the discovery source.
constexpr duration response_margin = std::chrono::milliseconds(700);

/// @brief Wait that a call asks for while calls fail, so that the return of the
/// source is noticed early.
constexpr duration probe_wait = std::chrono::milliseconds(20);

/// @brief A call to the discovery source that failed.
struct failed_call
{
    time_point sent_at{};
    /// Time from which on the source or the path to it may have been away.
    /// Later than `sent_at` if the connection was closed, which shows that the
    /// path was there until then.
    time_point away_since{};
    /// The source refused the call or sent something unreadable. False if no
    /// response arrived: the source or the path to it may be away.
    bool answered{false};
    absl::Status error{};
};

/// @brief Delay before the call that follows a failed one.
/// @param earlier_failures number of consecutive failures before this one.
/// @param max_delay longest delay without jitter.
/// @param jitter factor between 0.7 and 1.3.
[[nodiscard]] duration retry_delay(const failed_call& call,
                                   unsigned earlier_failures,
                                   duration max_delay, double jitter,
                                   time_point now);

} // namespace jujubespan::mesh

#endif
