#ifndef JUJUBESPAN_MESH_RECENT_COMPLETIONS_HPP
#define JUJUBESPAN_MESH_RECENT_COMPLETIONS_HPP

#include "jujubespan/mesh/request_fingerprint.hpp"
#include "jujubespan/policy/time.hpp"

#include <absl/container/flat_hash_set.h>

namespace jujubespan::mesh
{

/// @brief The requests that a backend server has completed within the last
/// seconds, in bounded memory.
class recent_completions
{
public:
    void record(request_fingerprint request, time_point now);

    [[nodiscard]] bool contains(request_fingerprint request) const
    {
        return newer_.contains(request) || older_.contains(request);
    }

    /// @brief Drops what has expired; to be called regularly.
    void expire(time_point now);

private:
    void rotate(time_point now);

    absl::flat_hash_set<request_fingerprint> newer_;
    absl::flat_hash_set<request_fingerprint> older_;
    time_point rotated_at_{};
};

} // namespace jujubespan::mesh

#endif
