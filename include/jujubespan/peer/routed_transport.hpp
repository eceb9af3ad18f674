#ifndef JUJUBESPAN_PEER_ROUTED_TRANSPORT_HPP
#define JUJUBESPAN_PEER_ROUTED_TRANSPORT_HPP

#include "jujubespan/mesh/egress.hpp"
#include "jujubespan/mesh/guard.hpp"
#include "jujubespan/peer/inbound_calls.hpp"
#include "jujubespan/peer/messenger.hpp"

#include <QObject>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>

namespace jujubespan::peer
{

/// @brief Routed calls between nodes, on the traffic thread. A call to the
/// own address goes to the own guard with the next turn of the event loop.
class routed_transport final : public mesh::routed_call_port,
                               public mesh::routed_reply_port,
                               private message_handler
{
public:
    /// @param self address at which this node listens.
    /// @param self address by which other nodes know this one.
    /// @param listen address at which their calls arrive.
    routed_transport(zmq::context_t& context, const config::endpoint& self,
                     const config::endpoint& listen, std::uint64_t incarnation);

    /// @brief Sets the receivers; call before `bind`.
    void set_receivers(mesh::egress& way_out, mesh::guard& gate);

    absl::Status bind();

    /// @brief Applies the instance list.
    void set_instances(const mesh::instance_directory& list);

    /// @brief Gives up calls whose connection does not come about.
    void on_tick(time_point now) { messenger_.expire(now); }

    /// @brief Tells the peers that call this node that it is stopping.
    void announce_leaving();

    bool call(std::string_view peer, const mesh::routed_call& value,
              time_point now) override;
    void cancel(std::string_view peer, std::uint64_t call,
                time_point now) override;
    void reply(std::uint64_t exchange,
               const mesh::routed_reply& value) override;

    [[nodiscard]] const messenger_counters& counters() const
    {
        return messenger_.counters();
    }
    [[nodiscard]] std::size_t connection_count() const
    {
        return messenger_.connections();
    }

private:
    void on_message(const v1::Envelope& message, const route& from) override;
    void on_lost(std::string_view peer) override;
    void on_unsent(std::string_view peer, const v1::Envelope& message) override;
    void on_call(const v1::Envelope& message, const route& from);
    void call_self(const mesh::routed_call& value);

    std::string self_;
    config::endpoint address_;
    messenger messenger_;
    mesh::egress* way_out_{nullptr};
    mesh::guard* gate_{nullptr};
    inbound_calls inbound_;
    string_map<time_point> listed_; // when an address was last listed
    QObject guard_;                 // Ends queued calls with this object.
};

} // namespace jujubespan::peer

#endif
