#include "jujubespan/platform/platform_client.hpp"

#include "jujubespan/platform/codec.hpp"

#include <fmt/format.h>

#include <QNetworkReply>
#include <QTimer>
#include <QUrl>

#include <algorithm>

namespace jujubespan::platform
{

namespace
{

constexpr auto watch_wait = std::chrono::seconds(10);
constexpr auto transfer_timeout = std::chrono::seconds(15);
constexpr auto first_retry_delay = std::chrono::milliseconds(250);
constexpr unsigned max_retry_doublings = 4;
constexpr qint64 max_response_bytes = 64LL << 20;

std::string_view path_of(topic topic_id)
{
    return topic_id == topic::contracts ? "/v1/contracts" : "/v1/instances";
}

} // namespace

platform_client::platform_client(const config::endpoint& address,
                                 std::uint64_t seed, platform_handler& handler)
    : address_(address), handler_(handler), random_engine_(seed)
{
}

void platform_client::start_watching()
{
    if (watching_)
    {
        return;
    }
    watching_ = true;
    for (const auto topic_id : all_topics)
    {
        send_request(topic_id, false);
    }
}

void platform_client::read_topics()
{
    for (const auto topic_id : all_topics)
    {
        send_request(topic_id, false);
    }
}

void platform_client::send_request(topic topic_id, bool wait_for_change)
{
    if (state(topic_id).in_flight)
    {
        return;
    }
    state(topic_id).in_flight = true;
    ++call_count_;
    const auto wait_ms =
        wait_for_change ? std::chrono::milliseconds(watch_wait).count() : 0;
    const auto url = fmt::format("http://{}{}?after={}&wait_ms={}",
                                 config::to_string(address_), path_of(topic_id),
                                 handler_.revision(topic_id), wait_ms);
    QNetworkRequest request{QUrl(QString::fromStdString(url))};
    request.setTransferTimeout(
        static_cast<int>(std::chrono::milliseconds(transfer_timeout).count()));
    QNetworkReply* reply = network_.get(request);
    QObject::connect(reply, &QNetworkReply::finished, &callback_context_,
                     [this, topic_id, reply]
                     {
                         reply->deleteLater();
                         handle_reply(topic_id, *reply);
                     });
    QObject::connect(reply, &QNetworkReply::downloadProgress,
                     &callback_context_,
                     [reply](qint64 received, qint64 /*total*/)
                     {
                         if (received > max_response_bytes)
                         {
                             reply->abort();
                         }
                     });
}

void platform_client::handle_reply(topic topic_id, QNetworkReply& reply)
{
    state(topic_id).in_flight = false;
    if (reply.error() != QNetworkReply::NoError)
    {
        handler_.on_platform_failure(
            topic_id,
            absl::UnavailableError(reply.errorString().toStdString()));
        schedule_retry(topic_id);
        return;
    }
    const QByteArray body = reply.readAll();
    const auto delta =
        parse_delta({body.constData(), static_cast<std::size_t>(body.size())},
                    path_of(topic_id));
    if (!delta.ok())
    {
        handler_.on_platform_failure(topic_id, delta.status());
        schedule_retry(topic_id);
        return;
    }
    const bool is_stale = delta->revision < handler_.revision(topic_id);
    handler_.on_platform_delta(topic_id, *delta);
    if (is_stale || handler_.revision(topic_id) < delta->revision)
    {
        // The delta is stale or the handler rejected it. An immediate retry
        // could return the same delta.
        schedule_retry(topic_id);
        return;
    }
    state(topic_id).consecutive_failures = 0;
    if (watching_)
    {
        send_request(topic_id, true);
    }
}

void platform_client::schedule_retry(topic topic_id)
{
    auto& consecutive_failures = state(topic_id).consecutive_failures;
    const auto base_delay =
        first_retry_delay *
        (1U << std::min(consecutive_failures, max_retry_doublings));
    ++consecutive_failures;
    const double jitter =
        std::uniform_real_distribution<double>(1, 2)(random_engine_);
    const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(
        base_delay * jitter);
    QTimer::singleShot(delay, &callback_context_,
                       [this, topic_id]
                       {
                           if (watching_)
                           {
                               send_request(topic_id, true);
                           }
                       });
}

} // namespace jujubespan::platform
