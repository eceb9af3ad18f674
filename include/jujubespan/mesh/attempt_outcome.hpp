#ifndef JUJUBESPAN_MESH_ATTEMPT_OUTCOME_HPP
#define JUJUBESPAN_MESH_ATTEMPT_OUTCOME_HPP

#include "jujubespan/mesh/call.hpp"

namespace jujubespan::mesh
{

/// @brief How one attempt at an instance ended.
enum class attempt_outcome
{
    success,
    overloaded,  ///< Its node or backend server had no room.
    rejected,    ///< Its backend server refused it though it had room.
    failed,      ///< It may have run and brought no usable answer.
    unreachable, ///< Its node or backend server cannot be reached.
    cancelled    ///< Given up by this node; says nothing about the instance.
};

/// @brief What a reply says about the instance that was tried.
attempt_outcome classify_reply(const routed_reply& reply);

} // namespace jujubespan::mesh

#endif
