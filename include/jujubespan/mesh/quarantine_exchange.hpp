#ifndef JUJUBESPAN_MESH_QUARANTINE_EXCHANGE_HPP
#define JUJUBESPAN_MESH_QUARANTINE_EXCHANGE_HPP

#include "jujubespan/policy/string_map.hpp"
#include "jujubespan/policy/time.hpp"

#include <cstdint>
#include <string_view>

namespace jujubespan::mesh
{

/// @brief Decides when two nodes exchange what they know about suspects.
///
/// Every message between nodes carries the sender's digest of quarantined
/// requests. A node that restarted or was cut off has missed reports, which the
/// first message in either direction shows.
class quarantine_exchange
{
public:
    /// @brief Sets this node's own digest.
    /// @return true when it has changed.
    bool update(std::uint64_t own_digest, time_point now);

    /// @brief Records the digest in a message of another node.
    /// @return true when this node is to send its report to that node, even an
    /// empty one, which shows the other its digest.
    [[nodiscard]] bool is_due(std::string_view peer, std::uint64_t digest,
                              time_point now);

private:
    std::uint64_t own_digest_{0};
    time_point changed_at_{};
    string_map<time_point> sent_at_; // by address
};

} // namespace jujubespan::mesh

#endif
