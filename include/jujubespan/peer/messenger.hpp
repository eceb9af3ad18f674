#ifndef JUJUBESPAN_PEER_MESSENGER_HPP
#define JUJUBESPAN_PEER_MESSENGER_HPP

#include "jujubespan/config/settings.hpp"
#include "jujubespan/peer/incoming_connections.hpp"
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

/// @brief Address and public key of a peer.
struct peer_address
{
    std::string id;
    std::string endpoint; ///< `host:port`.
    std::string public_key;

    bool operator==(const peer_address&) const = default;
};

/// @brief ZeroMQ routing ID, which a ROUTER socket assigns to each incoming
/// connection; replies are addressed with it.
using routing_id = std::string;

/// @brief Receives the messages and connection events of a messenger.
class message_handler
{
public:
    virtual ~message_handler() = default;

    /// @param reply_to routing ID of the sender; empty if the message arrived
    /// over a connection that this node opened.
    virtual void on_message(const v1::Envelope& message,
                            const routing_id& reply_to) = 0;

    /// @brief The connection to a peer was lost.
    virtual void on_connection_lost(std::string_view peer) = 0;

    /// @brief A message that `send` had accepted was dropped without being
    /// sent.
    virtual void on_message_unsent(std::string_view peer,
                                   const v1::Envelope& message) = 0;
};

struct messenger_counters
{
    std::uint64_t sent{0};
    std::uint64_t sent_bytes{0};
    std::uint64_t received{0};
    std::uint64_t received_bytes{0};
    std::uint64_t malformed{0};      ///< Could not be parsed.
    std::uint64_t wrong_version{0};  ///< Protocol version not supported.
    std::uint64_t wrong_receiver{0}; ///< Addressed to another node.
};

/// @brief Exchanges messages with other nodes, over one bound socket for
/// incoming connections and one connected socket for each peer in use.
///
/// Without heartbeats on idle connections, a peer with an unanswered call that
/// has been silent is sent a heartbeat, which its handler must answer. If it
/// does not, its connection is lost. Peers that have never answered one, since
/// their version does not, are exempt.
///
/// A message to a peer whose connection is not yet established waits for a
/// bounded time; it is then either sent or reported as unsent, never both.
/// After the connection has been down for longer than that time, `send` fails
/// immediately.
class messenger
{
public:
    messenger(zmq::context_t& context, std::string own_id,
              std::uint64_t incarnation, const config::peer_keys& keys,
              message_handler& handler, const connection_options& options = {});
    ~messenger();

    /// @return an unavailable status that names the address if it cannot be
    /// bound.
    absl::Status bind(const config::endpoint& address);

    /// @brief Replaces the addresses of all peers. Connections to peers that
    /// are no longer listed, or whose address or key has changed, are closed.
    /// Peers whose address is not `host:port` are left out.
    void set_peers(std::span<const peer_address> peers);

    /// @brief Sets the digest of the quarantine that all messages carry.
    void set_quarantine_digest(std::uint64_t digest)
    {
        quarantine_digest_ = digest;
    }

    /// @brief Sets the discovery revision that all messages carry.
    void set_discovery_revision(std::uint64_t revision)
    {
        discovery_revision_ = revision;
    }

    [[nodiscard]] bool has_address(std::string_view peer) const
    {
        return addresses_.contains(peer);
    }

    /// @brief Sends a message, opening a connection first if there is none.
    /// @return false if the message was not sent and is not pending, also when
    /// ZeroMQ rejects the address or no descriptor is free.
    bool send(std::string_view peer, v1::Envelope& message, time_point now);

    /// @brief Sends heartbeats to silent peers with unanswered calls, and drops
    /// the connections of those that do not answer; to be called every few
    /// hundred milliseconds.
    void check_connections(time_point now);

    /// @brief Sends a message over the incoming connection `reply_to`.
    bool send_reply(const routing_id& reply_to, std::string_view peer,
                    v1::Envelope& message);

    /// @brief Whether a message fits into the memory of messages that wait to
    /// be sent. Frees memory first if there is too little.
    [[nodiscard]] bool make_room(const v1::Envelope& message) const;

    /// @brief Drops pending messages that have waited too long and reports them
    /// as unsent.
    void expire_pending(time_point now);

    [[nodiscard]] std::size_t connection_count() const
    {
        return connections_.size();
    }
    [[nodiscard]] std::size_t incoming_count() const
    {
        return incoming_.count();
    }
    [[nodiscard]] const messenger_counters& counters() const
    {
        return counters_;
    }

private:
    struct connection;

    enum class message_validity
    {
        accepted,
        not_for_this_node,
        malformed
    };

    [[nodiscard]] bool can_connect(std::string_view peer, time_point now) const;
    /// @return null if the connection could not be opened.
    connection* connect(std::string_view peer, time_point now);
    /// @throws zmq::error_t if ZeroMQ rejects the address or the key, or lacks
    /// a resource.
    std::unique_ptr<connection> open_connection(const peer_address& address,
                                                time_point now);
    void set_envelope_header(v1::Envelope& message, std::string_view to) const;
    bool send_envelope(connection& to, const v1::Envelope& message);
    void receive_from_bound_socket();
    void receive_incoming_events();
    /// @brief Records that another node, or a stranger, sent a message.
    void on_incoming_message(zmq::message_t& payload, message_validity result);
    /// @brief Subscribes to the events of incoming connections. To be called
    /// once: ZeroMQ's I/O thread waits for the receiver of an event, and a
    /// second receiver is never served.
    void watch_incoming();
    void receive_from_connection(connection& from);
    void receive_connection_events(connection& from);
    /// @param from null for messages to the bound socket.
    message_validity dispatch(const zmq::message_t& payload,
                              const routing_id& reply_to, connection* from);
    bool send_heartbeat(connection& to);
    void drop_connection(const std::string& peer);
    void send_pending(connection& to);
    void drop_pending(connection& to);

    zmq::context_t& context_;
    std::string own_id_;
    std::uint64_t incarnation_;
    std::uint64_t discovery_revision_{0};
    std::uint64_t quarantine_digest_{0};
    config::peer_keys keys_;
    message_handler& handler_;
    connection_options connection_options_;
    zmq_socket bound_socket_;
    zmq_socket bound_monitor_;
    incoming_connections incoming_;
    std::uint16_t bound_port_{0};
    string_map<peer_address> addresses_;
    string_map<std::unique_ptr<connection>> connections_;
    /// When the last attempt to open a connection failed, by peer.
    string_map<time_point> connect_failed_at_;
    std::size_t pending_count_{0}; // over all connections
    messenger_counters counters_;
};

} // namespace jujubespan::peer

#endif
