#include "jujubespan/peer/zmq_socket.hpp"

namespace jujubespan::peer
{

namespace
{

constexpr int high_water_mark = 1000;   // messages
constexpr int connect_timeout = 1000;   // milliseconds
constexpr int handshake_timeout = 2000; // milliseconds
constexpr int reconnect_interval = 50;  // milliseconds
constexpr int longest_reconnect = 1000; // milliseconds

void set_bounds(zmq::socket_t& socket, const link_options& options)
{
    socket.set(zmq::sockopt::sndhwm, high_water_mark);
    socket.set(zmq::sockopt::rcvhwm, high_water_mark);
    socket.set(zmq::sockopt::maxmsgsize, options.max_message_bytes);
    socket.set(zmq::sockopt::tcp_maxrt,
               static_cast<int>(milliseconds(options.timeout)));
    socket.set(zmq::sockopt::connect_timeout, connect_timeout);
    socket.set(zmq::sockopt::handshake_ivl, handshake_timeout);
}

// The end that connects asks for signs of life. Its interval tells the other
// end when to give the connection up, which then need not ask, too.
void set_heartbeats(zmq::socket_t& socket, const link_options& options)
{
    const auto timeout = static_cast<int>(milliseconds(options.timeout));
    const auto interval = static_cast<int>(milliseconds(options.heartbeat));
    socket.set(zmq::sockopt::heartbeat_ivl, interval);
    socket.set(zmq::sockopt::heartbeat_timeout, timeout);
    socket.set(zmq::sockopt::heartbeat_ttl, interval + timeout);
}

void set_keys(zmq::socket_t& socket, const config::peer_keys& keys)
{
    socket.set(zmq::sockopt::curve_publickey, keys.public_key);
    socket.set(zmq::sockopt::curve_secretkey, keys.secret_key);
}

} // namespace

zmq_socket::zmq_socket(zmq::context_t& context, zmq::socket_type type,
                       std::function<void()> on_readable)
    : socket_(context, type), on_readable_(std::move(on_readable))
{
    socket_.set(zmq::sockopt::linger, 0);
}

void zmq_socket::watch()
{
    const auto descriptor = socket_.get(zmq::sockopt::fd);
    notifier_ =
        std::make_unique<QSocketNotifier>(descriptor, QSocketNotifier::Read);
    QObject::connect(notifier_.get(), &QSocketNotifier::activated, &guard_,
                     [this] { on_readable_(); });
    look_again();
}

zmq_socket::~zmq_socket()
{
    if (notifier_)
    {
        // May be the one whose signal is being handled.
        notifier_->setEnabled(false);
        notifier_.release()->deleteLater();
    }
}

// Once for all that is sent in a turn of the event loop.
void zmq_socket::look_again()
{
    if (scheduled_)
    {
        return;
    }
    scheduled_ = true;
    QMetaObject::invokeMethod(
        &guard_,
        [this]
        {
            scheduled_ = false;
            if ((socket_.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0)
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
        sent = socket_.send(message, flags).has_value();
    }
    catch (const zmq::error_t&)
    {
        sent = false; // The peer of a ROUTER is gone.
    }
    look_again();
    return sent;
}

zmq::recv_result_t zmq_socket::receive(zmq::message_t& message)
{
    return socket_.recv(message, zmq::recv_flags::dontwait);
}

void configure_server(zmq::socket_t& socket, const config::peer_keys& keys,
                      const link_options& options)
{
    set_bounds(socket, options);
    socket.set(zmq::sockopt::router_mandatory, true);
    if (keys.enabled())
    {
        set_keys(socket, keys);
        socket.set(zmq::sockopt::curve_server, true);
    }
}

void configure_client(zmq::socket_t& socket, const config::peer_keys& keys,
                      std::string_view server_key, const link_options& options)
{
    set_bounds(socket, options);
    set_heartbeats(socket, options);
    socket.set(zmq::sockopt::immediate, true);
    socket.set(zmq::sockopt::reconnect_ivl, reconnect_interval);
    socket.set(zmq::sockopt::reconnect_ivl_max, longest_reconnect);
    if (keys.enabled())
    {
        set_keys(socket, keys);
        socket.set(zmq::sockopt::curve_serverkey, std::string(server_key));
    }
}

} // namespace jujubespan::peer
