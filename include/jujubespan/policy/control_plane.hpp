#ifndef JUJUBESPAN_POLICY_CONTROL_PLANE_HPP
#define JUJUBESPAN_POLICY_CONTROL_PLANE_HPP

#include "jujubespan/policy/instance.hpp"
#include "jujubespan/policy/time.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jujubespan
{

/// @brief Whether a node is one of its domain's readers of the platform.
///
/// Readers are the `readers` highest by rendezvous hash among the live
/// instances of a failure domain, so that all nodes agree without messages.
/// @param list live instances; `self` counts even when it is not listed.
bool is_reader(std::string_view self, std::string_view domain,
               std::span<const instance> list, std::size_t readers);

/// @brief The peers with which a node exchanges heartbeats.
///
/// Instances of the own domain at distances 1, 2, 4, ... on a ring ordered by
/// hash, so that news reaches all of n nodes in log2(n) steps and connections
/// grow by the logarithm; and one instance of each of `foreign` other
/// domains.
std::vector<instance> select_heartbeat_peers(std::string_view self,
                                             std::string_view domain,
                                             std::span<const instance> list,
                                             std::size_t foreign);

/// @brief Decides when a node that is not a reader reads the platform.
///
/// It does so when no peer has confirmed its revisions for a while, after a
/// random part of the spread, so that a domain whose readers are lost does
/// not read as one.
class fallback_reader
{
public:
    /// @param silence time without a digest after which to read.
    /// @param spread random time added to it.
    fallback_reader(duration silence, duration spread);

    /// @brief A peer's digest arrived.
    void on_digest(time_point now);

    /// @brief True when a read is due; then waits anew.
    /// @param random uniform number in [0, 1).
    bool should_read(double random, time_point now);

private:
    duration silence_;
    duration spread_;
    time_point next_{};
    bool armed_{false};
};

} // namespace jujubespan

#endif
