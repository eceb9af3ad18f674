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

constexpr auto long_poll_check_interval = std::chrono::milliseconds(20);

jj::config::resource_limits server_bounds()
{
    jj::config::resource_limits limits;
    limits.max_connections = 5000;
    return limits;
}

QUrlQuery parse_query(const jj::http_request& request)
{
    const auto query_start = request.target.find('?');
    return QUrlQuery(
        query_start == std::string::npos
            ? QString()
            : QString::fromStdString(request.target.substr(query_start + 1)));
}

std::optional<jj::topic> parse_topic(std::string_view name)
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

platform_server::platform_server() : server_(server_bounds(), *this)
{
    QObject::connect(&long_poll_timer_, &QTimer::timeout, &context_object_,
                     [this] { answer_due_polls(jj::boot_clock::now()); });
    long_poll_timer_.start(long_poll_check_interval);
}

absl::Status platform_server::listen(const jj::config::endpoint& address)
{
    return server_.listen(address);
}

void platform_server::put_entry(jj::topic topic_id, const std::string& key,
                                const std::string& entry_value)
{
    apply_change(topic_id, {key, 0, entry_value, false});
}

void platform_server::remove_entry(jj::topic topic_id, const std::string& key)
{
    apply_change(topic_id, {key, 0, {}, true});
}

void platform_server::apply_change(jj::topic topic_id,
                                   jj::versioned_entry entry)
{
    auto& topic_map = current_map(topic_id);
    jj::versioned_delta delta;
    delta.after = topic_map.revision();
    delta.revision = topic_map.revision() + 1;
    entry.revision = delta.revision;
    delta.entries.push_back(std::move(entry));
    topic_map.apply(delta);
    answer_due_polls(jj::boot_clock::now());
}

const jj::versioned_map& platform_server::published_map(jj::topic topic_id)
{
    return frozen_maps_ ? (*frozen_maps_)[static_cast<std::size_t>(topic_id)]
                        : current_map(topic_id);
}

void platform_server::on_request(std::uint64_t exchange,
                                 jj::http_request request)
{
    const auto path = jj::path_of(request.target);
    if (path.starts_with("/admin/"))
    {
        on_admin_request(exchange, request);
        return;
    }
    constexpr std::string_view prefix = "/v1/";
    const auto topic_id = path.starts_with(prefix)
                              ? parse_topic(path.substr(prefix.size()))
                              : std::nullopt;
    if (!topic_id || request.method != "GET")
    {
        send_response(exchange, 404, "{}");
        return;
    }
    on_topic_request(exchange, *topic_id, request);
}

void platform_server::on_topic_request(std::uint64_t exchange,
                                       jj::topic topic_id,
                                       const jj::http_request& request)
{
    ++read_count_;
    if (unavailable_)
    {
        send_response(exchange, 503, "{}");
        return;
    }
    const auto query = parse_query(request);
    const auto after_revision = query.queryItemValue("after").toULongLong();
    const auto wait_ms = query.queryItemValue("wait_ms").toLongLong();
    if (wait_ms > 0 && published_map(topic_id).revision() == after_revision)
    {
        long_polls_.push_back(
            {exchange, topic_id, after_revision,
             jj::boot_clock::now() + std::chrono::milliseconds(wait_ms)});
        return;
    }
    send_delta(exchange, topic_id, after_revision);
}

void platform_server::send_delta(std::uint64_t exchange, jj::topic topic_id,
                                 std::uint64_t after_revision)
{
    send_response(exchange, 200,
                  jj::platform::format_delta(
                      published_map(topic_id).delta_after(after_revision)));
}

void platform_server::send_response(std::uint64_t exchange, unsigned status,
                                    std::string body)
{
    jj::http_response response;
    response.status = status;
    response.headers = {{"Content-Type", "application/json"}};
    response.body = std::move(body);
    if (response_delay_ms_ == 0)
    {
        server_.respond(exchange, response);
        return;
    }
    QTimer::singleShot(response_delay_ms_, &context_object_,
                       [this, exchange, response]
                       { server_.respond(exchange, response); });
}

void platform_server::on_admin_request(std::uint64_t exchange,
                                       const jj::http_request& request)
{
    const std::string path(jj::path_of(request.target));
    // Admin requests are answered without the delay.
    const int saved_delay_ms = std::exchange(response_delay_ms_, 0);
    if (path == "/admin/reads")
    {
        send_response(exchange, 200, fmt::format("{}\n", read_count_));
    }
    else if (path == "/admin/state")
    {
        const auto query = parse_query(request);
        unavailable_ = query.queryItemValue("down").toInt() != 0;
        const bool freeze_requested =
            query.queryItemValue("frozen").toInt() != 0;
        frozen_maps_ = freeze_requested ? std::optional(maps_) : std::nullopt;
        send_response(exchange, 200, "{}\n");
        response_delay_ms_ = query.queryItemValue("delay_ms").toInt();
        if (unavailable_)
        {
            for (const auto& poll : std::exchange(long_polls_, {}))
            {
                send_response(poll.exchange, 503, "{}");
            }
        }
        return;
    }
    else
    {
        const auto slash = path.rfind('/');
        // The topic name starts after "/admin/", at position 7.
        const auto topic_id = parse_topic(
            path.substr(7, slash == std::string::npos ? 0 : slash - 7));
        if (!topic_id)
        {
            send_response(exchange, 404, "{}\n");
        }
        else if (request.method == "DELETE")
        {
            remove_entry(*topic_id, path.substr(slash + 1));
            send_response(
                exchange, 200,
                fmt::format("{}\n", current_map(*topic_id).revision()));
        }
        else
        {
            put_entry(*topic_id, path.substr(slash + 1), request.body);
            send_response(
                exchange, 200,
                fmt::format("{}\n", current_map(*topic_id).revision()));
        }
    }
    response_delay_ms_ = saved_delay_ms;
}

void platform_server::on_client_disconnected(std::uint64_t exchange)
{
    std::erase_if(long_polls_, [exchange](const auto& poll)
                  { return poll.exchange == exchange; });
}

void platform_server::answer_due_polls(jj::time_point now)
{
    std::vector<long_poll> due_polls;
    std::erase_if(long_polls_,
                  [&](const auto& poll)
                  {
                      const bool is_due =
                          poll.deadline <= now ||
                          published_map(poll.topic_id).revision() !=
                              poll.after_revision;
                      if (is_due)
                      {
                          due_polls.push_back(poll);
                      }
                      return is_due;
                  });
    for (const auto& poll : due_polls)
    {
        send_delta(poll.exchange, poll.topic_id, poll.after_revision);
    }
}

} // namespace standin
