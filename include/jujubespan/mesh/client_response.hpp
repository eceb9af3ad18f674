#ifndef JUJUBESPAN_MESH_CLIENT_RESPONSE_HPP
#define JUJUBESPAN_MESH_CLIENT_RESPONSE_HPP

#include "jujubespan/engine/answer.hpp"
#include "jujubespan/policy/http_message.hpp"
#include "jujubespan/policy/time.hpp"

namespace jujubespan::mesh
{

/// @brief The response that a client gets for an outcome.
///
/// Only what has not run is answered with a status that promises so; it comes
/// with the time after which the client should return.
/// @param objective latency objective of the route; zero when there is none.
/// @param random uniform number in [0, 1) that spreads the returns.
http_response make_client_response(const engine::answer& value,
                                   duration objective, double random);

} // namespace jujubespan::mesh

#endif
