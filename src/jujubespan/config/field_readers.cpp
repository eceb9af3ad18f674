#include "jujubespan/config/field_readers.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace jujubespan::config
{

namespace
{

constexpr std::array<std::string_view, 4> log_levels{"debug", "info", "warn",
                                                     "error"};

} // namespace

endpoint read_endpoint(object_reader& reader, std::string_view key)
{
    const auto text = reader.required_string(key);
    const auto value = parse_endpoint(text);
    if (!text.empty() && !value)
    {
        reader.add_error(key,
                         fmt::format("\"{}\" must be an IP address, ':' and "
                                     "a port from 1 to 65535",
                                     text));
    }
    return value.value_or(endpoint{});
}

std::string read_log_level(object_reader& reader)
{
    auto value = reader.string_or("log_level", "info");
    if (std::find(log_levels.begin(), log_levels.end(), value) ==
        log_levels.end())
    {
        reader.add_error("log_level",
                         fmt::format("\"{}\" is not one of {}", value,
                                     fmt::join(log_levels, ", ")));
    }
    return value;
}

} // namespace jujubespan::config
