#include "jujubespan/peer/routed_transport.hpp"

#include "jujubespan/metrics/log.hpp"
#include "jujubespan/peer/codec.hpp"
#include "jujubespan/peer/peer.pb.h"

#include <algorithm>
#include <vector>

namespace jujubespan::peer
{

namespace
{

// Largest body that a node passes on, and the other fields of its message.
constexpr std::size_t max_buffered_body_bytes = 64U << 20U;
constexpr std::size_t max_message_header_bytes = 2U << 20U;

// The heartbeat timeout detects a dead connection before most clients time out.
connection_options make_options(std::shared_ptr<memory_account> memory)
{
    const auto max_body_bytes =
        memory ? std::min(memory->limit(), max_buffered_body_bytes)
               : max_buffered_body_bytes;
    return {.heartbeat_interval = std::chrono::milliseconds(1000),
            .heartbeat_timeout = std::chrono::milliseconds(1000),
            .heartbeat_idle_connections = false,
            .max_message_bytes = static_cast<std::int64_t>(
                max_body_bytes + max_message_header_bytes),
            .memory = std::move(memory)};
}

constexpr duration connection_check_interval = std::chrono::milliseconds(200);
// How long the connection to a node that is no longer listed stays open to
// receive outstanding replies.
constexpr duration unlisted_peer_retention = std::chrono::seconds(30);
// Added to the measured transit times, which are too small by the delay of the
// fastest message: several times the delay between failure domains. Without it,
// an age was too low by some microseconds.
constexpr duration fastest_message_allowance = std::chrono::milliseconds(5);
// Incarnation recorded for calls of this node to itself.
constexpr std::uint64_t self_call_incarnation = 0;

} // namespace

routed_transport::routed_transport(zmq::context_t& context,
                                   const config::endpoint& own_address,
                                   const config::endpoint& listen,
                                   std::uint64_t incarnation,
                                   std::shared_ptr<memory_account> memory)
    : own_address_(config::to_string(own_address)), listen_address_(listen),
      messenger_(context, own_address_, incarnation, {}, *this,
                 make_options(std::move(memory)))
{
}

void routed_transport::set_receivers(mesh::egress& egress, mesh::guard& guard)
{
    egress_ = &egress;
    guard_ = &guard;
    guard.set_suspicion_port(this);
}

absl::Status routed_transport::bind()
{
    return messenger_.bind(listen_address_);
}

void routed_transport::set_instances(const mesh::instance_directory& instances)
{
    const auto now = boot_clock::now();
    for (const auto& item : instances.all())
    {
        if (item.call_address != own_address_)
        {
            last_listed_[item.call_address] = now;
        }
    }
    std::erase_if(last_listed_, [now](const auto& entry)
                  { return now - entry.second > unlisted_peer_retention; });
    std::vector<peer_address> peers;
    for (const auto& [address, listed_at] : last_listed_)
    {
        peers.push_back({address, address, ""});
    }
    messenger_.set_peers(peers);
}

void routed_transport::on_tick(time_point now)
{
    messenger_.expire_pending(now);
    update_quarantine_digest(now);
    if (now >= next_connection_check_)
    {
        next_connection_check_ = now + connection_check_interval;
        messenger_.check_connections(now);
    }
}

bool routed_transport::send_call(std::string_view peer,
                                 const mesh::routed_call& call, time_point now)
{
    if (peer == own_address_)
    {
        call_self(call);
        return true;
    }
    v1::Envelope message;
    encode(call, now, *message.mutable_call());
    return messenger_.make_room(message) && messenger_.send(peer, message, now);
}

void routed_transport::call_self(const mesh::routed_call& call)
{
    const auto exchange = inbound_.open_exchange(
        own_address_, self_call_incarnation, call.id, {});
    if (!exchange)
    {
        return;
    }
    // Queued, so that the reply cannot arrive before the sender has returned
    // from `send_call`.
    QMetaObject::invokeMethod(
        &context_object_,
        [this, exchange = *exchange, call = call]() mutable
        {
            if (inbound_.is_open(exchange)) // Not cancelled in the meantime.
            {
                guard_->on_call(exchange, std::move(call), boot_clock::now());
            }
        },
        Qt::QueuedConnection);
}

void routed_transport::cancel(std::string_view peer, std::uint64_t call_id,
                              time_point now)
{
    if (peer == own_address_)
    {
        if (const auto exchange =
                inbound_.cancel_exchange(own_address_, call_id))
        {
            guard_->on_cancelled(*exchange, now);
        }
        return;
    }
    v1::Envelope message;
    message.mutable_cancel()->set_id(call_id);
    messenger_.send(peer, message, now);
}

void routed_transport::send_reply(std::uint64_t exchange,
                                  const mesh::routed_reply& reply)
{
    const auto ended = inbound_.close_exchange(exchange);
    if (!ended)
    {
        return;
    }
    if (ended->peer == own_address_)
    {
        QMetaObject::invokeMethod(
            &context_object_,
            [this, call_id = ended->call_id, reply]
            { egress_->on_reply(call_id, reply, boot_clock::now()); },
            Qt::QueuedConnection);
        return;
    }
    v1::Envelope message;
    encode(reply, *message.mutable_reply());
    if (reply.answer.result == engine::outcome::answered &&
        !messenger_.make_room(message))
    {
        log(log_level::warn, "reply_dropped", "peer={} call={} bytes={}",
            ended->peer, ended->call_id, message.ByteSizeLong());
        remove_response(*message.mutable_reply());
    }
    message.mutable_reply()->set_id(ended->call_id);
    if (!messenger_.send_reply(ended->reply_to, ended->peer, message))
    {
        log(log_level::warn, "reply_lost", "peer={} call={}", ended->peer,
            ended->call_id);
    }
}

void routed_transport::send_update(std::span<const std::string> peers,
                                   const mesh::discovery_update& update,
                                   time_point now)
{
    v1::Envelope message;
    encode(update, now, *message.mutable_delta());
    for (const auto& peer : peers)
    {
        messenger_.send(peer, message, now);
    }
}

void routed_transport::announce_leaving()
{
    for (const auto& [peer, reply_to] : inbound_.sender_routing_ids())
    {
        if (peer == own_address_)
        {
            continue;
        }
        v1::Envelope message;
        message.mutable_heartbeat()->set_leaving(true);
        messenger_.send_reply(reply_to, peer, message);
    }
}

void routed_transport::on_message(const v1::Envelope& message,
                                  const routing_id& reply_to)
{
    const auto now = boot_clock::now();
    if (update_handler_ != nullptr &&
        message.discovery_revision() > highest_discovery_revision_)
    {
        highest_discovery_revision_ = message.discovery_revision();
        update_handler_->on_revision_seen(highest_discovery_revision_);
    }
    compare_quarantine(message, now);
    switch (message.body_case())
    {
    case v1::Envelope::kSuspicion:
        on_suspicion(message, now);
        return;
    case v1::Envelope::kAllowanceRequest:
        on_allowance_request(message, reply_to, now);
        return;
    case v1::Envelope::kAllowanceGrant:
        on_allowance_grant(message, now);
        return;
    case v1::Envelope::kDelta:
        on_discovery_update(message, now);
        return;
    case v1::Envelope::kCall:
        on_call(message, reply_to);
        return;
    case v1::Envelope::kCancel:
        if (const auto exchange =
                inbound_.cancel_exchange(message.from(), message.cancel().id()))
        {
            guard_->on_cancelled(*exchange, now);
        }
        return;
    case v1::Envelope::kReply:
        if (auto reply = decode_routed(message.reply()))
        {
            egress_->on_reply(message.reply().id(), *reply, now);
        }
        return;
    case v1::Envelope::kHeartbeat:
        if (!reply_to.empty())
        {
            v1::Envelope answer;
            answer.mutable_heartbeat();
            messenger_.send_reply(reply_to, message.from(), answer);
        }
        else if (message.heartbeat().leaving())
        {
            egress_->on_peer_stopping(message.from(), now);
        }
        else
        {
            egress_->on_peer_seen(message.from(), message.from_incarnation());
        }
        return;
    default:
        return;
    }
}

void routed_transport::on_discovery_update(const v1::Envelope& message,
                                           time_point now)
{
    auto update = decode_discovery(message.delta());
    if (!update || update_handler_ == nullptr)
    {
        return;
    }
    if (const auto sent = decode_confirmation(message.delta()))
    {
        const auto transit = transit_time_.on_message(
            message.from(), message.from_incarnation(), sent->sent_at, now);
        if (transit)
        {
            update->confirmed_at =
                now - *transit - fastest_message_allowance - sent->age;
        }
    }
    update_handler_->on_update(message.from(), *update);
}

void routed_transport::send_report(const mesh::suspicion_report& report,
                                   time_point now)
{
    v1::Envelope message;
    encode(report, *message.mutable_suspicion());
    for (const auto& [address, listed_at] : last_listed_)
    {
        messenger_.send(address, message, now);
    }
}

void routed_transport::on_suspicion(const v1::Envelope& message, time_point now)
{
    const auto report = decode_suspicion(message.suspicion());
    if (!report)
    {
        log(log_level::warn, "suspicion_unreadable", "peer={} bytes={}",
            message.from(), message.ByteSizeLong());
        return;
    }
    guard_->on_suspicion_report(*report, now);
    update_quarantine_digest(now);
}

void routed_transport::send_allowance_request(
    const mesh::outgoing_allowance_request& outgoing, time_point now)
{
    if (outgoing.peer == own_address_)
    {
        if (const auto grant =
                authority_->on_request(own_address_, outgoing.request, now))
        {
            spender_->on_grant(own_address_, *grant, now);
            egress_->on_allowance_tokens(now);
        }
        return;
    }
    v1::Envelope message;
    encode(outgoing.request, *message.mutable_allowance_request());
    messenger_.send(outgoing.peer, message, now);
}

void routed_transport::on_allowance_request(const v1::Envelope& message,
                                            const routing_id& reply_to,
                                            time_point now)
{
    const auto request = decode(message.allowance_request());
    if (!request)
    {
        log(log_level::warn, "allowance_unreadable", "peer={} bytes={}",
            message.from(), message.ByteSizeLong());
        return;
    }
    if (authority_ == nullptr || reply_to.empty())
    {
        return;
    }
    if (const auto grant =
            authority_->on_request(message.from(), *request, now))
    {
        v1::Envelope answer;
        encode(*grant, *answer.mutable_allowance_grant());
        messenger_.send_reply(reply_to, message.from(), answer);
    }
}

void routed_transport::on_allowance_grant(const v1::Envelope& message,
                                          time_point now)
{
    const auto grant = decode(message.allowance_grant());
    if (!grant)
    {
        log(log_level::warn, "allowance_unreadable", "peer={} bytes={}",
            message.from(), message.ByteSizeLong());
        return;
    }
    if (spender_ != nullptr)
    {
        spender_->on_grant(message.from(), *grant, now);
        egress_->on_allowance_tokens(now);
    }
}

void routed_transport::update_quarantine_digest(time_point now)
{
    const auto digest = guard_->suspects().digest();
    if (quarantine_exchange_.update(digest, now))
    {
        messenger_.set_quarantine_digest(digest);
    }
}

void routed_transport::compare_quarantine(const v1::Envelope& message,
                                          time_point now)
{
    if (!quarantine_exchange_.is_due(message.from(),
                                     message.quarantine_digest(), now))
    {
        return;
    }
    v1::Envelope answer;
    encode(guard_->suspects().make_report(now), *answer.mutable_suspicion());
    messenger_.send(message.from(), answer, now);
}

void routed_transport::on_call(const v1::Envelope& message,
                               const routing_id& reply_to)
{
    const auto exchange =
        inbound_.open_exchange(message.from(), message.from_incarnation(),
                               message.call().id(), reply_to);
    if (reply_to.empty() || !exchange)
    {
        return;
    }
    const auto now = boot_clock::now();
    auto call = decode_routed(message.call(), now);
    if (!call)
    {
        mesh::routed_reply refusal;
        refusal.answer = engine::make_refusal(engine::reason::malformed);
        send_reply(*exchange, refusal);
        return;
    }
    guard_->on_call(*exchange, *std::move(call), now);
}

void routed_transport::on_connection_lost(std::string_view peer)
{
    log(log_level::warn, "peer_lost", "peer={}", peer);
    if (spender_ != nullptr)
    {
        spender_->on_peer_lost(peer);
    }
    egress_->on_peer_lost(peer, boot_clock::now());
}

void routed_transport::on_message_unsent(std::string_view /*peer*/,
                                         const v1::Envelope& message)
{
    if (message.has_call())
    {
        mesh::routed_reply refusal;
        refusal.answer =
            engine::make_refusal(engine::reason::no_upstream, true);
        egress_->on_reply(message.call().id(), refusal, boot_clock::now());
    }
}

} // namespace jujubespan::peer
