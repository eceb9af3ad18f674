#include "jujubespan/backend/outbound_face.hpp"

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

outbound_face::outbound_face(const config::resource_limits& limits,
                             engine::call_engine& calls)
    : calls_(calls), server_(limits, *this)
{
}

absl::Status outbound_face::listen(const config::endpoint& address)
{
    return server_.listen(address);
}

void outbound_face::reply(std::uint64_t exchange, const engine::answer& value,
                          std::string_view request_id)
{
    server_.respond(exchange, engine::to_http(value, request_id));
}

void outbound_face::on_request(std::uint64_t exchange, http_request request)
{
    normalize_target(request);
    calls_.on_outbound_request({this, exchange}, std::move(request),
                               boot_clock::now());
}

void outbound_face::on_gone(std::uint64_t exchange)
{
    calls_.on_origin_gone({this, exchange}, boot_clock::now());
}

} // namespace jujubespan::backend
