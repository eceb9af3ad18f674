#include "jujubespan/http/client.hpp"

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

namespace jujubespan::http
{

namespace
{

// A connection is given up this long before its server would close it.
constexpr duration idle_margin = std::chrono::milliseconds(1500);
constexpr std::size_t read_size = 16U << 10U;

// Time that the server keeps an idle connection, from `Keep-Alive: timeout=N`.
std::optional<duration> announced_idle_time(const http_response& response)
{
    constexpr std::string_view field = "timeout=";
    const auto value = find_header(response.headers, "Keep-Alive");
    const auto at = value.find(field);
    if (at == std::string_view::npos)
    {
        return std::nullopt;
    }
    const auto text = value.substr(at + field.size());
    unsigned whole = 0;
    const auto [stop, error] =
        std::from_chars(text.data(), text.data() + text.size(), whole);
    if (error != std::errc{})
    {
        return std::nullopt;
    }
    return std::chrono::seconds(whole);
}

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
        if (descriptor_ >= 0)
        {
            if (notifier_)
            {
                notifier_->setEnabled(false);
                notifier_.release()->deleteLater();
            }
            ::close(descriptor_);
        }
    }

    void start(std::uint64_t exchange, const http_request& request)
    {
        exchange_ = exchange;
        to_head_ = request.verb == "HEAD";
        const auto& echo = owner_.options_.echo_header;
        echo_ = echo.empty() ? std::string_view()
                             : find_header(request.headers, echo);
        begin_response();
        bytes_ = serialize(request);
        if (socket_->state() == QAbstractSocket::ConnectedState)
        {
            send();
            return;
        }
        const auto& address = owner_.address_;
        ++owner_.connects_;
        socket_->connectToHost(
            QHostAddress(QString::fromStdString(address.host)), address.port);
        const auto limit =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                owner_.options_.connect_time);
        QTimer::singleShot(limit, &guard_,
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

    void rest(duration lifetime, time_point now)
    {
        exchange_ = 0;
        sent_ = false;
        parser_.reset();
        usable_until_ = now + lifetime;
        rested_at_ = now;
    }

    [[nodiscard]] time_point usable_until() const { return usable_until_; }
    [[nodiscard]] time_point rested_at() const { return rested_at_; }

private:
    void begin_response()
    {
        parser_.emplace(owner_.options_.limits, to_head_,
                        owner_.options_.close_delimited);
    }

    void on_connected()
    {
        disable_delay(*socket_);
        if (owner_.options_.silence > duration::zero())
        {
            detect_silence(*socket_, owner_.options_.silence);
        }
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
        parse();
    }

    void parse()
    {
        while (true)
        {
            switch (parser_->parse(buffer_))
            {
            case parse_state::incomplete:
                if (parser_->needs_close() && descriptor_ < 0)
                {
                    read_until_close();
                }
                return;
            case parse_state::complete:
                break;
            default:
                owner_.end(this, client_end::failed, {}, false);
                return;
            }
            const bool keep_alive = parser_->keep_alive();
            auto response = parser_->take();
            if (answers_earlier_request(response) && keep_alive)
            {
                poisoned_ = true;
                begin_response();
                continue;
            }
            finish(std::move(response), keep_alive);
            return;
        }
    }

    [[nodiscard]] bool
    answers_earlier_request(const http_response& response) const
    {
        if (echo_.empty())
        {
            return false;
        }
        const auto value =
            find_header(response.headers, owner_.options_.echo_header);
        return !value.empty() && value != echo_;
    }

    void finish(http_response response, bool keep_alive)
    {
        if (answers_earlier_request(response))
        {
            owner_.end(this, client_end::failed, {}, false);
            return;
        }
        // The server may still read the rest of a request that it answered
        // early, so the connection cannot carry another one.
        const bool reusable = keep_alive && !poisoned_ && buffer_.isEmpty() &&
                              socket_->bytesToWrite() == 0;
        owner_.end(this, client_end::answered, std::move(response), reusable);
    }

    // QTcpSocket reports a reset like an orderly close, but only the latter
    // ends a body without a length. Reads the rest from the descriptor itself.
    void read_until_close()
    {
        descriptor_ = ::dup(static_cast<int>(socket_->socketDescriptor()));
        if (descriptor_ < 0)
        {
            owner_.end(this, client_end::failed, {}, false);
            return;
        }
        socket_->disconnect(&guard_);
        socket_->abort();
        notifier_ = std::make_unique<QSocketNotifier>(descriptor_,
                                                      QSocketNotifier::Read);
        QObject::connect(notifier_.get(), &QSocketNotifier::activated, &guard_,
                         [this] { read_descriptor(); });
    }

    void read_descriptor()
    {
        std::array<char, read_size> chunk{};
        const auto received =
            ::recv(descriptor_, chunk.data(), chunk.size(), MSG_DONTWAIT);
        if (received > 0)
        {
            buffer_.append(chunk.data(), static_cast<qsizetype>(received));
            parse();
            return;
        }
        if (received < 0 && (errno == EAGAIN || errno == EINTR))
        {
            return;
        }
        notifier_->setEnabled(false);
        if (received < 0 || parser_->on_close() != parse_state::complete)
        {
            owner_.end(this, client_end::failed, {}, false);
            return;
        }
        finish(parser_->take(), false);
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
    std::string echo_; // value that the response must repeat
    std::uint64_t exchange_{0};
    bool to_head_{false};
    bool sent_{false};
    bool poisoned_{false}; // carried a response to an earlier request
    time_point usable_until_{};
    time_point rested_at_{};
    int descriptor_{-1}; // while a body ends with the connection
    std::unique_ptr<QSocketNotifier> notifier_;
};

client::client(const config::endpoint& address, const client_options& options,
               response_handler& handler)
    : address_(address), options_(options), handler_(handler)
{
}

client::client(const config::endpoint& address, message_limits limits,
               std::size_t max_idle, response_handler& handler)
    : client(address, {.limits = limits, .max_idle = max_idle}, handler)
{
}

client::~client() = default;

void client::start(std::uint64_t exchange, const http_request& request)
{
    const auto now = boot_clock::now();
    auto connection = take_idle(request.idempotent, now);
    if (!connection)
    {
        connection = std::make_unique<client_connection>(*this);
        // Makes room among the idle ones; active ones are bounded by the
        // caller's own limit.
        const auto open = active_.size() + idle_.size();
        if (options_.max_connections > 0 && open >= options_.max_connections &&
            !idle_.empty())
        {
            idle_.erase(idle_.begin());
        }
    }
    auto* started = connection.get();
    active_.emplace(exchange, std::move(connection));
    started->start(exchange, request);
}

std::unique_ptr<client_connection> client::take_idle(bool repeatable,
                                                     time_point now)
{
    while (!idle_.empty())
    {
        // The last one was in use most recently.
        if (!repeatable &&
            now - idle_.back()->rested_at() > options_.fresh_time)
        {
            return nullptr;
        }
        auto connection = std::move(idle_.back());
        idle_.pop_back();
        if (now < connection->usable_until() && connection->connected())
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
    const auto now = boot_clock::now();
    drop_expired(now);
    if (reusable && idle_.size() < options_.max_idle)
    {
        duration lifetime = options_.idle_time;
        if (const auto announced = announced_idle_time(response))
        {
            lifetime = std::min(lifetime, *announced - idle_margin);
        }
        owned->rest(lifetime, now);
        idle_.push_back(std::move(owned));
    }
    handler_.on_end(exchange, result, std::move(response));
}

void client::drop_idle(client_connection* connection)
{
    std::erase_if(idle_, [connection](const auto& item)
                  { return item.get() == connection; });
}

void client::drop_expired(time_point now)
{
    while (!idle_.empty() && now >= idle_.front()->usable_until())
    {
        idle_.erase(idle_.begin());
    }
}

} // namespace jujubespan::http
