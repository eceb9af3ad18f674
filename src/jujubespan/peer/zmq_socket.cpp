#include "jujubespan/peer/zmq_socket.hpp"

#include <cerrno>

namespace jujubespan::peer
{

namespace
{

constexpr int high_water_mark_messages = 1000;
constexpr int connect_timeout_ms = 1000;
constexpr int handshake_timeout_ms = 2000;
constexpr int reconnect_interval_ms = 50;
constexpr int max_reconnect_interval_ms = 1000;
// Keep-alive probes of the kernel. Several may be lost before the connection
// is closed.
constexpr int keep_alive_idle_s = 3;
constexpr int keep_alive_interval_s = 1;
constexpr int keep_alive_probes = 3;
// Each connection to a node uses three sockets: its own and both ends of its
// monitor.
constexpr int max_sockets = 16384;

// Repeats a ZeroMQ call that a signal handler has interrupted. Nothing was sent
// or received in that case.
template <typename Call>
auto retry_if_interrupted(Call&& call)
{
    while (true)
    {
        try
        {
            return call();
        }
        catch (const zmq::error_t& error)
        {
            if (error.num() != EINTR)
            {
                throw;
            }
        }
    }
}

void set_limits(zmq::socket_t& socket, const connection_options& options)
{
    socket.set(zmq::sockopt::sndhwm, high_water_mark_messages);
    socket.set(zmq::sockopt::rcvhwm, high_water_mark_messages);
    socket.set(zmq::sockopt::maxmsgsize, options.max_message_bytes);
    socket.set(zmq::sockopt::tcp_maxrt,
               static_cast<int>(milliseconds(options.heartbeat_timeout)));
    if (!options.heartbeat_idle_connections)
    {
        socket.set(zmq::sockopt::tcp_keepalive, 1);
        socket.set(zmq::sockopt::tcp_keepalive_idle, keep_alive_idle_s);
        socket.set(zmq::sockopt::tcp_keepalive_intvl, keep_alive_interval_s);
        socket.set(zmq::sockopt::tcp_keepalive_cnt, keep_alive_probes);
    }
    socket.set(zmq::sockopt::connect_timeout, connect_timeout_ms);
    socket.set(zmq::sockopt::handshake_ivl, handshake_timeout_ms);
}

// Only the connecting side sends heartbeats. The TTL they carry tells the bound
// side when to close the connection, so that it needs no heartbeats of its own.
void set_heartbeats(zmq::socket_t& socket, const connection_options& options)
{
    const auto timeout_ms =
        static_cast<int>(milliseconds(options.heartbeat_timeout));
    const auto interval_ms =
        static_cast<int>(milliseconds(options.heartbeat_interval));
    socket.set(zmq::sockopt::heartbeat_ivl, interval_ms);
    socket.set(zmq::sockopt::heartbeat_timeout, timeout_ms);
    socket.set(zmq::sockopt::heartbeat_ttl, interval_ms + timeout_ms);
}

void set_curve_keys(zmq::socket_t& socket, const config::peer_keys& keys)
{
    socket.set(zmq::sockopt::curve_publickey, keys.public_key);
    socket.set(zmq::sockopt::curve_secretkey, keys.secret_key);
}

} // namespace

zmq::context_t make_context()
{
    zmq::context_t context(1);
    context.set(zmq::ctxopt::max_sockets, max_sockets);
    return context;
}

zmq_socket::zmq_socket(zmq::context_t& context, zmq::socket_type type,
                       std::function<void()> on_readable)
    : socket_(context, type), on_readable_(std::move(on_readable))
{
    socket_.set(zmq::sockopt::linger, 0);
}

void zmq_socket::bind(const std::string& address)
{
    retry_if_interrupted([&] { socket_.bind(address); });
}

void zmq_socket::connect(const std::string& address)
{
    retry_if_interrupted([&] { socket_.connect(address); });
}

void zmq_socket::start_watching()
{
    const auto descriptor = socket_.get(zmq::sockopt::fd);
    notifier_ =
        std::make_unique<QSocketNotifier>(descriptor, QSocketNotifier::Read);
    QObject::connect(notifier_.get(), &QSocketNotifier::activated,
                     &context_object_, [this] { on_readable_(); });
    schedule_readable_check();
}

zmq_socket::~zmq_socket()
{
    if (notifier_)
    {
        // Deleted later, since its signal may be the one being handled.
        notifier_->setEnabled(false);
        notifier_.release()->deleteLater();
    }
}

// Schedules one check for all frames sent in one iteration of the event loop.
void zmq_socket::schedule_readable_check()
{
    if (check_scheduled_)
    {
        return;
    }
    check_scheduled_ = true;
    QMetaObject::invokeMethod(
        &context_object_,
        [this]
        {
            check_scheduled_ = false;
            const int events = retry_if_interrupted(
                [this] { return socket_.get(zmq::sockopt::events); });
            if ((events & ZMQ_POLLIN) != 0)
            {
                on_readable_();
            }
        },
        Qt::QueuedConnection);
}

bool zmq_socket::send(zmq::message_t message, bool more)
{
    auto flags = zmq::send_flags::dontwait;
    if (more)
    {
        flags = flags | zmq::send_flags::sndmore;
    }
    bool sent = false;
    try
    {
        sent = retry_if_interrupted(
            [&] { return socket_.send(message, flags).has_value(); });
    }
    catch (const zmq::error_t&)
    {
        sent = false; // The peer of a ROUTER socket has disconnected.
    }
    schedule_readable_check();
    return sent;
}

zmq::recv_result_t zmq_socket::receive(zmq::message_t& message)
{
    return retry_if_interrupted(
        [&] { return socket_.recv(message, zmq::recv_flags::dontwait); });
}

void configure_server(zmq::socket_t& socket, const config::peer_keys& keys,
                      const connection_options& options)
{
    set_limits(socket, options);
    socket.set(zmq::sockopt::router_mandatory, true);
    if (keys.encryption_enabled())
    {
        set_curve_keys(socket, keys);
        socket.set(zmq::sockopt::curve_server, true);
    }
}

void configure_client(zmq::socket_t& socket, const config::peer_keys& keys,
                      std::string_view server_key,
                      const connection_options& options)
{
    set_limits(socket, options);
    if (options.heartbeat_idle_connections)
    {
        set_heartbeats(socket, options);
    }
    socket.set(zmq::sockopt::immediate, true);
    socket.set(zmq::sockopt::reconnect_ivl, reconnect_interval_ms);
    socket.set(zmq::sockopt::reconnect_ivl_max, max_reconnect_interval_ms);
    if (keys.encryption_enabled())
    {
        set_curve_keys(socket, keys);
        socket.set(zmq::sockopt::curve_serverkey, std::string(server_key));
    }
}

} // namespace jujubespan::peer
