#ifndef JUJUBESPAN_MESH_ATTEMPT_END_HPP
#define JUJUBESPAN_MESH_ATTEMPT_END_HPP

#include "jujubespan/mesh/call.hpp"

namespace jujubespan::mesh
{

/// @brief How one attempt at an instance ended.
enum class attempt_end
{
    served,
    full,        ///< Its node or backend server had no room.
    rejected,    ///< Its backend server refused it though it had room.
    failed,      ///< It may have run and brought no usable answer.
    unreachable, ///< Its node or backend server cannot be reached.
    withdrawn    ///< Given up by this node; says nothing about the instance.
};

/// @brief What a reply says about the instance that was tried.
attempt_end end_of(const routed_reply& reply);

} // namespace jujubespan::mesh

#endif
