#ifndef JUJUBESPAN_PEER_CALL_TRANSPORT_HPP
#define JUJUBESPAN_PEER_CALL_TRANSPORT_HPP

#include "jujubespan/engine/call_engine.hpp"
#include "jujubespan/peer/inbound_calls.hpp"
#include "jujubespan/peer/messenger.hpp"

#include <cstdint>
#include <string>

namespace jujubespan::peer
{

/// @brief Sends calls to the nodes of other instances and receives theirs. Runs
/// on the traffic thread.
class call_transport final : public engine::peer_port,
                             public engine::reply_port,
                             private message_handler
{
public:
    call_transport(zmq::context_t& context, const config::settings& options,
                   std::uint64_t incarnation);

    /// @brief Sets the engine that handles calls and replies. Must be called
    /// before `bind`.
    void set_engine(engine::call_engine& engine) { engine_ = &engine; }

    absl::Status bind(const config::endpoint& address);

    /// @brief Replaces the list of instances that can be called.
    void set_instances(std::span<const instance> instances);

    /// @brief Fails calls that have waited too long for a connection.
    void on_tick(time_point now) { messenger_.expire_pending(now); }

    /// @brief Notifies every peer that has sent calls to this node that it is
    /// leaving.
    void announce_leaving();

    bool send_call(std::string_view peer, const engine::peer_call& call,
                   time_point now) override;
    void cancel(std::string_view peer, std::uint64_t call_id) override;
    void send_reply(std::uint64_t exchange, const engine::answer& answer,
                    std::string_view request_id) override;

    [[nodiscard]] const messenger_counters& counters() const
    {
        return messenger_.counters();
    }
    [[nodiscard]] std::size_t connection_count() const
    {
        return messenger_.connection_count();
    }
    [[nodiscard]] std::uint64_t duplicate_calls() const
    {
        return inbound_.duplicate_calls();
    }

private:
    void on_message(const v1::Envelope& message,
                    const routing_id& reply_to) override;
    void on_connection_lost(std::string_view peer) override;
    void on_message_unsent(std::string_view peer,
                           const v1::Envelope& message) override;
    void on_call(const v1::Envelope& message, const routing_id& reply_to);
    void on_cancel(const v1::Envelope& message);
    void on_reply(const v1::Envelope& message);

    messenger messenger_;
    engine::call_engine* engine_{nullptr};
    inbound_calls inbound_;
};

} // namespace jujubespan::peer

#endif
