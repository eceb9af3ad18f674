#ifndef JUJUBESPAN_MESH_CLIENT_RESPONSE_HPP
#define JUJUBESPAN_MESH_CLIENT_RESPONSE_HPP

#include "jujubespan/engine/answer.hpp"
#include "jujubespan/policy/http_message.hpp"
#include "jujubespan/policy/time.hpp"

namespace jujubespan::mesh
{

/// @brief Builds the response to a client for an outcome.
///
/// Only a request that has not run gets a status that says so; the response
/// then has a Retry-After header.
/// @param objective latency objective of the route; zero when there is none.
/// @param random uniform number in [0, 1) that spreads the retries of clients.
http_response make_client_response(const engine::answer& answer,
                                   duration objective, double random);

} // namespace jujubespan::mesh

#endif
