#ifndef JUJUBESPAN_ENGINE_HTTP_MAPPING_HPP
#define JUJUBESPAN_ENGINE_HTTP_MAPPING_HPP

#include "jujubespan/engine/answer.hpp"

#include <string>
#include <string_view>

namespace jujubespan::engine
{

/// @brief Names of the HTTP headers that nodes read and write.
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

/// @brief Returns the HTTP status of an answer that a node generates.
unsigned http_status_of(outcome result, reason cause);

/// @brief Converts an answer to the HTTP response for a caller or backend
/// server.
/// @param request_id added to the response unless it is empty or the response
/// already has one.
http_response to_http_response(const answer& answer,
                               std::string_view request_id);

/// @brief Removes the Jujubespan and connection headers from a request for a
/// backend server.
http_request to_backend_request(http_request request);

/// @brief Removes the Jujubespan headers, which only a node may send, and the
/// connection headers from a backend server's response.
void strip_response_headers(http_response& response);

} // namespace jujubespan::engine

#endif
