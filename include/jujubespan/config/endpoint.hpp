#ifndef JUJUBESPAN_CONFIG_ENDPOINT_HPP
#define JUJUBESPAN_CONFIG_ENDPOINT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jujubespan::config
{

/// @brief An IP address and a port.
struct endpoint
{
    std::string host;
    std::uint16_t port{0};

    bool operator==(const endpoint&) const = default;
};

/// @brief Returns `host:port`.
std::string to_string(const endpoint& value);

/// @brief Parses `host:port`.
/// @return empty if the text does not have this form, the host is not an IP
/// address or the port is not between 1 and 65535.
std::optional<endpoint> parse_endpoint(std::string_view text);

} // namespace jujubespan::config

#endif
