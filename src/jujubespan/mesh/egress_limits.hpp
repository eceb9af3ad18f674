#ifndef JUJUBESPAN_MESH_EGRESS_LIMITS_HPP
#define JUJUBESPAN_MESH_EGRESS_LIMITS_HPP

#include "jujubespan/policy/time.hpp"

#include <cstddef>

namespace jujubespan::mesh
{

// Attempts of one request, those that reached no backend server included.
inline constexpr std::size_t max_attempts_per_request = 4;
// An attempt with less time than this left is not worth its cost.
inline constexpr duration min_attempt_time = std::chrono::milliseconds(20);
inline constexpr unsigned first_server_error = 500;

} // namespace jujubespan::mesh

#endif
