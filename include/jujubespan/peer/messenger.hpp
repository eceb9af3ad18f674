#ifndef JUJUBESPAN_PEER_MESSENGER_HPP
#define JUJUBESPAN_PEER_MESSENGER_HPP

#include "jujubespan/config/settings.hpp"
#include "jujubespan/peer/zmq_socket.hpp"
#include "jujubespan/policy/string_map.hpp"
#include "jujubespan/policy/time.hpp"

#include <absl/status/status.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <zmq.hpp>

namespace jujubespan::peer
{

namespace v1
{
class Envelope;
} // namespace v1

/// @brief Where a peer listens.
struct peer_address
{
    std::string id;
    std::string endpoint; ///< `host:port`.
    std::string public_key;

    bool operator==(const peer_address&) const = default;
};

/// @brief The way back to the sender of a message.
using route = std::string;

/// @brief Receives what a messenger learns.
class message_handler
{
public:
    virtual ~message_handler() = default;

    /// @param from way back; empty for an answer on an own connection.
    virtual void on_message(const v1::Envelope& message, const route& from) = 0;

    /// @brief The connection to a peer was lost.
    virtual void on_lost(std::string_view peer) = 0;

    /// @brief A message given to `send` was dropped unsent.
    virtual void on_unsent(std::string_view peer,
                           const v1::Envelope& message) = 0;
};

/// @brief Counters of a messenger.
struct messenger_counters
{
    std::uint64_t sent{0};
    std::uint64_t sent_bytes{0};
    std::uint64_t received{0};
    std::uint64_t received_bytes{0};
    std::uint64_t malformed{0};      ///< Not an envelope.
    std::uint64_t wrong_version{0};  ///< Of a version not known here.
    std::uint64_t wrong_receiver{0}; ///< Addressed to another node.
};

/// @brief Messages to and from other nodes: one socket that binds, one that
/// connects for each peer in use.
///
/// A message to a peer whose connection is still being made is held for a
/// short while; it is then either sent or reported as unsent, never both. While
/// a connection stays down, messages to its peer are turned away at once.
class messenger
{
public:
    messenger(zmq::context_t& context, std::string self,
              std::uint64_t incarnation, const config::peer_keys& keys,
              message_handler& handler, const link_options& options = {});
    ~messenger();

    /// @return an unavailable status that names the address when it is taken.
    absl::Status bind(const config::endpoint& address);

    /// @brief Replaces the addresses of all peers; connections to others
    /// are closed.
    void set_peers(std::span<const peer_address> peers);

    [[nodiscard]] bool knows(std::string_view peer) const
    {
        return addresses_.contains(peer);
    }

    /// @brief Sends a message, connecting first when needed.
    /// @return false when nothing was sent or will be.
    bool send(std::string_view peer, v1::Envelope& message, time_point now);

    /// @brief Answers over the connection that a message came by.
    bool reply(const route& to, std::string_view peer, v1::Envelope& message);

    /// @brief Gives up messages held for too long.
    void expire(time_point now);

    [[nodiscard]] std::size_t connections() const { return links_.size(); }
    [[nodiscard]] const messenger_counters& counters() const
    {
        return counters_;
    }

private:
    struct link;

    [[nodiscard]] bool can_connect(std::string_view peer) const;
    link& connect(std::string_view peer, time_point now);
    void seal(v1::Envelope& message, std::string_view to) const;
    bool transmit(link& to, const v1::Envelope& message);
    void receive_bound();
    void receive_from(link& from);
    void receive_event(link& from);
    void dispatch(const zmq::message_t& payload, const route& from);
    void flush(link& to);
    void fail_held(link& to);

    zmq::context_t& context_;
    std::string self_;
    std::uint64_t incarnation_;
    config::peer_keys keys_;
    message_handler& handler_;
    link_options link_options_;
    zmq_socket bound_;
    string_map<peer_address> addresses_;
    string_map<std::unique_ptr<link>> links_;
    std::size_t held_{0}; // messages of all links
    messenger_counters counters_;
};

} // namespace jujubespan::peer

#endif
