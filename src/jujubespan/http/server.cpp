#include "jujubespan/http/server.hpp"

#include "jujubespan/http/socket_buffers.hpp"
#include "jujubespan/metrics/log.hpp"

#include <fmt/format.h>

#include <QHostAddress>
#include <QPointer>
#include <QTcpSocket>

#include <algorithm>
#include <optional>
#include <sys/socket.h>
#include <utility>
#include <vector>

namespace jujubespan::http
{

namespace
{

constexpr int listen_backlog = 1024;
constexpr auto expiry_check_interval = std::chrono::milliseconds(100);
// Time for a client to stop sending a request that was rejected.
constexpr duration max_discard_time = std::chrono::seconds(2);
// Connections beyond the limit that are told so; others are closed.
constexpr std::size_t max_rejections = 64;
constexpr duration slow_client_log_interval = std::chrono::seconds(1);
// Share of the memory that large requests leave to others.
constexpr std::size_t reserve_divisor = 8;
constexpr unsigned bad_request = 400;
constexpr unsigned request_timeout = 408;
constexpr unsigned payload_too_large = 413;
constexpr unsigned headers_too_large = 431;
constexpr unsigned service_unavailable = 503;

http_response make_rejection(unsigned status, std::string_view reason)
{
    http_response response;
    response.status = status;
    const bool overloaded = status == service_unavailable;
    response.headers = {
        {"Content-Type", "application/json"},
        {"Jujubespan-Outcome", overloaded ? "not-run" : "rejected"},
        {"Jujubespan-Reason", std::string(reason)}};
    response.body = fmt::format("{{\"outcome\":\"{}\",\"reason\":\"{}\"}}\n",
                                overloaded ? "not-run" : "rejected", reason);
    return response;
}

} // namespace

class server_connection
{
public:
    server_connection(server& owner, QTcpSocket* socket)
        : owner_(owner), socket_(socket), parser_(limits()),
          charge_(owner.memory_), last_activity_(boot_clock::now())
    {
        socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        // Limits the data that Qt reads ahead of the current request; the rest
        // stays in the kernel buffer.
        socket_->setReadBufferSize(
            static_cast<qint64>(owner.limits_.max_header_bytes));
        QObject::connect(socket_, &QTcpSocket::readyRead, &context_object_,
                         [this] { on_readable(); });
        QObject::connect(socket_, &QTcpSocket::disconnected, &context_object_,
                         [this] { owner_.remove_connection(this); });
        // Queued, since bytes are also written while a response is passed on.
        QObject::connect(
            socket_, &QTcpSocket::bytesWritten, &context_object_,
            [this] { on_bytes_written(); }, Qt::QueuedConnection);
    }

    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;

    ~server_connection()
    {
        socket_->disconnect();
        // Releases the unsent bytes now; `deleteLater` does it only when
        // control has returned to the event loop.
        socket_->abort();
        socket_->deleteLater();
        if (exchange_ != 0)
        {
            owner_.exchanges_.erase(exchange_);
            owner_.handler_.on_client_disconnected(exchange_);
        }
    }

    void on_readable()
    {
        if (discarding_)
        {
            socket_->readAll();
            return;
        }
        // A pipelined request stays in the socket's buffer, also until the
        // client has read the previous response.
        if (exchange_ != 0 || closing_ || has_unsent_bytes())
        {
            update_charge();
            return;
        }
        last_activity_ = boot_clock::now();
        request_bytes_ += static_cast<std::size_t>(
            append_received(*socket_, receive_buffer_));
        parse_request(); // May destroy this connection.
    }

    void respond(const http_response& response)
    {
        const bool keep_open = keep_alive_ && !owner_.close_after_response_;
        exchange_ = 0;
        last_activity_ = boot_clock::now();
        request_bytes_ = static_cast<std::size_t>(receive_buffer_.size());
        response_started_at_ = last_activity_;
        if (!send(serialize(response, keep_open, head_request_)))
        {
            return;
        }
        update_charge();
        make_room(0);
        if (!keep_open)
        {
            close_after_write();
            return;
        }
        parser_ = request_parser(limits());
        if (has_received_bytes())
        {
            // Queued, so that the handler is not re-entered from its own call.
            QMetaObject::invokeMethod(
                &context_object_, [this] { on_readable(); },
                Qt::QueuedConnection);
        }
    }

    // When the client began to keep the server waiting for it to read a
    // response or to send the rest of a request. Empty if it does not.
    [[nodiscard]] std::optional<time_point> waiting_since() const
    {
        if (exchange_ != 0)
        {
            return std::nullopt;
        }
        if (has_unsent_bytes())
        {
            return response_started_at_;
        }
        if (!closing_ && parser_.has_started())
        {
            return request_started_at_;
        }
        return std::nullopt;
    }

    // When the client did something last, while no request is in progress.
    [[nodiscard]] std::optional<time_point> idle_since() const
    {
        return exchange_ == 0
                   ? std::optional(waiting_since().value_or(last_activity_))
                   : std::nullopt;
    }

