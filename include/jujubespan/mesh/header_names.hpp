#ifndef JUJUBESPAN_MESH_HEADER_NAMES_HPP
#define JUJUBESPAN_MESH_HEADER_NAMES_HPP

#include <string>

namespace jujubespan::mesh
{

/// @brief Names of the headers of routed requests and their responses.
struct header_names
{
    std::string request_id{"Jujubespan-Request-Id"};
    /// Milliseconds until the deadline of the sender.
    std::string deadline{"Jujubespan-Deadline-Ms"};
    /// Service of the node that sent the call; set by the node.
    std::string caller_service{"Jujubespan-Caller-Service"};
    /// Id of the only instance that may run the request; set by the node.
    std::string expected_instance{"Jujubespan-Expect-Instance"};
    /// In a response: the backend server did not run the request.
    std::string not_run{"Jujubespan-Not-Run"};
    /// In a response: the backend server's signature.
    std::string signature{"Jujubespan-Signature"};
    /// In a response: requests per second that the backend server accepts from
    /// all senders together, as a decimal number. In force while its responses
    /// have it.
    std::string rate_limit{"Jujubespan-Rate-Limit"};
    /// In a response: the backend server is about to stop.
    std::string leaving{"Jujubespan-Leaving"};
    /// Key of the organisation that sends a request. Never passed on.
    std::string key{"Jujubespan-Key"};
    /// Name of the organisation that holds the key; set by the node.
    std::string organisation{"Jujubespan-Organisation"};
    /// In a response: load and present speed of the backend server.
    std::string server_load{"Jujubespan-Server-Load"};
};

} // namespace jujubespan::mesh

#endif
