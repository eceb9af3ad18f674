#ifndef JUJUBESPAN_ENGINE_HTTP_MAPPING_HPP
#define JUJUBESPAN_ENGINE_HTTP_MAPPING_HPP

#include "jujubespan/engine/answer.hpp"

#include <string>
#include <string_view>

namespace jujubespan::engine
{

/// @brief Names of the headers of this system.
namespace headers
{

inline constexpr std::string_view prefix = "Jujubespan-";
inline constexpr std::string_view customer = "Jujubespan-Customer";
inline constexpr std::string_view token = "Jujubespan-Token";
inline constexpr std::string_view deadline = "Jujubespan-Deadline-Ms";
inline constexpr std::string_view attempt = "Jujubespan-Attempt";
inline constexpr std::string_view outcome = "Jujubespan-Outcome";
inline constexpr std::string_view reason = "Jujubespan-Reason";
inline constexpr std::string_view ticket = "Jujubespan-Ticket";
inline constexpr std::string_view retry_after_ms = "Jujubespan-Retry-After-Ms";
inline constexpr std::string_view request_id = "X-Request-Id";
inline constexpr std::string_view idempotency_key = "Idempotency-Key";
inline constexpr std::string_view retry_after = "Retry-After";

} // namespace headers

/// @brief HTTP status for an answer that is not the backend server's own.
unsigned http_status_of(outcome result, reason why);

/// @brief The response that a caller or backend server receives.
/// @param request_id echoed to the caller; may be empty.
http_response to_http(const answer& value, std::string_view request_id);

/// @brief The request as the backend server receives it: without the headers
/// of this system and of the connection.
http_request to_backend_request(http_request request);

/// @brief Removes headers that only a node may send, and those of the
/// connection, from a backend server's response.
void strip_response_headers(http_response& response);

} // namespace jujubespan::engine

#endif
