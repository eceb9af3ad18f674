#ifndef JUJUBESPAN_MESH_ATTEMPT_OUTCOME_HPP
#define JUJUBESPAN_MESH_ATTEMPT_OUTCOME_HPP

#include "jujubespan/mesh/call.hpp"

namespace jujubespan::mesh
{

/// @brief Outcome of one attempt at an instance.
enum class attempt_outcome
{
    success,
    overloaded,  ///< Its node or backend server had no free slot.
    paced,       ///< The rate limit of its backend server is used up.
    rejected,    ///< Its backend server refused it despite free slots.
    failed,      ///< It may have run, but there is no usable response.
    unreachable, ///< Its node or backend server cannot be reached.
    cancelled    ///< Cancelled by this node; no evidence about the instance.
};

/// @brief Derives the outcome of an attempt from its reply.
attempt_outcome classify_reply(const routed_reply& reply);

} // namespace jujubespan::mesh

#endif
