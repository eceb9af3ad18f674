#include "jujubespan/peer/routed_transport.hpp"

#include "jujubespan/metrics/log.hpp"
#include "jujubespan/peer/codec.hpp"
#include "jujubespan/peer/peer.pb.h"

#include <vector>

namespace jujubespan::peer
{

namespace
{

// A silent connection is noticed within the time that most clients wait; a
// large fleet has thousands of connections to ask for signs of life. The
// largest body that clients may send fits into a message with its headers.
constexpr link_options options{.heartbeat = std::chrono::milliseconds(1000),
                               .timeout = std::chrono::milliseconds(1000),
                               .max_message_bytes = 66 << 20};
// The connection to a node that is no longer listed is kept this long, for the
// answers that are still due.
constexpr duration answer_lifetime = std::chrono::seconds(30);
// Incarnation that marks calls of this node to itself.
constexpr std::uint64_t own_incarnation = 0;

} // namespace

routed_transport::routed_transport(zmq::context_t& context,
                                   const config::endpoint& self,
                                   const config::endpoint& listen,
                                   std::uint64_t incarnation)
    : self_(config::to_string(self)), address_(listen),
      messenger_(context, self_, incarnation, {}, *this, options)
{
}

void routed_transport::attach(mesh::egress& way_out, mesh::guard& gate)
{
    way_out_ = &way_out;
    gate_ = &gate;
}

absl::Status routed_transport::bind()
{
    return messenger_.bind(address_);
}

void routed_transport::apply(const mesh::instance_directory& list)
{
    const auto now = boot_clock::now();
    for (const auto& item : list.all())
    {
        if (item.call_address != self_)
        {
            listed_[item.call_address] = now;
        }
    }
    std::erase_if(listed_, [now](const auto& entry)
                  { return now - entry.second > answer_lifetime; });
    std::vector<peer_address> peers;
    for (const auto& [address, at] : listed_)
    {
        peers.push_back({address, address, ""});
    }
    messenger_.set_peers(peers);
}

bool routed_transport::call(std::string_view peer,
                            const mesh::routed_call& value, time_point now)
{
    if (peer == self_)
    {
        call_self(value);
        return true;
    }
    v1::Envelope message;
    encode(value, now, *message.mutable_call());
    return messenger_.send(peer, message, now);
}

void routed_transport::call_self(const mesh::routed_call& value)
{
    const auto exchange = inbound_.open(self_, own_incarnation, value.id, {});
    if (!exchange)
    {
        return;
    }
    // The sender must not be answered while it is still sending.
    QMetaObject::invokeMethod(
        &guard_,
        [this, exchange = *exchange, value]
        {
            if (inbound_.is_open(exchange)) // Not given up meanwhile.
            {
                gate_->on_call(exchange, value, boot_clock::now());
            }
        },
        Qt::QueuedConnection);
}

void routed_transport::cancel(std::string_view peer, std::uint64_t call,
                              time_point now)
{
    if (peer == self_)
    {
        if (const auto exchange = inbound_.withdraw(self_, call))
        {
            gate_->on_withdrawn(*exchange, now);
        }
        return;
    }
    v1::Envelope message;
    message.mutable_cancel()->set_id(call);
    messenger_.send(peer, message, now);
}

void routed_transport::reply(std::uint64_t exchange,
                             const mesh::routed_reply& value)
{
    const auto ended = inbound_.close(exchange);
    if (!ended)
    {
        return;
    }
    if (ended->peer == self_)
    {
        QMetaObject::invokeMethod(
            &guard_,
            [this, call = ended->call, value]
            { way_out_->on_reply(call, value, boot_clock::now()); },
            Qt::QueuedConnection);
        return;
    }
    v1::Envelope message;
    encode(value, *message.mutable_reply());
    message.mutable_reply()->set_id(ended->call);
    if (!messenger_.reply(ended->back, ended->peer, message))
    {
        log(log_level::warn, "reply_lost", "peer={} call={}", ended->peer,
            ended->call);
    }
}

void routed_transport::announce_leaving()
{
    for (const auto& [peer, back] : inbound_.senders())
    {
        if (peer == self_)
        {
            continue;
        }
        v1::Envelope message;
        message.mutable_heartbeat()->set_leaving(true);
        messenger_.reply(back, peer, message);
    }
}

void routed_transport::on_message(const v1::Envelope& message,
                                  const route& from)
{
    const auto now = boot_clock::now();
    switch (message.body_case())
    {
    case v1::Envelope::kCall:
        on_call(message, from);
        return;
    case v1::Envelope::kCancel:
        if (const auto exchange =
                inbound_.withdraw(message.from(), message.cancel().id()))
        {
            gate_->on_withdrawn(*exchange, now);
        }
        return;
    case v1::Envelope::kReply:
        if (auto value = decode_routed(message.reply()))
        {
            way_out_->on_reply(message.reply().id(), *value, now);
        }
        return;
    case v1::Envelope::kHeartbeat:
        if (message.heartbeat().leaving())
        {
            way_out_->on_peer_leaving(message.from(), now);
        }
        return;
    default:
        return;
    }
}

void routed_transport::on_call(const v1::Envelope& message, const route& from)
{
    const auto exchange = inbound_.open(
        message.from(), message.from_incarnation(), message.call().id(), from);
    if (from.empty() || !exchange)
    {
        return;
    }
    const auto now = boot_clock::now();
    auto call = decode_routed(message.call(), now);
    if (!call)
    {
        mesh::routed_reply refusal;
        refusal.value = engine::make_refusal(engine::reason::malformed);
        reply(*exchange, refusal);
        return;
    }
    gate_->on_call(*exchange, *std::move(call), now);
}

void routed_transport::on_lost(std::string_view peer)
{
    log(log_level::warn, "peer_lost", "peer={}", peer);
    way_out_->on_peer_lost(peer, boot_clock::now());
}

void routed_transport::on_unsent(std::string_view /*peer*/,
                                 const v1::Envelope& message)
{
    if (message.has_call())
    {
        mesh::routed_reply refusal;
        refusal.value = engine::make_refusal(engine::reason::no_upstream, true);
        way_out_->on_reply(message.call().id(), refusal, boot_clock::now());
    }
}

} // namespace jujubespan::peer
