#include "jujubespan/caller/caller_face.hpp"

#include "jujubespan/engine/http_mapping.hpp"

namespace jujubespan::caller
{

caller_face::caller_face(const config::resource_limits& limits,
                         engine::call_engine& calls)
    : calls_(calls), server_(limits, *this)
{
}

absl::Status caller_face::listen(const config::endpoint& address)
{
    return server_.listen(address);
}

void caller_face::reply(std::uint64_t exchange, const engine::answer& value,
                        std::string_view request_id)
{
    server_.respond(exchange, engine::to_http(value, request_id));
}

void caller_face::on_request(std::uint64_t exchange, http_request request)
{
    calls_.on_caller_request({this, exchange}, std::move(request),
                             boot_clock::now());
}

void caller_face::on_gone(std::uint64_t exchange)
{
    calls_.on_origin_gone({this, exchange}, boot_clock::now());
}

} // namespace jujubespan::caller
