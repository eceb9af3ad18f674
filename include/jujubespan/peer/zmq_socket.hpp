#ifndef JUJUBESPAN_PEER_ZMQ_SOCKET_HPP
#define JUJUBESPAN_PEER_ZMQ_SOCKET_HPP

#include "jujubespan/config/settings.hpp"
#include "jujubespan/policy/time.hpp"

#include <QObject>
#include <QSocketNotifier>

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <zmq.hpp>

namespace jujubespan::peer
{

/// @brief A ZeroMQ socket on the event loop of its thread.
///
/// ZeroMQ's descriptor is edge triggered: sending may take the signal of a
/// message that has arrived, so the socket is looked at again afterwards.
class zmq_socket
{
public:
    /// @param on_readable receives until there is nothing left.
    zmq_socket(zmq::context_t& context, zmq::socket_type type,
               std::function<void()> on_readable);
    ~zmq_socket();
    zmq_socket(const zmq_socket&) = delete;
    zmq_socket& operator=(const zmq_socket&) = delete;

    [[nodiscard]] zmq::socket_t& raw() { return socket_; }

    /// @brief Sends without waiting.
    /// @return false when nothing was sent.
    bool send(zmq::message_t message, bool more = false);

    /// @brief Receives without waiting; empty when there is nothing.
    zmq::recv_result_t receive(zmq::message_t& message);

    /// @brief Starts watching, once bound or connected.
    void watch();

private:
    void look_again();

    zmq::socket_t socket_;
    std::function<void()> on_readable_;
    QObject guard_;
    std::unique_ptr<QSocketNotifier> notifier_;
    bool scheduled_{false};
};

/// @brief Bounds on a connection between nodes.
struct link_options
{
    duration heartbeat{std::chrono::seconds(20)};
    duration timeout{std::chrono::seconds(40)}; ///< Silence that ends it.
    std::int64_t max_message_bytes{20 << 20};
};

/// @brief Sets bounds and, when keys are given, encryption of a socket that
/// binds.
void configure_server(zmq::socket_t& socket, const config::peer_keys& keys,
                      const link_options& options);

/// @brief Sets bounds and, when keys are given, encryption.
/// @param server_key public key of the peer to connect to.
void configure_client(zmq::socket_t& socket, const config::peer_keys& keys,
                      std::string_view server_key, const link_options& options);

} // namespace jujubespan::peer

#endif
