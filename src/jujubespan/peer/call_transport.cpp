#include "jujubespan/peer/call_transport.hpp"

#include "jujubespan/peer/codec.hpp"
#include "jujubespan/peer/peer.pb.h"

namespace jujubespan::peer
{

call_transport::call_transport(zmq::context_t& context,
                               const config::settings& options,
                               std::uint64_t incarnation)
    : messenger_(context, options.id, incarnation, options.keys, *this)
{
}

absl::Status call_transport::bind(const config::endpoint& address)
{
    return messenger_.bind(address);
}

void call_transport::set_instances(std::span<const instance> instances)
{
    std::vector<peer_address> peers;
    for (const auto& item : instances)
    {
        peers.push_back({item.id, item.call_address, item.public_key});
    }
    messenger_.set_peers(peers);
}

bool call_transport::send_call(std::string_view peer,
                               const engine::peer_call& call, time_point now)
{
    v1::Envelope message;
    encode(call, now, *message.mutable_call());
    return messenger_.send(peer, message, now);
}

void call_transport::cancel(std::string_view peer, std::uint64_t call_id)
{
    v1::Envelope message;
    message.mutable_cancel()->set_id(call_id);
    messenger_.send(peer, message, boot_clock::now());
}

void call_transport::send_reply(std::uint64_t exchange,
                                const engine::answer& answer,
                                std::string_view /*request_id*/)
{
    const auto ended = inbound_.close_exchange(exchange);
    if (!ended)
    {
        return;
    }
    v1::Envelope message;
    encode(answer, *message.mutable_reply());
    message.mutable_reply()->set_id(ended->call_id);
    messenger_.send_reply(ended->reply_to, ended->peer, message);
}

void call_transport::announce_leaving()
{
    for (const auto& [peer, reply_to] : inbound_.sender_routing_ids())
    {
        v1::Envelope message;
        message.mutable_heartbeat()->set_leaving(true);
        messenger_.send_reply(reply_to, peer, message);
    }
}

void call_transport::on_message(const v1::Envelope& message,
                                const routing_id& reply_to)
{
    switch (message.body_case())
    {
    case v1::Envelope::kCall:
        on_call(message, reply_to);
        return;
    case v1::Envelope::kCancel:
        on_cancel(message);
        return;
    case v1::Envelope::kReply:
        on_reply(message);
        return;
    case v1::Envelope::kHeartbeat:
        if (message.heartbeat().leaving())
        {
            engine_->on_peer_leaving(message.from());
        }
        return;
    default:
        return;
    }
}

void call_transport::on_call(const v1::Envelope& message,
                             const routing_id& reply_to)
{
    if (reply_to.empty())
    {
        return;
    }
    const auto exchange =
        inbound_.open_exchange(message.from(), message.from_incarnation(),
                               message.call().id(), reply_to);
    if (!exchange)
    {
        return;
    }
    const auto now = boot_clock::now();
    auto call = decode(message.call(), now);
    if (!call)
    {
        send_reply(*exchange, engine::make_refusal(engine::reason::malformed),
                   {});
        return;
    }
    engine_->on_peer_call({this, *exchange}, *std::move(call), now);
}

void call_transport::on_cancel(const v1::Envelope& message)
{
    const auto exchange =
        inbound_.cancel_exchange(message.from(), message.cancel().id());
    if (exchange)
    {
        engine_->on_origin_disconnected({this, *exchange}, boot_clock::now());
    }
}

void call_transport::on_reply(const v1::Envelope& message)
{
    auto answer = decode(message.reply());
    if (answer)
    {
        engine_->on_peer_reply(message.from(), message.reply().id(),
                               *std::move(answer), boot_clock::now());
    }
}

void call_transport::on_connection_lost(std::string_view peer)
{
    engine_->on_peer_lost(peer, boot_clock::now());
}

void call_transport::on_message_unsent(std::string_view peer,
                                       const v1::Envelope& message)
{
    if (message.has_call())
    {
        engine::answer refusal =
            engine::make_refusal(engine::reason::no_upstream, true);
        refusal.credits_unspent = message.call().credits();
        engine_->on_peer_reply(peer, message.call().id(), std::move(refusal),
                               boot_clock::now());
    }
}

} // namespace jujubespan::peer
