#ifndef JUJUBESPAN_PEER_AUTHENTICATOR_HPP
#define JUJUBESPAN_PEER_AUTHENTICATOR_HPP

#include "jujubespan/peer/zmq_socket.hpp"

#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <zmq.hpp>

namespace jujubespan::peer
{

/// @brief Decides which public keys may connect to this node's sockets, for
/// all sockets of a ZeroMQ context (ZeroMQ's authentication protocol, ZAP).
///
/// Construct it before the sockets bind.
class authenticator
{
public:
    explicit authenticator(zmq::context_t& context);

    /// @brief Replaces the keys that may connect, in Z85 text. Connections
    /// that are open stay open.
    void set_allowed_keys(std::span<const std::string> keys);

    [[nodiscard]] std::uint64_t refused() const { return refused_; }

private:
    void receive();
    void answer(std::span<const zmq::message_t> request);
    [[nodiscard]] bool allowed(std::span<const zmq::message_t> request) const;

    zmq_socket socket_;
    std::set<std::string> keys_;
    std::uint64_t refused_{0};
};

} // namespace jujubespan::peer

#endif
