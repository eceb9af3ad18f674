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
constexpr auto first_retry = std::chrono::milliseconds(250);
constexpr unsigned longest_retry_doubling = 4;
constexpr qint64 max_answer_bytes = 64LL << 20;

std::string_view path_of(topic which)
{
    return which == topic::contracts ? "/v1/contracts" : "/v1/instances";
}

} // namespace

platform_client::platform_client(const config::endpoint& address,
                                 std::uint64_t seed, platform_handler& handler)
    : address_(address), handler_(handler), random_(seed)
{
}

void platform_client::start_watching()
{
    if (watching_)
    {
        return;
    }
    watching_ = true;
    for (const auto which : all_topics)
    {
        request(which, false);
    }
}

void platform_client::read_topics()
{
    for (const auto which : all_topics)
    {
        request(which, false);
    }
}

void platform_client::request(topic which, bool wait)
{
    if (state(which).in_flight)
    {
        return;
    }
    state(which).in_flight = true;
    ++calls_;
    const auto wait_ms =
        wait ? std::chrono::milliseconds(watch_wait).count() : 0;
    const auto url = fmt::format("http://{}{}?after={}&wait_ms={}",
                                 config::to_string(address_), path_of(which),
                                 handler_.revision(which), wait_ms);
    QNetworkRequest message{QUrl(QString::fromStdString(url))};
    message.setTransferTimeout(
        static_cast<int>(std::chrono::milliseconds(transfer_timeout).count()));
    QNetworkReply* reply = network_.get(message);
    QObject::connect(reply, &QNetworkReply::finished, &guard_,
                     [this, which, reply]
                     {
                         reply->deleteLater();
                         finish(which, *reply);
                     });
    QObject::connect(reply, &QNetworkReply::downloadProgress, &guard_,
                     [reply](qint64 received, qint64 /*total*/)
                     {
                         if (received > max_answer_bytes)
                         {
                             reply->abort();
                         }
                     });
}

void platform_client::finish(topic which, QNetworkReply& reply)
{
    state(which).in_flight = false;
    if (reply.error() != QNetworkReply::NoError)
    {
        handler_.on_platform_failure(
            which, absl::UnavailableError(reply.errorString().toStdString()));
        retry_later(which);
        return;
    }
    const QByteArray body = reply.readAll();
    const auto delta =
        parse_delta({body.constData(), static_cast<std::size_t>(body.size())},
                    path_of(which));
    if (!delta.ok())
    {
        handler_.on_platform_failure(which, delta.status());
        retry_later(which);
        return;
    }
    const bool stale = delta->revision < handler_.revision(which);
    handler_.on_platform_delta(which, *delta);
    if (stale || handler_.revision(which) < delta->revision)
    {
        retry_later(which); // Stale or rejected: do not ask at once again.
        return;
    }
    state(which).failures = 0;
    if (watching_)
    {
        request(which, true);
    }
}

void platform_client::retry_later(topic which)
{
    auto& failures = state(which).failures;
    const auto base =
        first_retry * (1U << std::min(failures, longest_retry_doubling));
    ++failures;
    const double jitter = std::uniform_real_distribution<double>(1, 2)(random_);
    const auto delay =
        std::chrono::duration_cast<std::chrono::milliseconds>(base * jitter);
    QTimer::singleShot(delay, &guard_,
                       [this, which]
                       {
                           if (watching_)
                           {
                               request(which, true);
                           }
                       });
}

} // namespace jujubespan::platform
