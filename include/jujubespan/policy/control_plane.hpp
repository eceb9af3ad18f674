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

/// @brief Returns whether a node is one of its failure domain's readers, the
/// nodes that read from the platform.
///
/// The readers of a failure domain are the `readers` live instances with the
/// highest rendezvous hashes, so that nodes with the same list agree on them
/// without exchanging messages.
/// @param list live instances; `self` counts even when it is not listed.
bool is_reader(std::string_view self, std::string_view domain,
               std::span<const instance> list, std::size_t readers);

/// @brief Selects the peers with which a node exchanges heartbeats.
///
/// In this node's failure domain these are the instances at distances 1, 2, 4,
/// ... on a ring ordered by hash. An update then reaches all n nodes of the
/// domain in log2(n) steps, and each node has log2(n) such peers. One instance
/// in each of up to `foreign_domains` other domains is added.
std::vector<instance> select_heartbeat_peers(std::string_view self,
                                             std::string_view domain,
                                             std::span<const instance> list,
                                             std::size_t foreign_domains);

/// @brief Decides when a node that is not a reader reads the platform.
///
/// It reads when no heartbeat has arrived from a peer for a given time plus a
/// random delay. The delay keeps the nodes of a domain that has lost its
/// readers from reading all at the same time.
class fallback_reader
{
public:
    /// @param heartbeat_timeout time without a heartbeat before a read.
    /// @param max_delay upper bound of the random delay.
    fallback_reader(duration heartbeat_timeout, duration max_delay);

    /// @brief Records that a heartbeat arrived from a peer.
    void on_heartbeat(time_point now);

    /// @brief Returns true when a read is due.
    ///
    /// The first call after a heartbeat or a due read starts the wait.
    /// @param random uniform number in [0, 1).
    bool should_read(double random, time_point now);

private:
    duration heartbeat_timeout_;
    duration max_delay_;
    time_point read_at_{};
    bool waiting_{false};
};

} // namespace jujubespan

#endif
