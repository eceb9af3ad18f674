#include "jujubespan/http/server.hpp"

#include <fmt/format.h>

#include <QHostAddress>
#include <QTcpSocket>

#include <vector>

namespace jujubespan::http
{

namespace
{

constexpr int listen_backlog = 1024;
constexpr auto sweep_interval = std::chrono::milliseconds(100);
constexpr unsigned bad_request = 400;
constexpr unsigned request_timeout = 408;
constexpr unsigned payload_too_large = 413;
constexpr unsigned headers_too_large = 431;
constexpr unsigned service_unavailable = 503;

http_response refusal(unsigned status, std::string_view bound)
{
    http_response response;
    response.status = status;
    const bool overloaded = status == service_unavailable;
    response.headers = {
        {"Content-Type", "application/json"},
        {"Jujubespan-Outcome", overloaded ? "not-run" : "rejected"},
        {"Jujubespan-Reason", std::string(bound)}};
    response.body = fmt::format("{{\"outcome\":\"{}\",\"reason\":\"{}\"}}\n",
                                overloaded ? "not-run" : "rejected", bound);
    return response;
}

} // namespace

// One connection of a caller.
class server_connection
{
public:
    server_connection(server& owner, QTcpSocket* socket)
        : owner_(owner), socket_(socket), parser_(limits()),
          active_(boot_clock::now())
    {
        socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        // Bytes of later requests stay with the kernel beyond this.
        socket_->setReadBufferSize(
            static_cast<qint64>(owner.limits_.max_header_bytes));
        QObject::connect(socket_, &QTcpSocket::readyRead, &guard_,
                         [this] { on_readable(); });
        QObject::connect(socket_, &QTcpSocket::disconnected, &guard_,
                         [this] { owner_.remove(this); });
    }

    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;

    ~server_connection()
    {
        release();
        socket_->disconnect();
        socket_->deleteLater();
        if (exchange_ != 0)
        {
            owner_.exchanges_.erase(exchange_);
            owner_.handler_.on_gone(exchange_);
        }
    }

    void on_readable()
    {
        if (exchange_ != 0 || closing_)
        {
            return; // Bytes of a later request wait in the socket's buffer.
        }
        active_ = boot_clock::now();
        const QByteArray bytes = socket_->readAll();
        reserve(static_cast<std::size_t>(bytes.size()));
        buffer_ += bytes;
        if (owner_.buffered_ > owner_.limits_.max_buffered_bytes)
        {
            reject(service_unavailable, "max-buffered-bytes");
            return;
        }
        parse(); // May end this connection.
    }

    void respond(const http_response& response)
    {
        const bool keep = keep_alive_ && !owner_.draining_;
        exchange_ = 0;
        active_ = boot_clock::now();
        release();
        reserve(static_cast<std::size_t>(buffer_.size()));
        socket_->write(serialize(response, keep, to_head_));
        socket_->flush(); // Not with the next turn of the event loop.
        if (!keep)
        {
            close_after_write();
            return;
        }
        parser_ = request_parser(limits());
        if (!buffer_.isEmpty() || socket_->bytesAvailable() > 0)
        {
            // Not from within the handler of the finished exchange.
            QMetaObject::invokeMethod(
                &guard_, [this] { on_readable(); }, Qt::QueuedConnection);
        }
    }

    // Ends a connection that waits too long; true when it must be removed.
    bool expire(time_point now)
    {
        if (exchange_ != 0)
        {
            return false;
        }
        const auto& limits = owner_.limits_;
        const duration silent = now - active_;
        if (closing_)
        {
            return silent > limits.receive_timeout;
        }
        if (parser_.started() && now - begun_ > limits.receive_timeout)
        {
            reject(request_timeout, "receive-timeout");
            return false;
        }
        return !parser_.started() && silent > limits.idle_timeout;
    }

    void drain()
    {
        if (exchange_ == 0 && !parser_.started())
        {
            close_after_write();
        }
    }

    void reject(unsigned status, std::string_view bound)
    {
        socket_->write(serialize(refusal(status, bound), false, false));
        close_after_write();
    }

private:
    [[nodiscard]] message_limits limits() const
    {
        return {owner_.limits_.max_header_bytes, owner_.limits_.max_body_bytes};
    }

