#include "jujubespan/mesh/request_fingerprint.hpp"

#include "jujubespan/policy/stable_hash.hpp"

#include <fmt/format.h>

namespace jujubespan::mesh
{

request_fingerprint fingerprint_of(std::string_view caller_service,
                                   const http_request& request)
{
    auto hash = stable_hash(caller_service);
    hash = stable_hash(find_header(request.headers, "Host"), hash);
    hash = stable_hash(request.method, hash);
    hash = stable_hash(request.target, hash);
    return stable_hash(request.body, hash);
}

std::string to_text(request_fingerprint value)
{
    return fmt::format("{:016x}", value);
}

} // namespace jujubespan::mesh
