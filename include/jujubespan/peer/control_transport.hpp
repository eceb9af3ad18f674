#ifndef JUJUBESPAN_PEER_CONTROL_TRANSPORT_HPP
#define JUJUBESPAN_PEER_CONTROL_TRANSPORT_HPP

#include "jujubespan/peer/messenger.hpp"
#include "jujubespan/policy/upstream_set.hpp"
#include "jujubespan/policy/versioned_map.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace jujubespan::peer
{

/// @brief State of a node and the revisions of its replicated topics.
struct heartbeat
{
    bool leaving{false};
    std::uint64_t contracts_revision{0};
    std::uint64_t instances_revision{0};
    upstream_load load;

    [[nodiscard]] std::uint64_t revision(topic topic_id) const
    {
        return topic_id == topic::contracts ? contracts_revision
                                            : instances_revision;
    }
};

/// @brief Part of a customer's request rate that one node asks of, or grants
/// to, another.
struct rate_lease
{
    std::uint64_t id{0};
    std::string customer;
    double rate{0}; ///< Requests per second.
};

/// @brief Receives control messages from peers.
class control_handler
{
public:
    virtual ~control_handler() = default;

    virtual void on_heartbeat(std::string_view peer, std::uint64_t incarnation,
                              const heartbeat& peer_heartbeat) = 0;
    virtual void on_fetch(std::string_view peer, topic topic_id,
                          std::uint64_t after_revision) = 0;
    virtual void on_delta(std::string_view peer, topic topic_id,
                          const versioned_delta& delta) = 0;
    virtual void on_borrow(std::string_view peer,
                           const rate_lease& request) = 0;
    virtual void on_grant(const rate_lease& grant) = 0;
};

/// @brief Exchanges control messages with other nodes. Runs on the control
/// thread.
class control_transport final : private message_handler
{
public:
    /// @param handler must outlive the transport.
    control_transport(zmq::context_t& context, const config::settings& options,
                      std::uint64_t incarnation, control_handler& handler);

    absl::Status bind(const config::endpoint& address);
    void set_peers(std::span<const peer_address> peers);
    void on_tick(time_point now) { messenger_.expire_pending(now); }

    void send(std::string_view peer, const heartbeat& own_heartbeat);
    void send_fetch(std::string_view peer, topic topic_id,
                    std::uint64_t after_revision);
    void send(std::string_view peer, topic topic_id,
              const versioned_delta& delta);
    void send_borrow(std::string_view peer, const rate_lease& request);
    void send_grant(std::string_view peer, const rate_lease& grant);

    [[nodiscard]] const messenger_counters& counters() const
    {
        return messenger_.counters();
    }
    [[nodiscard]] std::size_t connection_count() const
    {
        return messenger_.connection_count();
    }

private:
    void send_envelope(std::string_view peer, v1::Envelope& message);
    void on_message(const v1::Envelope& message,
                    const routing_id& reply_to) override;
    void on_connection_lost(std::string_view /*peer*/) override {}
    void on_message_unsent(std::string_view /*peer*/,
                           const v1::Envelope& /*message*/) override
    {
    }

    control_handler& handler_;
    messenger messenger_;
    string_map<routing_id> routing_ids_;
};

} // namespace jujubespan::peer

#endif
