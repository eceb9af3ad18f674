#ifndef JUJUBESPAN_PEER_ZMQ_SOCKET_HPP
#define JUJUBESPAN_PEER_ZMQ_SOCKET_HPP

#include "jujubespan/config/settings.hpp"
#include "jujubespan/policy/memory_account.hpp"
#include "jujubespan/policy/time.hpp"

#include <QObject>
#include <QSocketNotifier>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <zmq.hpp>

namespace jujubespan::peer
{

/// @brief Creates a context that allows connections to all nodes of a large
/// fleet.
zmq::context_t make_context();

/// @brief A ZeroMQ socket on the Qt event loop of its thread.
///
/// ZeroMQ's file descriptor is edge-triggered: sending may consume the
/// notification of a message that has arrived, so the socket is checked for
/// messages after each send.
class zmq_socket
{
public:
    /// @param on_readable must receive until no message is left.
    /// @throws zmq::error_t if no descriptor is free.
    zmq_socket(zmq::context_t& context, zmq::socket_type type,
               std::function<void()> on_readable);
    ~zmq_socket();
    zmq_socket(const zmq_socket&) = delete;
    zmq_socket& operator=(const zmq_socket&) = delete;

    [[nodiscard]] zmq::socket_t& raw() { return socket_; }

    /// @throws zmq::error_t if the address cannot be bound.
    void bind(const std::string& address);
    /// @throws zmq::error_t if the address is malformed.
    void connect(const std::string& address);

    /// @brief Sends one frame without blocking.
    /// @param more further frames of the same message follow.
    /// @return false if the frame was not sent.
    bool send(zmq::message_t message, bool more = false);

    /// @brief Receives one frame without blocking.
    /// @return empty if there is none.
    zmq::recv_result_t receive(zmq::message_t& message);

    /// @brief Starts to call `on_readable`. Call it after binding or
    /// connecting.
    void start_watching();

private:
    void schedule_readable_check();

    zmq::socket_t socket_;
    std::function<void()> on_readable_;
    QObject context_object_;
    std::unique_ptr<QSocketNotifier> notifier_;
    bool check_scheduled_{false};
};

/// @brief Limits of a connection between nodes.
struct connection_options
{
    duration heartbeat_interval{std::chrono::seconds(20)};
    /// Time without data from the peer after which the connection is closed.
    duration heartbeat_timeout{std::chrono::seconds(40)};
    /// False: heartbeats are sent only while a call is unanswered. The kernel's
    /// keep-alive probes then detect the end of an idle connection. The traffic
    /// of a fleet of n nodes has no n * n heartbeats.
    bool heartbeat_idle_connections{true};
    std::int64_t max_message_bytes{20 << 20};
    /// Counts the messages that wait to be sent; null: they are not counted.
    std::shared_ptr<memory_account> memory{};
};

/// @brief Sets the limits and, if keys are enabled, the encryption of a socket
/// that binds.
void configure_server(zmq::socket_t& socket, const config::peer_keys& keys,
                      const connection_options& options);

/// @brief Sets the limits and, if keys are enabled, the encryption of a socket
/// that connects.
/// @param server_key public key of the peer to connect to.
/// @throws zmq::error_t if a key is malformed.
void configure_client(zmq::socket_t& socket, const config::peer_keys& keys,
                      std::string_view server_key,
                      const connection_options& options);

} // namespace jujubespan::peer

#endif
