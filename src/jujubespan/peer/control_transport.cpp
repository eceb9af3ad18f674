#include "jujubespan/peer/control_transport.hpp"

#include "jujubespan/peer/codec.hpp"
#include "jujubespan/peer/peer.pb.h"

namespace jujubespan::peer
{

namespace
{

// Limit of stored routing IDs. Beyond it, a peer whose address is unknown gets
// no reply until an entry is free and it sends again.
constexpr std::size_t max_routing_ids = 4096;

topic to_topic(v1::Topic wire_topic)
{
    return wire_topic == v1::TOPIC_INSTANCES ? topic::instances
                                             : topic::contracts;
}

v1::Topic from_topic(topic topic_id)
{
    return topic_id == topic::instances ? v1::TOPIC_INSTANCES
                                        : v1::TOPIC_CONTRACTS;
}

heartbeat decode_heartbeat(const v1::Heartbeat& in)
{
    return {in.leaving(),
            in.contracts_revision(),
            in.instances_revision(),
            {in.in_flight(), in.limit()}};
}

} // namespace

control_transport::control_transport(zmq::context_t& context,
                                     const config::settings& options,
                                     std::uint64_t incarnation,
                                     control_handler& handler)
    : handler_(handler),
      messenger_(context, options.id, incarnation, options.keys, *this)
{
}

absl::Status control_transport::bind(const config::endpoint& address)
{
    return messenger_.bind(address);
}

void control_transport::set_peers(std::span<const peer_address> peers)
{
    messenger_.set_peers(peers);
}

void control_transport::send_envelope(std::string_view peer,
                                      v1::Envelope& message)
{
    if (messenger_.has_address(peer))
    {
        messenger_.send(peer, message, boot_clock::now());
        return;
    }
    const auto found = routing_ids_.find(peer);
    if (found != routing_ids_.end() &&
        !messenger_.send_reply(found->second, peer, message))
    {
        routing_ids_.erase(found);
    }
}

void control_transport::send(std::string_view peer,
                             const heartbeat& own_heartbeat)
{
    v1::Envelope message;
    auto* out = message.mutable_heartbeat();
    out->set_leaving(own_heartbeat.leaving);
    out->set_contracts_revision(own_heartbeat.contracts_revision);
    out->set_instances_revision(own_heartbeat.instances_revision);
    out->set_in_flight(own_heartbeat.load.in_flight);
    out->set_limit(own_heartbeat.load.limit);
    send_envelope(peer, message);
}

void control_transport::send_fetch(std::string_view peer, topic topic_id,
                                   std::uint64_t after_revision)
{
    v1::Envelope message;
    message.mutable_fetch()->set_topic(from_topic(topic_id));
    message.mutable_fetch()->set_after(after_revision);
    send_envelope(peer, message);
}

void control_transport::send(std::string_view peer, topic topic_id,
                             const versioned_delta& delta)
{
    v1::Envelope message;
    encode(topic_id, delta, *message.mutable_delta());
    send_envelope(peer, message);
}

void control_transport::send_borrow(std::string_view peer,
                                    const rate_lease& request)
{
    v1::Envelope message;
    auto* out = message.mutable_borrow();
    out->set_id(request.id);
    out->set_customer(request.customer);
    out->set_rate(request.rate);
    send_envelope(peer, message);
}

void control_transport::send_grant(std::string_view peer,
                                   const rate_lease& grant)
{
    v1::Envelope message;
    auto* out = message.mutable_grant();
    out->set_id(grant.id);
    out->set_customer(grant.customer);
    out->set_rate(grant.rate);
    send_envelope(peer, message);
}

void control_transport::on_message(const v1::Envelope& message,
                                   const routing_id& reply_to)
{
    const auto& peer = message.from();
    if (!reply_to.empty() &&
        (routing_ids_.size() < max_routing_ids || routing_ids_.contains(peer)))
    {
        routing_ids_[peer] = reply_to;
    }
    switch (message.body_case())
    {
    case v1::Envelope::kHeartbeat:
        handler_.on_heartbeat(peer, message.from_incarnation(),
                              decode_heartbeat(message.heartbeat()));
        return;
    case v1::Envelope::kFetch:
        handler_.on_fetch(peer, to_topic(message.fetch().topic()),
                          message.fetch().after());
        return;
    case v1::Envelope::kDelta:
        handler_.on_delta(peer, to_topic(message.delta().topic()),
                          decode(message.delta()));
        return;
    case v1::Envelope::kBorrow:
        handler_.on_borrow(peer,
                           {message.borrow().id(), message.borrow().customer(),
                            message.borrow().rate()});
        return;
    case v1::Envelope::kGrant:
        handler_.on_grant({message.grant().id(), message.grant().customer(),
                           message.grant().rate()});
        return;
    default:
        return;
    }
}

} // namespace jujubespan::peer
