#include "jujubespan/policy/http_message.hpp"

#include <algorithm>
#include <cctype>

namespace jujubespan
{

bool same_header_name(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](unsigned char x, unsigned char y)
                      { return std::tolower(x) == std::tolower(y); });
}

std::string_view find_header(std::span<const http_header> headers,
                             std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(),
                                    [name](const auto& h)
                                    { return same_header_name(h.name, name); });
    return found == headers.end() ? std::string_view() : found->value;
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::size_t byte_size(const http_response& response)
{
    std::size_t bytes = response.body.size();
    for (const auto& header : response.headers)
    {
        bytes += header.name.size() + header.value.size();
    }
    return bytes;
}

} // namespace jujubespan
