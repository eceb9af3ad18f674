#ifndef JUJUBESPAN_POLICY_HTTP_MESSAGE_HPP
#define JUJUBESPAN_POLICY_HTTP_MESSAGE_HPP

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jujubespan
{

/// @brief One HTTP header field.
struct http_header
{
    std::string name;
    std::string value;

    bool operator==(const http_header&) const = default;
};

/// @brief A complete HTTP request.
struct http_request
{
    std::string method;
    std::string target; ///< Path and query.
    std::vector<http_header> headers;
    std::string body;

    /// A request that is not idempotent is sent only on a new or recently used
    /// connection, since after a connection reset it is unknown whether it ran.
    bool idempotent{true};

    bool operator==(const http_request&) const = default;
};

/// @brief A complete HTTP response.
struct http_response
{
    unsigned status{0};
    std::vector<http_header> headers;
    std::string body;

    bool operator==(const http_response&) const = default;
};

/// @brief Value of the first header with a name, compared without regard to
/// case; empty when there is none.
std::string_view find_header(std::span<const http_header> headers,
                             std::string_view name);

/// @brief Returns whether two header names are equal apart from case.
bool same_header_name(std::string_view a, std::string_view b);

/// @brief Path of a request target: the part before `?`.
std::string_view path_of(std::string_view target);

/// @brief Memory that a request occupies, in bytes. A header field of two bytes
/// occupies a multiple of them.
std::size_t memory_size(const http_request& request);

/// @brief Total size of the header names, header values and body in bytes.
std::size_t byte_size(const http_response& response);

} // namespace jujubespan

#endif