    // Rejects a request that is not received in time. Returns true if the
    // connection has timed out and must be removed.
    bool check_timeouts(time_point now)
    {
        if (exchange_ != 0)
        {
            return false;
        }
        const auto& limits = owner_.limits_;
        // A slow client makes progress each time that it reads.
        const duration idle_time = now - last_activity_;
        if (discarding_ && now - discarding_since_ > max_discard_time)
        {
            return true;
        }
        if (closing_)
        {
            return idle_time > limits.receive_timeout;
        }
        if (parser_.has_started() &&
            now - request_started_at_ > limits.receive_timeout)
        {
            reject(request_timeout, "receive-timeout");
            return false;
        }
        return !parser_.has_started() && idle_time > limits.idle_timeout;
    }

    [[nodiscard]] std::size_t unsent_bytes() const
    {
        return static_cast<std::size_t>(socket_->bytesToWrite());
    }

    [[nodiscard]] bool has_unsent_bytes() const { return unsent_bytes() > 0; }

    void close_if_idle()
    {
        if (exchange_ == 0 && !parser_.has_started())
        {
            close_after_write();
        }
    }

    void reject(unsigned status, std::string_view reason)
    {
        if (!send(serialize(make_rejection(status, reason), false, false)))
        {
            return;
        }
        if (socket_->bytesToWrite() > 0)
        {
            close_after_write();
            return;
        }
        discard_input();
    }

private:
    [[nodiscard]] message_limits limits() const
    {
        return {owner_.limits_.max_header_bytes, owner_.limits_.max_body_bytes};
    }

