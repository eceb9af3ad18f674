#ifndef JUJUBESPAN_PEER_ROUTED_TRANSPORT_HPP
#define JUJUBESPAN_PEER_ROUTED_TRANSPORT_HPP

#include "jujubespan/mesh/allowance_authority.hpp"
#include "jujubespan/mesh/allowance_spender.hpp"
#include "jujubespan/mesh/discovery_sharing.hpp"
#include "jujubespan/mesh/egress.hpp"
#include "jujubespan/mesh/guard.hpp"
#include "jujubespan/mesh/quarantine_exchange.hpp"
#include "jujubespan/mesh/transit_time.hpp"
#include "jujubespan/peer/inbound_calls.hpp"
#include "jujubespan/peer/messenger.hpp"

#include <QObject>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <span>
#include <string>

namespace jujubespan::peer
{

/// @brief Sends routed calls to other nodes and receives theirs. Runs on the
/// traffic thread.
///
/// A call to this node's own address is passed to its own guard in the next
/// iteration of the event loop.
class routed_transport final : public mesh::routed_call_port,
                               public mesh::routed_reply_port,
                               public mesh::suspicion_port,
                               private message_handler
{
public:
    /// @param own_address address by which other nodes identify this one.
    /// @param listen address to bind for their calls.
    /// @param memory account of the messages that wait to be sent; null: they
    /// are not counted.
    routed_transport(zmq::context_t& context,
                     const config::endpoint& own_address,
                     const config::endpoint& listen, std::uint64_t incarnation,
                     std::shared_ptr<memory_account> memory = nullptr);

    /// @brief Sets the receivers of replies and calls. Must be called before
    /// `bind`.
    void set_receivers(mesh::egress& egress, mesh::guard& guard);

    /// @brief Sets the receivers of messages about allowances. Must be called
    /// before `bind`.
    void set_allowances(mesh::allowance_spender& spender,
                        mesh::allowance_authority& authority)
    {
        spender_ = &spender;
        authority_ = &authority;
    }

    /// @brief Sends a request for tokens; it may be lost. A request to this
    /// node itself is answered before the function returns.
    void
    send_allowance_request(const mesh::outgoing_allowance_request& outgoing,
                           time_point now);

    /// @brief Sets the receiver of discovery updates; null: none.
    void set_update_handler(mesh::discovery_update_handler* handler)
    {
        update_handler_ = handler;
    }

    /// @brief Sets the discovery revision that all messages carry.
    void set_discovery_revision(std::uint64_t revision)
    {
        messenger_.set_discovery_revision(revision);
    }

    /// @brief Sends a discovery update to other nodes. It may be lost.
    void send_update(std::span<const std::string> peers,
                     const mesh::discovery_update& update, time_point now);

    absl::Status bind();

    /// @brief Replaces the list of instances that can be called.
    void set_instances(const mesh::instance_directory& instances);

    /// @brief Fails calls that have waited too long for a connection, or whose
    /// node does not answer heartbeats.
    void on_tick(time_point now);

    /// @brief Notifies every peer that has sent calls to this node that it is
    /// leaving.
    void announce_leaving();

    bool send_call(std::string_view peer, const mesh::routed_call& call,
                   time_point now) override;
    void cancel(std::string_view peer, std::uint64_t call_id,
                time_point now) override;
    void send_reply(std::uint64_t exchange,
                    const mesh::routed_reply& reply) override;

    /// @brief Sends a report to every listed node.
    void send_report(const mesh::suspicion_report& report,
                     time_point now) override;

    [[nodiscard]] const messenger_counters& counters() const
    {
        return messenger_.counters();
    }
    [[nodiscard]] std::size_t connection_count() const
    {
        return messenger_.connection_count();
    }

private:
    void on_message(const v1::Envelope& message,
                    const routing_id& reply_to) override;
    void on_connection_lost(std::string_view peer) override;
    void on_message_unsent(std::string_view peer,
                           const v1::Envelope& message) override;
    void on_call(const v1::Envelope& message, const routing_id& reply_to);
    void call_self(const mesh::routed_call& call);
    void on_discovery_update(const v1::Envelope& message, time_point now);
    void on_suspicion(const v1::Envelope& message, time_point now);
    void on_allowance_request(const v1::Envelope& message,
                              const routing_id& reply_to, time_point now);
    void on_allowance_grant(const v1::Envelope& message, time_point now);
    void compare_quarantine(const v1::Envelope& message, time_point now);
    void update_quarantine_digest(time_point now);

    std::string own_address_;
    config::endpoint listen_address_;
    messenger messenger_;
    mesh::egress* egress_{nullptr};
    mesh::guard* guard_{nullptr};
    mesh::allowance_spender* spender_{nullptr};
    mesh::allowance_authority* authority_{nullptr};
    inbound_calls inbound_;
    mesh::discovery_update_handler* update_handler_{nullptr};
    std::uint64_t highest_discovery_revision_{0}; ///< Of received messages.
    time_point next_connection_check_{};
    string_map<time_point> last_listed_; // by address
    mesh::quarantine_exchange quarantine_exchange_;
    mesh::transit_time transit_time_; // of discovery updates
    QObject context_object_; // Its destruction discards queued invocations.
};

} // namespace jujubespan::peer

#endif
