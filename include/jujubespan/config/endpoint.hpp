#ifndef JUJUBESPAN_CONFIG_ENDPOINT_HPP
#define JUJUBESPAN_CONFIG_ENDPOINT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jujubespan::config
{

/// @brief An IP number and a port.
struct endpoint
{
    std::string host;
    std::uint16_t port{0};

    bool operator==(const endpoint&) const = default;
};

/// @brief Text form, `host:port`.
std::string to_string(const endpoint& value);

/// @brief Parses `host:port`; empty when the text is something else.
std::optional<endpoint> parse_endpoint(std::string_view text);

} // namespace jujubespan::config

#endif
