#include "jujubespan/http/client.hpp"

#include <QHostAddress>
#include <QTcpSocket>
#include <QTimer>

#include <algorithm>
#include <optional>

namespace jujubespan::http
{

namespace
{

constexpr auto connect_timeout = std::chrono::seconds(1);
// Shorter than servers keep idle connections, so that one is rarely reused
// while its server closes it.
constexpr duration max_idle_time = std::chrono::seconds(1);

} // namespace

// One connection to the server.
class client_connection
{
public:
    explicit client_connection(client& owner)
        : owner_(owner), socket_(new QTcpSocket)
    {
        QObject::connect(socket_, &QTcpSocket::connected, &guard_,
                         [this] { on_connected(); });
        QObject::connect(socket_, &QTcpSocket::readyRead, &guard_,
                         [this] { on_readable(); });
        // Queued: an error may be raised while the request is being started.
        QObject::connect(
            socket_, &QTcpSocket::errorOccurred, &guard_, [this] { on_lost(); },
            Qt::QueuedConnection);
        QObject::connect(
            socket_, &QTcpSocket::disconnected, &guard_, [this] { on_lost(); },
            Qt::QueuedConnection);
    }

    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    ~client_connection()
    {
        socket_->disconnect();
        socket_->abort();
        socket_->deleteLater();
    }

    void start(std::uint64_t exchange, const http_request& request)
    {
        exchange_ = exchange;
        parser_.emplace(owner_.limits_, request.verb == "HEAD");
        bytes_ = serialize(request);
        if (socket_->state() == QAbstractSocket::ConnectedState)
        {
            send();
            return;
        }
        const auto& address = owner_.address_;
        socket_->connectToHost(
            QHostAddress(QString::fromStdString(address.host)), address.port);
        QTimer::singleShot(connect_timeout, &guard_,
                           [this]
                           {
                               if (!sent_ && exchange_ != 0)
                               {
                                   on_lost();
                               }
                           });
    }

    [[nodiscard]] bool connected() const
    {
        return socket_->state() == QAbstractSocket::ConnectedState &&
               socket_->bytesAvailable() == 0;
    }

    [[nodiscard]] std::uint64_t exchange() const { return exchange_; }

    void rest(time_point now)
    {
        exchange_ = 0;
        sent_ = false;
        parser_.reset();
        idle_since_ = now;
    }

    [[nodiscard]] time_point idle_since() const { return idle_since_; }

private:
    void on_connected()
    {
        socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        if (exchange_ != 0)
        {
            send();
        }
    }

    void send()
    {
        sent_ = true;
        socket_->write(bytes_);
        socket_->flush(); // Not with the next turn of the event loop.
        bytes_.clear();
    }

    void on_readable()
    {
        if (exchange_ == 0 || !sent_)
        {
            on_lost(); // Bytes that answer no request.
            return;
        }
        buffer_ += socket_->readAll();
        switch (parser_->parse(buffer_))
        {
        case parse_state::incomplete:
            return;
        case parse_state::complete:
        {
            const bool reusable = parser_->keep_alive() && buffer_.isEmpty();
            owner_.end(this, client_end::answered, parser_->take(), reusable);
            return;
        }
        default:
            owner_.end(this, client_end::failed, {}, false);
            return;
        }
    }

    void on_lost()
    {
        if (exchange_ == 0)
        {
            owner_.drop_idle(this);
            return;
        }
        const auto result =
            sent_ ? client_end::failed : client_end::unreachable;
        owner_.end(this, result, {}, false);
    }

    client& owner_;
    QTcpSocket* socket_;
    QObject guard_; // Ends callbacks with this object, not with the socket.
    std::optional<response_parser> parser_;
    QByteArray bytes_;
    QByteArray buffer_;
    std::uint64_t exchange_{0};
    bool sent_{false};
    time_point idle_since_{};
};

client::client(const config::endpoint& address, message_limits limits,
               std::size_t max_idle, response_handler& handler)
    : address_(address), limits_(limits), max_idle_(max_idle), handler_(handler)
{
}

client::~client() = default;

void client::start(std::uint64_t exchange, const http_request& request)
{
    auto connection = take_idle(boot_clock::now());
    if (!connection)
    {
        connection = std::make_unique<client_connection>(*this);
    }
    auto* started = connection.get();
    active_.emplace(exchange, std::move(connection));
    started->start(exchange, request);
}

std::unique_ptr<client_connection> client::take_idle(time_point now)
{
    while (!idle_.empty())
    {
        auto connection = std::move(idle_.back());
        idle_.pop_back();
        const bool fresh = now - connection->idle_since() <= max_idle_time;
        if (fresh && connection->connected())
        {
            return connection;
        }
    }
    return nullptr;
}

void client::cancel(std::uint64_t exchange)
{
    active_.erase(exchange);
}

void client::end(client_connection* connection, client_end result,
                 http_response response, bool reusable)
{
    const std::uint64_t exchange = connection->exchange();
    const auto found = active_.find(exchange);
    if (found == active_.end())
    {
        return;
    }
    auto owned = std::move(found->second);
    active_.erase(found);
    if (reusable && idle_.size() < max_idle_)
    {
        owned->rest(boot_clock::now());
        idle_.push_back(std::move(owned));
    }
    handler_.on_end(exchange, result, std::move(response));
}

void client::drop_idle(client_connection* connection)
{
    std::erase_if(idle_, [connection](const auto& item)
                  { return item.get() == connection; });
}

} // namespace jujubespan::http
