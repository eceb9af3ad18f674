#ifndef JUJUBESPAN_MESH_REQUEST_FINGERPRINT_HPP
#define JUJUBESPAN_MESH_REQUEST_FINGERPRINT_HPP

#include "jujubespan/policy/http_message.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace jujubespan::mesh
{

/// @brief Hash of what makes two requests the same request: the calling
/// service, host, method, target and body. It does not depend on the request
/// id, on other headers, or on the node and the time of arrival.
using request_fingerprint = std::uint64_t;

request_fingerprint fingerprint_of(std::string_view caller_service,
                                   const http_request& request);

/// @brief Text form for logs, 16 hexadecimal digits.
std::string to_text(request_fingerprint value);

} // namespace jujubespan::mesh

#endif
