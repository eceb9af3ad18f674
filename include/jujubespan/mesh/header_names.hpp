#ifndef JUJUBESPAN_MESH_HEADER_NAMES_HPP
#define JUJUBESPAN_MESH_HEADER_NAMES_HPP

#include <string>

namespace jujubespan::mesh
{

/// @brief Names of the headers that routed requests and their answers carry.
struct header_names
{
    std::string request_id{"Jujubespan-Request-Id"};
    /// Milliseconds that the sender still waits.
    std::string deadline{"Jujubespan-Deadline-Ms"};
    /// Service that runs where the request began; set by the node.
    std::string caller_service{"Jujubespan-Caller-Service"};
    /// Id of the only instance that may run the request; set by the node.
    std::string expected_instance{"Jujubespan-Expect-Instance"};
    /// In an answer: the backend server did not run the request.
    std::string not_run{"Jujubespan-Not-Run"};
    /// In an answer: signature of the backend server over it.
    std::string signature{"Jujubespan-Signature"};
};

} // namespace jujubespan::mesh

#endif
