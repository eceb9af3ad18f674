#include "standin/platform_server.hpp"

#include "jujubespan/platform/codec.hpp"

#include <fmt/format.h>

#include <QTimer>
#include <QUrlQuery>

namespace standin
{

namespace jj = jujubespan;

namespace
{

constexpr auto wake_interval = std::chrono::milliseconds(20);

jj::config::bounds bounds()
{
    jj::config::bounds value;
    value.max_connections = 5000;
    return value;
}

QUrlQuery query_of(const jj::http_request& request)
{
    const auto mark = request.target.find('?');
    return QUrlQuery(
        mark == std::string::npos
            ? QString()
            : QString::fromStdString(request.target.substr(mark + 1)));
}

std::optional<jj::topic> topic_of(std::string_view name)
{
    if (name == "contracts")
    {
        return jj::topic::contracts;
    }
    if (name == "instances")
    {
        return jj::topic::instances;
    }
    return std::nullopt;
}

} // namespace

platform_server::platform_server() : server_(bounds(), *this)
{
    QObject::connect(&timer_, &QTimer::timeout, &guard_,
                     [this] { wake(jj::boot_clock::now()); });
    timer_.start(wake_interval);
}

absl::Status platform_server::listen(const jj::config::endpoint& address)
{
    return server_.listen(address);
}

void platform_server::put(jj::topic which, const std::string& key,
                          const std::string& value)
{
    change(which, {key, 0, value, false});
}

void platform_server::remove(jj::topic which, const std::string& key)
{
    change(which, {key, 0, {}, true});
}

void platform_server::change(jj::topic which, jj::versioned_entry entry)
{
    auto& target = map(which);
    jj::versioned_delta delta;
    delta.after = target.revision();
    delta.revision = target.revision() + 1;
    entry.revision = delta.revision;
    delta.entries.push_back(std::move(entry));
    target.apply(delta);
    wake(jj::boot_clock::now());
}

const jj::versioned_map& platform_server::published(jj::topic which)
{
    return frozen_ ? (*frozen_)[static_cast<std::size_t>(which)] : map(which);
}

void platform_server::on_request(std::uint64_t exchange,
                                 jj::http_request request)
{
    const auto path = jj::path_of(request.target);
    if (path.starts_with("/admin/"))
    {
        on_admin(exchange, request);
        return;
    }
    constexpr std::string_view prefix = "/v1/";
    const auto which = path.starts_with(prefix)
                           ? topic_of(path.substr(prefix.size()))
                           : std::nullopt;
    if (!which || request.method != "GET")
    {
        send(exchange, 404, "{}");
        return;
    }
    on_read(exchange, *which, request);
}

void platform_server::on_read(std::uint64_t exchange, jj::topic which,
                              const jj::http_request& request)
{
    ++reads_;
    if (down_)
    {
        send(exchange, 503, "{}");
        return;
    }
    const auto query = query_of(request);
    const auto after = query.queryItemValue("after").toULongLong();
    const auto wait = query.queryItemValue("wait_ms").toLongLong();
    if (wait > 0 && published(which).revision() == after)
    {
        waiting_.push_back(
            {exchange, which, after,
             jj::boot_clock::now() + std::chrono::milliseconds(wait)});
        return;
    }
    answer(exchange, which, after);
}

void platform_server::answer(std::uint64_t exchange, jj::topic which,
                             std::uint64_t after)
{
    send(exchange, 200,
         jj::platform::format_delta(published(which).delta_after(after)));
}

void platform_server::send(std::uint64_t exchange, unsigned status,
                           std::string body)
{
    jj::http_response response;
    response.status = status;
    response.headers = {{"Content-Type", "application/json"}};
    response.body = std::move(body);
    if (delay_ms_ == 0)
    {
        server_.respond(exchange, response);
        return;
    }
    QTimer::singleShot(delay_ms_, &guard_,
                       [this, exchange, response]
                       { server_.respond(exchange, response); });
}

void platform_server::on_admin(std::uint64_t exchange,
                               const jj::http_request& request)
{
    const std::string path(jj::path_of(request.target));
    const int delay = std::exchange(delay_ms_, 0);
    if (path == "/admin/reads")
    {
        send(exchange, 200, fmt::format("{}\n", reads_));
    }
    else if (path == "/admin/state")
    {
        const auto query = query_of(request);
        down_ = query.queryItemValue("down").toInt() != 0;
        const bool freeze = query.queryItemValue("frozen").toInt() != 0;
        frozen_ = freeze ? std::optional(maps_) : std::nullopt;
        send(exchange, 200, "{}\n");
        delay_ms_ = query.queryItemValue("delay_ms").toInt();
        if (down_)
        {
            for (const auto& item : std::exchange(waiting_, {}))
            {
                send(item.exchange, 503, "{}");
            }
        }
        return;
    }
    else
    {
        const auto slash = path.rfind('/');
        const auto which = topic_of(
            path.substr(7, slash == std::string::npos ? 0 : slash - 7));
        if (!which)
        {
            send(exchange, 404, "{}\n");
        }
        else if (request.method == "DELETE")
        {
            remove(*which, path.substr(slash + 1));
            send(exchange, 200, fmt::format("{}\n", map(*which).revision()));
        }
        else
        {
            put(*which, path.substr(slash + 1), request.body);
            send(exchange, 200, fmt::format("{}\n", map(*which).revision()));
        }
    }
    delay_ms_ = delay;
}

void platform_server::on_client_disconnected(std::uint64_t exchange)
{
    std::erase_if(waiting_, [exchange](const auto& item)
                  { return item.exchange == exchange; });
}

void platform_server::wake(jj::time_point now)
{
    std::vector<waiting> ready;
    std::erase_if(waiting_,
                  [&](const auto& item)
                  {
                      const bool due =
                          item.until <= now ||
                          published(item.which).revision() != item.after;
                      if (due)
                      {
                          ready.push_back(item);
                      }
                      return due;
                  });
    for (const auto& item : ready)
    {
        answer(item.exchange, item.which, item.after);
    }
}

} // namespace standin
