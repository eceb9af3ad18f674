#include "jujubespan/operators/operator_endpoint.hpp"

#include <QString>
#include <QUrlQuery>

namespace jujubespan::operators
{

namespace
{

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
// Reports have tens of kilobytes.
constexpr std::size_t max_memory_bytes = 2U << 20U;
constexpr std::size_t max_connections = 64;

config::resource_limits make_limits()
{
    config::resource_limits limits;
    limits.max_buffered_bytes = max_memory_bytes;
    limits.max_connections = max_connections;
    return limits;
}

std::string query_value(std::string_view target, const QString& key)
{
    const auto start = target.find('?');
    if (start == std::string_view::npos)
    {
        return {};
    }
    const auto query = target.substr(start + 1);
    return QUrlQuery(QString::fromUtf8(query.data(),
                                       static_cast<qsizetype>(query.size())))
        .queryItemValue(key)
        .toStdString();
}

http_response make_response(std::string_view content_type, std::string body)
{
    return {status_ok,
            {{"Content-Type", std::string(content_type)}},
            std::move(body)};
}

} // namespace

operator_endpoint::operator_endpoint(report_source& source,
                                     std::shared_ptr<memory_account> memory)
    : source_(source), server_(make_limits(), *this, std::move(memory))
{
}

absl::Status operator_endpoint::listen(const config::endpoint& address)
{
    return server_.listen(address);
}

void operator_endpoint::on_request(std::uint64_t exchange, http_request request)
{
    server_.respond(exchange, respond_to(request));
}

http_response operator_endpoint::respond_to(const http_request& request)
{
    const auto path = path_of(request.target);
    const bool reads = request.method == "GET" || request.method == "HEAD";
    if (reads && path == "/metrics")
    {
        return make_response("text/plain; version=0.0.4",
                             to_metrics(source_.report()));
    }
    if (reads && path == "/status")
    {
        return make_response("application/json", to_json(source_.report()));
    }
    if (reads && path == "/explain")
    {
        return make_response(
            "application/json",
            to_json(source_.decisions(query_value(request.target, "request"))));
    }
    if (reads && path == "/")
    {
        return make_response("text/html", make_status_page());
    }
    return {status_not_found, {}, ""};
}

} // namespace jujubespan::operators
