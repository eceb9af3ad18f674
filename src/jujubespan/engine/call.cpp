#include "jujubespan/engine/call.hpp"

#include "jujubespan/policy/stable_hash.hpp"

namespace jujubespan::engine
{

std::uint32_t hash_call(std::string_view service, const http_request& request)
{
    const auto verb = stable_hash(request.verb, stable_hash(service));
    const auto body = stable_hash(request.body, verb);
    return static_cast<std::uint32_t>(stable_hash(request.target, body));
}

} // namespace jujubespan::engine