    void parse()
    {
        if (buffer_.isEmpty())
        {
            return;
        }
        if (!parser_.started())
        {
            begun_ = active_;
        }
        switch (parser_.parse(buffer_))
        {
        case parse_state::incomplete:
            if (parser_.expects_continue() && !continued_)
            {
                continued_ = true;
                socket_->write("HTTP/1.1 100 Continue\r\n\r\n");
            }
            return;
        case parse_state::complete:
            dispatch();
            return;
        case parse_state::header_too_large:
            reject(headers_too_large, "max-header-bytes");
            return;
        case parse_state::body_too_large:
            reject(payload_too_large, "max-body-bytes");
            return;
        case parse_state::malformed:
            reject(bad_request, "malformed");
            return;
        }
    }

    void dispatch()
    {
        keep_alive_ = parser_.keep_alive();
        continued_ = false;
        http_request request = parser_.take();
        to_head_ = request.verb == "HEAD";
        exchange_ = owner_.next_exchange_++;
        owner_.exchanges_[exchange_] = this;
        owner_.handler_.on_request(exchange_, std::move(request));
    }

    void reserve(std::size_t bytes)
    {
        reserved_ += bytes;
        owner_.buffered_ += bytes;
    }

    void release()
    {
        owner_.buffered_ -= reserved_;
        reserved_ = 0;
    }

    void close_after_write()
    {
        release();
        closing_ = true;
        buffer_.clear();
        socket_->disconnectFromHost();
    }

    server& owner_;
    QTcpSocket* socket_;
    QObject guard_; // Ends callbacks with this object, not with the socket.
    request_parser parser_;
    QByteArray buffer_;
    std::size_t reserved_{0}; // bytes of the present request
    std::uint64_t exchange_{0};
    bool keep_alive_{true};
    bool to_head_{false};
    bool closing_{false};
    bool continued_{false};
    time_point active_;
    time_point begun_{};
};

server::server(const config::bounds& limits, request_handler& handler)
    : limits_(limits), handler_(handler)
{
    QObject::connect(&listener_, &QTcpServer::newConnection, &listener_,
                     [this] { accept(); });
    QObject::connect(&sweep_timer_, &QTimer::timeout, &listener_,
                     [this] { sweep(); });
}

server::~server()
{
    // A connection takes its exchange out of the other map when it ends.
    for (auto* connection : all())
    {
        remove(connection);
    }
}

absl::Status server::listen(const config::endpoint& address)
{
    listener_.setListenBacklogSize(listen_backlog);
    const QHostAddress host(QString::fromStdString(address.host));
    if (!listener_.listen(host, address.port))
    {
        return absl::UnavailableError(
            fmt::format("cannot listen on {}: {}", config::to_string(address),
                        listener_.errorString().toStdString()));
    }
    sweep_timer_.start(sweep_interval);
    return absl::OkStatus();
}

void server::accept()
{
    while (QTcpSocket* socket = listener_.nextPendingConnection())
    {
        auto connection = std::make_unique<server_connection>(*this, socket);
        auto* added = connection.get();
        const bool full = connections_.size() >= limits_.max_connections;
        connections_.emplace(added, std::move(connection));
        if (full)
        {
            added->reject(service_unavailable, "max-connections");
        }
        else
        {
            added->on_readable();
        }
    }
}

void server::respond(std::uint64_t exchange, const http_response& response)
{
    const auto found = exchanges_.find(exchange);
    if (found == exchanges_.end())
    {
        return;
    }
    auto* connection = found->second;
    exchanges_.erase(found);
    connection->respond(response);
}

void server::sweep()
{
    const auto now = boot_clock::now();
    for (auto* connection : all())
    {
        // The end of one connection may end others.
        if (connections_.contains(connection) && connection->expire(now))
        {
            remove(connection);
        }
    }
}

std::vector<server_connection*> server::all() const
{
    std::vector<server_connection*> result;
    result.reserve(connections_.size());
    for (const auto& [connection, owned] : connections_)
    {
        result.push_back(connection);
    }
    return result;
}

void server::remove(server_connection* connection)
{
    const auto found = connections_.find(connection);
    if (found != connections_.end())
    {
        // Out of the map first: its end may lead back here.
        const auto owned = std::move(found->second);
        connections_.erase(found);
    }
}

void server::begin_drain()
{
    draining_ = true;
    for (auto* connection : all())
    {
        if (connections_.contains(connection))
        {
            connection->drain();
        }
    }
}

} // namespace jujubespan::http
