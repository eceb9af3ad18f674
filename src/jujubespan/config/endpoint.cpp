#include "jujubespan/config/endpoint.hpp"

#include <fmt/format.h>

#include <arpa/inet.h>
#include <charconv>

namespace jujubespan::config
{

namespace
{

bool is_ip_address(std::string host)
{
    // inet_pton would read only the part before a zero byte.
    if (host.find('\0') != std::string::npos)
    {
        return false;
    }
    in6_addr address{}; // large enough for both families
    if (host.starts_with('[') && host.ends_with(']'))
    {
        host = host.substr(1, host.size() - 2);
        return ::inet_pton(AF_INET6, host.c_str(), &address) == 1;
    }
    return ::inet_pton(AF_INET, host.c_str(), &address) == 1 ||
           ::inet_pton(AF_INET6, host.c_str(), &address) == 1;
}

} // namespace

std::string to_string(const endpoint& value)
{
    return fmt::format("{}:{}", value.host, value.port);
}

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
    {
        return std::nullopt;
    }
    endpoint value;
    value.host = text.substr(0, colon);
    const auto port = text.substr(colon + 1);
    const char* end = port.data() + port.size();
    const auto [parsed_end, error] =
        std::from_chars(port.data(), end, value.port);
    if (error != std::errc{} || parsed_end != end || value.port == 0 ||
        !is_ip_address(value.host))
    {
        return std::nullopt;
    }
    return value;
}

} // namespace jujubespan::config
