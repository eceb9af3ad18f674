#include "jujubespan/mesh/server_announcement.hpp"

#include <fmt/format.h>

#include <charconv>
#include <cmath>
#include <string_view>

namespace jujubespan::mesh
{

namespace
{

// Requests per second; a higher value is not a limit that a server could need.
constexpr double max_rate_limit = 1e6;

std::optional<double> parse_rate(std::string_view text)
{
    double value = 0;
    const auto* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc{} || stop != end || !std::isfinite(value) ||
        value < 0 || value > max_rate_limit)
    {
        return std::nullopt;
    }
    return value;
}

} // namespace

server_announcement read_announcement(std::span<const http_header> headers,
                                      const header_names& names)
{
    server_announcement result;
    const auto limit = find_header(headers, names.rate_limit);
    if (!limit.empty())
    {
        result.rate_limit = parse_rate(limit);
        result.rate_limit_unreadable = !result.rate_limit;
    }
    result.leaving = find_header(headers, names.leaving) == "1";
    return result;
}

std::string rate_limit_text(const std::optional<double>& rate_limit)
{
    return rate_limit ? fmt::format("{:.1f}", *rate_limit) : "none";
}

} // namespace jujubespan::mesh
