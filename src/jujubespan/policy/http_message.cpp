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

namespace
{

// Heap memory of a string; short ones are held within the object.
std::size_t heap_bytes(const std::string& text)
{
    static const std::size_t inline_capacity = std::string().capacity();
    return text.capacity() > inline_capacity ? text.capacity() + 1 : 0;
}

std::size_t heap_bytes(const std::vector<http_header>& headers)
{
    std::size_t bytes = headers.capacity() * sizeof(http_header);
    for (const auto& header : headers)
    {
        bytes += heap_bytes(header.name) + heap_bytes(header.value);
    }
    return bytes;
}

} // namespace

std::size_t memory_size(const http_request& request)
{
    return sizeof request + heap_bytes(request.method) +
           heap_bytes(request.target) + heap_bytes(request.headers) +
           heap_bytes(request.body);
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