    void parse_request()
    {
        if (receive_buffer_.isEmpty())
        {
            return;
        }
        if (!parser_.has_started())
        {
            request_started_at_ = last_activity_;
        }
        const auto earlier_field_memory = parser_.field_memory();
        const auto state = parser_.parse(receive_buffer_);
        request_bytes_ += parser_.field_memory() - earlier_field_memory;
        switch (state)
        {
        case parse_state::incomplete:
            update_charge();
            if (!make_room_for_request())
            {
                reject(service_unavailable, "max-buffered-bytes");
            }
            else if (parser_.expects_continue() && !continue_sent_)
            {
                continue_sent_ = true;
                socket_->write("HTTP/1.1 100 Continue\r\n\r\n");
            }
            return;
        case parse_state::complete:
            dispatch_request();
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

    void dispatch_request()
    {
        keep_alive_ = parser_.keep_alive();
        continue_sent_ = false;
        if (receive_buffer_.isEmpty())
        {
            receive_buffer_.clear(); // Releases the memory of a large body.
        }
        http_request request = parser_.take_message();
        head_request_ = request.method == "HEAD";
        request_bytes_ = memory_size(request) +
                         static_cast<std::size_t>(receive_buffer_.size());
        update_charge();
        if (!make_room_for_request())
        {
            reject(service_unavailable, "max-buffered-bytes");
            return;
        }
        exchange_ = owner_.next_exchange_++;
        owner_.exchanges_[exchange_] = this;
        owner_.handler_.on_request(exchange_, std::move(request));
    }

    void on_bytes_written()
    {
        last_activity_ = boot_clock::now();
        update_charge();
        if (!has_unsent_bytes() && has_received_bytes())
        {
            on_readable(); // May destroy this connection.
        }
    }

    [[nodiscard]] bool has_received_bytes() const
    {
        return !receive_buffer_.isEmpty() || socket_->bytesAvailable() > 0;
    }

    void update_charge()
    {
        charge_.set(request_bytes_ +
                    static_cast<std::size_t>(socket_->bytesAvailable()) +
                    static_cast<std::size_t>(socket_->bytesToWrite()));
    }

    // Unless it is the only one, a request leaves as much room as it takes, so
    // that large ones are refused first and small ones are still served.
    bool make_room_for_request()
    {
        const auto& memory = owner_.memory_;
        const auto reserve = memory.limit() / reserve_divisor;
        const bool is_alone = memory.used() == charge_.bytes();
        return make_room(is_alone ? 0 : std::min(charge_.bytes(), reserve));
    }

    // Closes other connections until the limits leave room for some bytes.
    bool make_room(std::size_t bytes)
    {
        while (!owner_.memory_.has_room(bytes))
        {
            if (!owner_.close_longest_waiting(this))
            {
                return false;
            }
        }
        return true;
    }

    // If the client has reset the connection, Qt reports the disconnection
    // meanwhile, which destroys this object. Returns false in that case.
    bool send(const QByteArray& bytes)
    {
        const QPointer<QObject> context(&context_object_);
        send_at_once(*socket_, bytes);
        return !context.isNull();
    }

    void release_request()
    {
        request_bytes_ = 0;
        receive_buffer_.clear();
        parser_ = request_parser(limits());
    }

    // Closing a connection with unread data resets it, and the client loses the
    // response. The rest of the request is therefore received and dropped until
    // the client closes.
    void discard_input()
    {
        release_request();
        closing_ = true;
        discarding_ = true;
        discarding_since_ = boot_clock::now();
        ::shutdown(static_cast<int>(socket_->socketDescriptor()), SHUT_WR);
        socket_->readAll();
        update_charge();
    }

    void close_after_write()
    {
        release_request();
        closing_ = true;
        update_charge();
        socket_->disconnectFromHost(); // May destroy this connection.
    }

    server& owner_;
    QTcpSocket* socket_;
    // Context of the callbacks: disconnects them when this object is destroyed,
    // since the socket outlives it.
    QObject context_object_;
    request_parser parser_;
    QByteArray receive_buffer_;
    memory_charge charge_;
    std::size_t request_bytes_{0}; // Received, and not yet answered.
    std::uint64_t exchange_{0};
    bool keep_alive_{true};
    bool head_request_{false};
    bool closing_{false};
    bool discarding_{false}; // The response is sent; input is dropped.
    time_point discarding_since_{};
    bool continue_sent_{false};
    time_point last_activity_;
    time_point request_started_at_{};
    time_point response_started_at_{};
};

server::server(const config::resource_limits& limits, request_handler& handler,
               std::shared_ptr<memory_account> memory)
    : limits_(limits), handler_(handler),
      memory_(limits.max_buffered_bytes, std::move(memory))
{
    QObject::connect(&listener_, &QTcpServer::newConnection, &listener_,
                     [this] { accept_connections(); });
    QObject::connect(&expiry_timer_, &QTimer::timeout, &listener_,
                     [this] { close_expired_connections(); });
}

server::~server()
{
    // First, so that a client whose connection is closed does not take the
    // address for that of a live process.
    listener_.close();
    // The destructor of a connection removes its exchange from `exchanges_`.
    for (auto* connection : all_connections())
    {
        remove_connection(connection);
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
    address_text_ = config::to_string(address);
    expiry_timer_.start(expiry_check_interval);
    return absl::OkStatus();
}

void server::accept_connections()
{
    while (QTcpSocket* socket = listener_.nextPendingConnection())
    {
        const bool at_limit = connections_.size() >= limits_.max_connections &&
                              !close_longest_idle();
        if (connections_.size() >= limits_.max_connections + max_rejections)
        {
            socket->abort();
            socket->deleteLater();
            continue;
        }
        auto connection = std::make_unique<server_connection>(*this, socket);
        auto* added = connection.get();
        connections_.emplace(added, std::move(connection));
        if (at_limit)
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

void server::close_expired_connections()
{
    const auto now = boot_clock::now();
    for (auto* connection : all_connections())
    {
        // The removal of one connection may cause that of others.
        if (connections_.contains(connection) &&
            connection->check_timeouts(now))
        {
            remove_connection(connection);
        }
    }
}

bool server::has_unsent_responses() const
{
    return std::any_of(connections_.begin(), connections_.end(),
                       [](const auto& entry)
                       { return entry.first->has_unsent_bytes(); });
}

std::vector<server_connection*> server::all_connections() const
{
    std::vector<server_connection*> result;
    result.reserve(connections_.size());
    for (const auto& [connection, owned] : connections_)
    {
        result.push_back(connection);
    }
    return result;
}

void server::remove_connection(server_connection* connection)
{
    const auto found = connections_.find(connection);
    if (found != connections_.end())
    {
        // Removed from the map first, since its destructor may call this
        // function again.
        const auto owned = std::move(found->second);
        connections_.erase(found);
    }
}

server_connection*
server::find_earliest(const server_connection* except,
                      std::optional<time_point> (server_connection::*since)()
                          const) const
{
    server_connection* result = nullptr;
    std::optional<time_point> earliest;
    for (const auto& [connection, owned] : connections_)
    {
        const auto time = (connection->*since)();
        if (connection != except && time && (!earliest || *time < *earliest))
        {
            result = connection;
            earliest = time;
        }
    }
    return result;
}

bool server::close_longest_waiting(const server_connection* except)
{
    auto* longest = find_earliest(except, &server_connection::waiting_since);
    if (longest == nullptr)
    {
        return false;
    }
    log_slow_client(*longest, boot_clock::now());
    if (longest->has_unsent_bytes())
    {
        remove_connection(longest);
    }
    else
    {
        longest->reject(service_unavailable, "max-buffered-bytes");
    }
    return true;
}

void server::log_slow_client(const server_connection& connection,
                             time_point now)
{
    ++closed_since_log_;
    if (now < next_slow_client_log_)
    {
        return;
    }
    next_slow_client_log_ = now + slow_client_log_interval;
    log(log_level::warn, "slow_client_closed",
        "address={} unsent_bytes={} waiting_ms={} closed={}", address_text_,
        connection.unsent_bytes(),
        milliseconds(now - connection.waiting_since().value_or(now)),
        std::exchange(closed_since_log_, 0));
}

bool server::close_longest_idle()
{
    auto* longest = find_earliest(nullptr, &server_connection::idle_since);
    if (longest == nullptr)
    {
        return false;
    }
    remove_connection(longest);
    return true;
}

void server::begin_drain()
{
    close_after_response_ = true;
    for (auto* connection : all_connections())
    {
        if (connections_.contains(connection))
        {
            connection->close_if_idle();
        }
    }
}

} // namespace jujubespan::http
