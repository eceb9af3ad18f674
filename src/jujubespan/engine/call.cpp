#include "jujubespan/engine/call.hpp"

#include "jujubespan/policy/stable_hash.hpp"

namespace jujubespan::engine
{

std::uint32_t hash_call(std::string_view service, const http_request& request)
{
    const auto method_hash = stable_hash(request.method, stable_hash(service));
    const auto body_hash = stable_hash(request.body, method_hash);
    return static_cast<std::uint32_t>(stable_hash(request.target, body_hash));
}

} // namespace jujubespan::engine
