#ifndef JUJUBESPAN_MESH_SERVER_ANNOUNCEMENT_HPP
#define JUJUBESPAN_MESH_SERVER_ANNOUNCEMENT_HPP

#include "jujubespan/mesh/header_names.hpp"
#include "jujubespan/policy/http_message.hpp"

#include <optional>
#include <span>
#include <string>

namespace jujubespan::mesh
{

/// @brief What a backend server says about itself in a response.
struct server_announcement
{
    /// Requests per second that it accepts from all senders together; nothing
    /// when it announces no limit or an unreadable one.
    std::optional<double> rate_limit;
    bool rate_limit_unreadable{false};
    bool leaving{false}; ///< It is about to stop.
};

/// @brief Reads the announcement from the headers of a response.
server_announcement read_announcement(std::span<const http_header> headers,
                                      const header_names& names);

/// @brief Text of a rate limit for logs.
std::string rate_limit_text(const std::optional<double>& rate_limit);

} // namespace jujubespan::mesh

#endif
