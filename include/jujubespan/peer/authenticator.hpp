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

/// @brief Accepts or refuses incoming connections by their CURVE public key.
///
/// Implements the handler of the ZeroMQ Authentication Protocol (ZAP) for all
/// sockets of one ZeroMQ context. Must be constructed before these sockets
/// bind.
class authenticator
{
public:
    explicit authenticator(zmq::context_t& context);

    /// @brief Replaces the set of public keys that may connect. Open
    /// connections are not closed.
    /// @param keys Z85 text.
    void set_allowed_keys(std::span<const std::string> keys);

    [[nodiscard]] std::uint64_t refused_connections() const
    {
        return refused_count_;
    }

private:
    void receive_requests();
    void send_reply(std::span<const zmq::message_t> request);
    [[nodiscard]] bool
    is_key_allowed(std::span<const zmq::message_t> request) const;

    zmq_socket socket_;
    std::set<std::string> allowed_keys_;
    std::uint64_t refused_count_{0};
};

} // namespace jujubespan::peer

#endif
