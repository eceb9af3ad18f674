#include "jujubespan/backend/outbound_endpoint.hpp"

#include "jujubespan/engine/http_mapping.hpp"

namespace jujubespan::backend
{

namespace
{

constexpr std::string_view scheme = "http://";

} // namespace

void normalize_target(http_request& request)
{
    if (!request.target.starts_with(scheme))
    {
        return;
    }
    const std::string rest = request.target.substr(scheme.size());
    const auto slash = rest.find('/');
    std::erase_if(request.headers, [](const auto& header)
                  { return same_header_name(header.name, "Host"); });
    request.headers.push_back({"Host", rest.substr(0, slash)});
    request.target =
        slash == std::string::npos ? std::string("/") : rest.substr(slash);
}

outbound_endpoint::outbound_endpoint(const config::resource_limits& limits,
                                     engine::call_engine& engine,
                                     std::shared_ptr<memory_account> memory)
    : engine_(engine), server_(limits, *this, std::move(memory))
{
}

absl::Status outbound_endpoint::listen(const config::endpoint& address)
{
    return server_.listen(address);
}

void outbound_endpoint::send_reply(std::uint64_t exchange,
                                   const engine::answer& answer,
                                   std::string_view request_id)
{
    server_.respond(exchange, engine::to_http_response(answer, request_id));
}

void outbound_endpoint::on_request(std::uint64_t exchange, http_request request)
{
    normalize_target(request);
    engine_.on_outbound_request({this, exchange}, std::move(request),
                                boot_clock::now());
}

void outbound_endpoint::on_client_disconnected(std::uint64_t exchange)
{
    engine_.on_origin_disconnected({this, exchange}, boot_clock::now());
}

} // namespace jujubespan::backend
