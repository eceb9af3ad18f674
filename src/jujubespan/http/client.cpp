#include "jujubespan/http/client.hpp"

#include "jujubespan/http/socket_buffers.hpp"
#include "jujubespan/http/socket_options.hpp"

#include <QHostAddress>
#include <QSocketNotifier>
#include <QTcpSocket>
#include <QTimer>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace jujubespan::http
{

namespace
{

// A connection is no longer used this long before its server would close it.
constexpr duration keep_alive_margin = std::chrono::milliseconds(1500);
constexpr std::size_t read_chunk_bytes = 16U << 10U;
// An exchange with so little memory is not ended because others exceed the
// limit of the process.
constexpr std::size_t small_bytes = 64U << 10U;
// Responses to earlier requests that may precede the expected one.
constexpr unsigned max_skipped_responses = 4;
constexpr unsigned first_error_status = 400;
// A request up to this size fits into the receive window of a server that does
// not read it yet.
constexpr qsizetype max_unread_bytes = 8 << 10;

// How long the server keeps an idle connection open, from
// `Keep-Alive: timeout=N`.
std::optional<duration> announced_keep_alive(const http_response& response)
{
    constexpr std::string_view timeout_key = "timeout=";
    const auto value = find_header(response.headers, "Keep-Alive");
    const auto position = value.find(timeout_key);
    if (position == std::string_view::npos)
    {
        return std::nullopt;
    }
    const auto number = value.substr(position + timeout_key.size());
    unsigned seconds = 0;
    const auto [end, error] =
        std::from_chars(number.data(), number.data() + number.size(), seconds);
    if (error != std::errc{})
    {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

} // namespace

class client_connection
{
public:
    explicit client_connection(client& owner)
        : owner_(owner), socket_(new QTcpSocket), charge_(owner.memory_)
    {
        QObject::connect(socket_, &QTcpSocket::connected, &context_object_,
                         [this] { on_connected(); });
        QObject::connect(socket_, &QTcpSocket::readyRead, &context_object_,
                         [this] { on_readable(); });
        QObject::connect(socket_, &QTcpSocket::bytesWritten, &context_object_,
                         [this] { update_charge(); });
        // Queued, since an error may be reported from within `start`.
        QObject::connect(
            socket_, &QTcpSocket::errorOccurred, &context_object_,
            [this] { on_disconnected(); }, Qt::QueuedConnection);
        QObject::connect(
            socket_, &QTcpSocket::disconnected, &context_object_,
            [this] { on_disconnected(); }, Qt::QueuedConnection);
    }

    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    ~client_connection()
    {
        socket_->disconnect();
        socket_->abort();
        socket_->deleteLater();
        if (body_descriptor_ >= 0)
        {
            if (notifier_)
            {
                notifier_->setEnabled(false);
                notifier_.release()->deleteLater();
            }
            ::close(body_descriptor_);
        }
    }

    void start(std::uint64_t exchange, const http_request& request)
    {
        exchange_ = exchange;
        head_request_ = request.method == "HEAD";
        const auto& echo_header = owner_.options_.echo_header;
        expected_echo_ = echo_header.empty()
                             ? std::string_view()
                             : find_header(request.headers, echo_header);
        reset_parser();
        send_buffer_ = serialize(request);
        update_charge();
        if (socket_->state() == QAbstractSocket::ConnectedState)
        {
            send_request();
            return;
        }
        open();
    }

    /// @brief Opens a connection that carries no exchange yet.
    void probe()
    {
        probing_ = true;
        open();
    }

    [[nodiscard]] bool is_usable() const
    {
        return socket_->state() == QAbstractSocket::ConnectedState &&
               socket_->bytesAvailable() == 0;
    }

    [[nodiscard]] std::uint64_t exchange() const { return exchange_; }
    [[nodiscard]] std::size_t buffered_bytes() const { return charge_.bytes(); }

    // Before the response is handed over, which is then counted elsewhere.
    void release_memory()
    {
        response_bytes_ = 0;
        charge_.set(0);
    }

    void mark_idle(duration lifetime, time_point now)
    {
        exchange_ = 0;
        request_sent_ = false;
        receive_buffer_.clear(); // Releases the memory of a large body.
        parser_.reset();
        release_memory();
        usable_until_ = now + lifetime;
        idle_since_ = now;
    }

    [[nodiscard]] time_point usable_until() const { return usable_until_; }
    [[nodiscard]] time_point idle_since() const { return idle_since_; }

private:
    void open()
    {
        const auto& address = owner_.address_;
        ++owner_.connect_attempts_;
        socket_->connectToHost(
            QHostAddress(QString::fromStdString(address.host)), address.port);
        const auto timeout =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                owner_.options_.connect_timeout);
        QTimer::singleShot(timeout, &context_object_,
                           [this]
                           {
                               if (probing_ ||
                                   (!request_sent_ && exchange_ != 0))
                               {
                                   on_disconnected();
                               }
                           });
    }

    void reset_parser()
    {
        parser_.emplace(owner_.options_.limits, head_request_,
                        owner_.options_.close_delimited);
    }

    void on_connected()
    {
        disable_nagle(*socket_);
        if (owner_.options_.dead_peer_timeout > duration::zero())
        {
            enable_dead_peer_detection(*socket_,
                                       owner_.options_.dead_peer_timeout);
        }
        if (probing_)
        {
            probing_ = false;
            owner_.finish_probe(probe_result::accepted);
            return;
        }
        if (exchange_ != 0)
        {
            send_request();
        }
    }

    // A server may read a large request slowly. The kernel counts the time that
    // data waits for the receive window like that of a dead peer.
    void adjust_dead_peer_detection()
    {
        const auto timeout = owner_.options_.dead_peer_timeout;
        const bool may_wait = send_buffer_.size() > max_unread_bytes;
        if (timeout <= duration::zero() || may_wait == may_wait_for_window_)
        {
            return;
        }
        may_wait_for_window_ = may_wait;
        limit_unacknowledged_time(*socket_,
                                  may_wait ? duration::zero() : timeout);
    }

    void send_request()
    {
        request_sent_ = true;
        adjust_dead_peer_detection();
        send_at_once(*socket_, std::exchange(send_buffer_, {}));
        update_charge();
    }

    void on_readable()
    {
        if (exchange_ == 0 || !request_sent_)
        {
            on_disconnected(); // Data without an outstanding request.
            return;
        }
        on_bytes_received(append_received(*socket_, receive_buffer_));
    }

    void on_bytes_received(qsizetype count)
    {
        response_bytes_ += static_cast<std::size_t>(count);
        update_charge();
        if (owner_.limit_buffered_bytes(*this))
        {
            parse_responses();
        }
    }

    void update_charge()
    {
        charge_.set(response_bytes_ + (parser_ ? parser_->field_memory() : 0) +
                    static_cast<std::size_t>(send_buffer_.size()) +
                    static_cast<std::size_t>(socket_->bytesToWrite()));
    }

    void parse_responses()
    {
        while (true)
        {
            switch (parser_->parse(receive_buffer_))
            {
            case parse_state::incomplete:
                update_charge();
                if (!owner_.limit_buffered_bytes(*this))
                {
                    return;
                }
                if (parser_->is_close_delimited() && body_descriptor_ < 0)
                {
                    read_until_close();
                }
                return;
            case parse_state::complete:
                break;
            default:
                owner_.finish_exchange(this, exchange_result::failed, {},
                                       false);
                return;
            }
            const bool keep_alive = parser_->keep_alive();
            auto response = parser_->take_message();
            if (answers_earlier_request(response) && keep_alive &&
                skipped_responses_ < max_skipped_responses)
            {
                ++skipped_responses_;
                reset_parser();
                continue;
            }
            finish_response(std::move(response), keep_alive);
            return;
        }
    }

    [[nodiscard]] bool
    answers_earlier_request(const http_response& response) const
    {
        if (expected_echo_.empty())
        {
            return false;
        }
        const auto value =
            find_header(response.headers, owner_.options_.echo_header);
        // A server that echoes ids does so in each response to a request.
        return value.empty() ? server_echoes_ : value != expected_echo_;
    }

    void finish_response(http_response response, bool keep_alive)
    {
        if (answers_earlier_request(response))
        {
            owner_.finish_exchange(this, exchange_result::failed, {}, false);
            return;
        }
        const bool echoed =
            !expected_echo_.empty() &&
            !find_header(response.headers, owner_.options_.echo_header).empty();
        server_echoes_ = server_echoes_ || echoed;
        // A second copy of a refusal without an id could not be distinguished
        // from the refusal of the next request.
        const bool identifiable = expected_echo_.empty() || echoed ||
                                  response.status < first_error_status;
        // If the server responded before the whole request was written, it may
        // still read the rest of that request, so the connection cannot be
        // reused.
        const bool reusable =
            keep_alive && identifiable && skipped_responses_ == 0 &&
            receive_buffer_.isEmpty() && socket_->bytesToWrite() == 0;
        owner_.finish_exchange(this, exchange_result::answered,
                               std::move(response), reusable);
    }

    // Reads the rest of a close-delimited body directly from the descriptor:
    // QTcpSocket does not distinguish a reset from an orderly close, and only
    // the latter completes the body.
    void read_until_close()
    {
        body_descriptor_ = ::dup(static_cast<int>(socket_->socketDescriptor()));
        if (body_descriptor_ < 0)
        {
            owner_.finish_exchange(this, exchange_result::failed, {}, false);
            return;
        }
        socket_->disconnect(&context_object_);
        socket_->abort();
        notifier_ = std::make_unique<QSocketNotifier>(body_descriptor_,
                                                      QSocketNotifier::Read);
        QObject::connect(notifier_.get(), &QSocketNotifier::activated,
                         &context_object_, [this] { read_body(); });
    }

    void read_body()
    {
        std::array<char, read_chunk_bytes> chunk{};
        const auto received =
            ::recv(body_descriptor_, chunk.data(), chunk.size(), MSG_DONTWAIT);
        if (received > 0)
        {
            receive_buffer_.append(chunk.data(),
                                   static_cast<qsizetype>(received));
            on_bytes_received(static_cast<qsizetype>(received));
            return;
        }
        if (received < 0 && (errno == EAGAIN || errno == EINTR))
        {
            return;
        }
        notifier_->setEnabled(false);
        if (received < 0 || parser_->on_close() != parse_state::complete)
        {
            owner_.finish_exchange(this, exchange_result::failed, {}, false);
            return;
        }
        finish_response(parser_->take_message(), false);
    }

    void on_disconnected()
    {
        if (probing_)
        {
            probing_ = false;
            owner_.finish_probe(socket_->error() ==
                                        QAbstractSocket::ConnectionRefusedError
                                    ? probe_result::refused
                                    : probe_result::unknown);
            return;
        }
        if (exchange_ == 0)
        {
            owner_.remove_idle_connection(this);
            return;
        }
        const auto result = request_sent_ ? exchange_result::failed
                                          : exchange_result::unreachable;
        owner_.finish_exchange(this, result, {}, false);
    }

    client& owner_;
    QTcpSocket* socket_;
    // Context of the callbacks: disconnects them when this object is destroyed,
    // since the socket outlives it.
    QObject context_object_;
    std::optional<response_parser> parser_;
    QByteArray send_buffer_;
    QByteArray receive_buffer_;
    std::string expected_echo_; // value that the response must echo
    bool server_echoes_{false}; // in an earlier response on this connection
    std::uint64_t exchange_{0};
    bool head_request_{false};
    bool request_sent_{false};
    bool may_wait_for_window_{false}; // the request
    bool probing_{false};
    unsigned skipped_responses_{0}; // to earlier requests
    memory_charge charge_;
    std::size_t response_bytes_{0}; // Received for this exchange.
    time_point usable_until_{};
    time_point idle_since_{};
    int body_descriptor_{-1}; // set while reading a close-delimited body
    std::unique_ptr<QSocketNotifier> notifier_;
};

client::client(const config::endpoint& address, const client_options& options,
               response_handler& handler)
    : address_(address), options_(options), handler_(handler),
      memory_(options.max_buffered_bytes, options.memory)
{
}

client::client(const config::endpoint& address, message_limits limits,
               std::size_t max_idle_connections, response_handler& handler)
    : client(address,
             {.limits = limits, .max_idle_connections = max_idle_connections},
             handler)
{
}

client::~client() = default;

void client::start(std::uint64_t exchange, const http_request& request)
{
    const auto now = boot_clock::now();
    auto connection = take_idle_connection(request.idempotent, now);
    if (!connection)
    {
        connection = std::make_unique<client_connection>(*this);
        // At the limit, closes an idle connection to make room. The caller
        // limits the number of active ones.
        const auto open = active_connections_.size() + idle_connections_.size();
        if (options_.max_connections > 0 && open >= options_.max_connections &&
            !idle_connections_.empty())
        {
            idle_connections_.erase(idle_connections_.begin());
        }
    }
    auto* started = connection.get();
    active_connections_.emplace(exchange, std::move(connection));
    started->start(exchange, request);
}

std::unique_ptr<client_connection> client::take_idle_connection(bool idempotent,
                                                                time_point now)
{
    while (!idle_connections_.empty())
    {
        // The last element was in use most recently.
        if (!idempotent && now - idle_connections_.back()->idle_since() >
                               options_.non_idempotent_idle_timeout)
        {
            return nullptr;
        }
        auto connection = std::move(idle_connections_.back());
        idle_connections_.pop_back();
        if (now < connection->usable_until() && connection->is_usable())
        {
            return connection;
        }
    }
    return nullptr;
}

bool client::limit_buffered_bytes(const client_connection& connection)
{
    const std::uint64_t exchange = connection.exchange();
    while (!memory_.make_room(0))
    {
        client_connection* largest = nullptr;
        for (const auto& [id, item] : active_connections_)
        {
            if (largest == nullptr ||
                item->buffered_bytes() > largest->buffered_bytes())
            {
                largest = item.get();
            }
        }
        const bool own_limit_kept = memory_.used() <= memory_.limit();
        if (largest == nullptr ||
            (own_limit_kept && largest->buffered_bytes() <= small_bytes))
        {
            break;
        }
        finish_exchange(largest, exchange_result::failed, {}, false);
    }
    const auto found = active_connections_.find(exchange);
    return found != active_connections_.end() &&
           found->second.get() == &connection;
}

void client::cancel(std::uint64_t exchange)
{
    active_connections_.erase(exchange);
}

void client::probe()
{
    if (probe_)
    {
        return;
    }
    probe_ = std::make_unique<client_connection>(*this);
    probe_->probe();
}

void client::finish_probe(probe_result result)
{
    auto connection = std::move(probe_);
    if (result == probe_result::accepted &&
        idle_connections_.size() < options_.max_idle_connections)
    {
        connection->mark_idle(options_.idle_timeout, boot_clock::now());
        idle_connections_.push_back(std::move(connection));
    }
    handler_.on_probe_end(result);
}

void client::finish_exchange(client_connection* connection,
                             exchange_result result, http_response response,
                             bool reusable)
{
    const std::uint64_t exchange = connection->exchange();
    const auto found = active_connections_.find(exchange);
    if (found == active_connections_.end())
    {
        return;
    }
    auto owned = std::move(found->second);
    active_connections_.erase(found);
    owned->release_memory();
    const auto now = boot_clock::now();
    remove_expired_connections(now);
    if (reusable && idle_connections_.size() < options_.max_idle_connections)
    {
        duration lifetime = options_.idle_timeout;
        if (const auto announced = announced_keep_alive(response))
        {
            lifetime = std::min(lifetime, *announced - keep_alive_margin);
        }
        owned->mark_idle(lifetime, now);
        idle_connections_.push_back(std::move(owned));
    }
    handler_.on_exchange_end(exchange, result, std::move(response));
}

void client::remove_idle_connection(client_connection* connection)
{
    std::erase_if(idle_connections_, [connection](const auto& item)
                  { return item.get() == connection; });
}

void client::remove_expired_connections(time_point now)
{
    while (!idle_connections_.empty() &&
           now >= idle_connections_.front()->usable_until())
    {
        idle_connections_.erase(idle_connections_.begin());
    }
}

} // namespace jujubespan::http
