#ifndef JUJUBESPAN_PEER_CALL_TRANSPORT_HPP
#define JUJUBESPAN_PEER_CALL_TRANSPORT_HPP

#include "jujubespan/engine/call_engine.hpp"
#include "jujubespan/peer/inbound_calls.hpp"
#include "jujubespan/peer/messenger.hpp"

#include <cstdint>
#include <string>

namespace jujubespan::peer
{

/// @brief Calls to and from the nodes of other instances, on the traffic
/// thread.
class call_transport final : public engine::peer_port,
                             public engine::reply_port,
                             private message_handler
{
public:
    call_transport(zmq::context_t& context, const config::settings& options,
                   std::uint64_t incarnation);

    /// @brief Sets the engine; call before `bind`.
    void set_engine(engine::call_engine& calls) { calls_ = &calls; }

    absl::Status bind(const config::endpoint& address);

    /// @brief Applies the instance list.
    void set_instances(std::span<const instance> list);

    /// @brief Gives up calls whose connection does not come about.
    void on_tick(time_point now) { messenger_.expire(now); }

    /// @brief Tells the peers that call this node that it is leaving.
    void announce_leaving();

    bool call(std::string_view peer, const engine::peer_call& value,
              time_point now) override;
    void cancel(std::string_view peer, std::uint64_t call) override;
    void reply(std::uint64_t exchange, const engine::answer& value,
               std::string_view request_id) override;

    [[nodiscard]] const messenger_counters& counters() const
    {
        return messenger_.counters();
    }
    [[nodiscard]] std::size_t connection_count() const
    {
        return messenger_.connections();
    }
    [[nodiscard]] std::uint64_t duplicates() const
    {
        return inbound_.duplicates();
    }

private:
    void on_message(const v1::Envelope& message, const route& from) override;
    void on_lost(std::string_view peer) override;
    void on_unsent(std::string_view peer, const v1::Envelope& message) override;
    void on_call(const v1::Envelope& message, const route& from);
    void on_cancel(const v1::Envelope& message);
    void on_reply(const v1::Envelope& message);

    messenger messenger_;
    engine::call_engine* calls_{nullptr};
    inbound_calls inbound_;
};

} // namespace jujubespan::peer

#endif
