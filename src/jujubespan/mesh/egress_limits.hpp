#ifndef JUJUBESPAN_MESH_EGRESS_LIMITS_HPP
#define JUJUBESPAN_MESH_EGRESS_LIMITS_HPP

#include "jujubespan/policy/time.hpp"

#include <cstddef>

namespace jujubespan::mesh
{

// Attempts of one request, including those that reached no backend server.
inline constexpr std::size_t max_attempts_per_request = 4;
// No further attempt is made with less time than this until the deadline.
inline constexpr duration min_attempt_time = std::chrono::milliseconds(20);
inline constexpr unsigned first_server_error = 500;

} // namespace jujubespan::mesh

#endif
