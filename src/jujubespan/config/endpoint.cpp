#include "jujubespan/config/endpoint.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace jujubespan::config
{

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
    const bool numeric = std::all_of(value.host.begin(), value.host.end(),
                                     [](char c)
                                     {
                                         return (c >= '0' && c <= '9') ||
                                                (c >= 'a' && c <= 'f') ||
                                                c == '.' || c == ':' ||
                                                c == '[' || c == ']';
                                     });
    if (error != std::errc{} || parsed_end != end || value.port == 0 ||
        !numeric)
    {
        return std::nullopt;
    }
    return value;
}

} // namespace jujubespan::config
