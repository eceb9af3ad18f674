#include "jujubespan/operators/operator_endpoint.hpp"

#include <fmt/format.h>

#include <QHostAddress>
#include <QHttpServerResponse>
#include <QUrlQuery>

namespace jujubespan::operators
{

namespace
{

QByteArray to_byte_array(const std::string& text)
{
    return QByteArray::fromStdString(text);
}

} // namespace

operator_endpoint::operator_endpoint(report_source& source) : source_(source)
{
    server_.route("/metrics", QHttpServerRequest::Method::Get,
                  [this]
                  {
                      return QHttpServerResponse(
                          "text/plain; version=0.0.4",
                          to_byte_array(to_metrics(source_.report())));
                  });
    server_.route("/status", QHttpServerRequest::Method::Get,
                  [this]
                  {
                      return QHttpServerResponse(
                          "application/json",
                          to_byte_array(to_json(source_.report())));
                  });
    server_.route(
        "/explain", QHttpServerRequest::Method::Get,
        [this](const QHttpServerRequest& request)
        {
            const auto request_id = request.query().queryItemValue("request");
            return QHttpServerResponse("application/json",
                                       to_byte_array(to_json(source_.decisions(
                                           request_id.toStdString()))));
        });
    server_.route("/", QHttpServerRequest::Method::Get,
                  []
                  {
                      return QHttpServerResponse(
                          "text/html", to_byte_array(make_status_page()));
                  });
}

absl::Status operator_endpoint::listen(const config::endpoint& address)
{
    const QHostAddress host(QString::fromStdString(address.host));
    if (server_.listen(host, address.port) == 0)
    {
        return absl::UnavailableError(
            fmt::format("cannot listen on {}", config::to_string(address)));
    }
    return absl::OkStatus();
}

} // namespace jujubespan::operators
