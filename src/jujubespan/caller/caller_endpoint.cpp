#include "jujubespan/caller/caller_endpoint.hpp"

#include "jujubespan/engine/http_mapping.hpp"

namespace jujubespan::caller
{

caller_endpoint::caller_endpoint(const config::resource_limits& limits,
                                 engine::call_engine& engine,
                                 std::shared_ptr<memory_account> memory)
    : engine_(engine), server_(limits, *this, std::move(memory))
{
}

absl::Status caller_endpoint::listen(const config::endpoint& address)
{
    return server_.listen(address);
}

void caller_endpoint::send_reply(std::uint64_t exchange,
                                 const engine::answer& answer,
                                 std::string_view request_id)
{
    server_.respond(exchange, engine::to_http_response(answer, request_id));
}

void caller_endpoint::on_request(std::uint64_t exchange, http_request request)
{
    engine_.on_caller_request({this, exchange}, std::move(request),
                              boot_clock::now());
}

void caller_endpoint::on_client_disconnected(std::uint64_t exchange)
{
    engine_.on_origin_disconnected({this, exchange}, boot_clock::now());
}

} // namespace jujubespan::caller
