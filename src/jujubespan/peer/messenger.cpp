#include "jujubespan/peer/messenger.hpp"

#include "jujubespan/peer/peer.pb.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstring>
#include <vector>

namespace jujubespan::peer
{

namespace
{

constexpr std::uint32_t protocol_version = 1;
constexpr duration longest_hold = std::chrono::milliseconds(250);
constexpr std::size_t public_key_size = 40; // Z85 characters
constexpr std::size_t most_held = 64;       // messages to one peer

// Takes the time that a call was held off its deadline.
void shorten_deadline(v1::Envelope& message, duration held)
{
    if (!message.has_call())
    {
        return;
    }
    const auto us = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(held).count());
    const auto remaining = message.call().remaining_us();
    message.mutable_call()->set_remaining_us(remaining -
                                             std::min(remaining, us));
}

} // namespace

// The connection to one peer.
struct messenger::link
{
    struct held_message
    {
        v1::Envelope message;
        time_point since;
    };

    link(messenger& owner, std::string peer, std::uint64_t number,
         time_point now)
        : id(std::move(peer)),
          monitor_name(
              fmt::format("inproc://monitor-{}-{}", fmt::ptr(&owner), number)),
          socket(owner.context_, zmq::socket_type::dealer,
                 [this, &owner] { owner.receive_from(*this); }),
          monitor(owner.context_, zmq::socket_type::pair,
                  [this, &owner] { owner.receive_event(*this); }),
          down_since(now)
    {
    }

    std::string id;
    std::string monitor_name;
    zmq_socket socket;
    zmq_socket monitor;
    bool connected{false};
    time_point down_since; // while not connected
    std::deque<held_message> held;
};

messenger::messenger(zmq::context_t& context, std::string self,
                     std::uint64_t incarnation, const config::peer_keys& keys,
                     message_handler& handler, const link_options& options)
    : context_(context), self_(std::move(self)), incarnation_(incarnation),
      keys_(keys), handler_(handler), link_options_(options),
      bound_(context, zmq::socket_type::router, [this] { receive_bound(); })
{
    configure_server(bound_.raw(), keys_, link_options_);
}

messenger::~messenger() = default;

absl::Status messenger::bind(const config::endpoint& address)
{
    try
    {
        bound_.raw().bind(fmt::format("tcp://{}", config::to_string(address)));
    }
    catch (const zmq::error_t& error)
    {
        return absl::UnavailableError(fmt::format("cannot listen on {}: {}",
                                                  config::to_string(address),
                                                  error.what()));
    }
    bound_.watch();
    return absl::OkStatus();
}

void messenger::set_peers(std::span<const peer_address> peers)
{
    string_map<peer_address> next;
    for (const auto& peer : peers)
    {
        next[peer.id] = peer;
    }
    std::vector<std::string> gone;
    for (const auto& [id, known] : addresses_)
    {
        const auto found = next.find(id);
        if (found == next.end() || !(found->second == known))
        {
            gone.push_back(id);
        }
    }
    addresses_ = std::move(next);
    for (const auto& id : gone)
    {
        const auto found = links_.find(id);
        if (found != links_.end())
        {
            const auto closed = std::move(found->second);
            links_.erase(found);
            fail_held(*closed);
            handler_.on_lost(id);
        }
    }
}

bool messenger::can_connect(std::string_view peer) const
{
    const auto found = addresses_.find(peer);
    return found != addresses_.end() &&
           (!keys_.enabled() ||
            found->second.public_key.size() == public_key_size);
}

messenger::link& messenger::connect(std::string_view peer, time_point now)
{
    static std::uint64_t next_number = 0;
    const auto& address = addresses_.find(peer)->second;
    auto created =
        std::make_unique<link>(*this, std::string(peer), ++next_number, now);
    auto& raw = created->socket.raw();
    configure_client(raw, keys_, address.public_key, link_options_);
    zmq_socket_monitor(raw.handle(), created->monitor_name.c_str(),
                       ZMQ_EVENT_HANDSHAKE_SUCCEEDED | ZMQ_EVENT_DISCONNECTED);
    created->monitor.raw().connect(created->monitor_name);
    created->monitor.watch();
    raw.connect(fmt::format("tcp://{}", address.endpoint));
    created->socket.watch();
    auto& result = *created;
    links_[std::string(peer)] = std::move(created);
    return result;
}

void messenger::seal(v1::Envelope& message, std::string_view to) const
{
    message.set_version(protocol_version);
    message.set_from(self_);
    message.set_from_incarnation(incarnation_);
    message.set_to(std::string(to));
}

bool messenger::send(std::string_view peer, v1::Envelope& message,
                     time_point now)
{
    if (!can_connect(peer))
    {
        return false;
    }
    const auto found = links_.find(peer);
    link& to = found == links_.end() ? connect(peer, now) : *found->second;
    seal(message, peer);
    if (to.connected)
    {
        return transmit(to, message);
    }
    // The connection is tried again and again without any message.
    const bool hopeless = now - to.down_since > longest_hold;
    if (hopeless || to.held.size() >= most_held)
    {
        return false;
    }
    to.held.push_back({message, now});
    ++held_;
    return true;
}

bool messenger::transmit(link& to, const v1::Envelope& message)
{
    zmq::message_t payload(message.ByteSizeLong());
    message.SerializeToArray(payload.data(), static_cast<int>(payload.size()));
    counters_.sent_bytes += payload.size();
    ++counters_.sent;
    return to.socket.send(std::move(payload));
}

bool messenger::reply(const route& to, std::string_view peer,
                      v1::Envelope& message)
{
    seal(message, peer);
    zmq::message_t payload(message.ByteSizeLong());
    message.SerializeToArray(payload.data(), static_cast<int>(payload.size()));
    counters_.sent_bytes += payload.size();
    ++counters_.sent;
    return bound_.send(zmq::message_t(to.data(), to.size()), true) &&
           bound_.send(std::move(payload));
}

void messenger::receive_bound()
{
    while (true)
    {
        zmq::message_t identity;
        zmq::message_t payload;
        if (!bound_.receive(identity))
        {
            return;
        }
        if (!identity.more() || !bound_.receive(payload))
        {
            ++counters_.malformed;
            continue;
        }
        const bool extra = payload.more();
        zmq::message_t rest;
        for (bool more = extra; more && bound_.receive(rest);
             more = rest.more())
        {
        }
        if (extra)
        {
            ++counters_.malformed;
            continue;
        }
        dispatch(payload, route(identity.to_string()));
    }
}

void messenger::receive_from(link& from)
{
    // The handler may close this connection.
    const std::string id = from.id;
    const link* before = &from;
    while (true)
    {
        const auto found = links_.find(id);
        zmq::message_t payload;
        if (found == links_.end() || found->second.get() != before ||
            !found->second->socket.receive(payload))
        {
            return;
        }
        dispatch(payload, {});
    }
}

void messenger::dispatch(const zmq::message_t& payload, const route& from)
{
    ++counters_.received;
    counters_.received_bytes += payload.size();
    v1::Envelope message;
    if (!message.ParseFromArray(payload.data(),
                                static_cast<int>(payload.size())))
    {
        ++counters_.malformed;
        return;
    }
    if (message.version() != protocol_version)
    {
        ++counters_.wrong_version;
        return;
    }
    if (message.to() != self_)
    {
        ++counters_.wrong_receiver;
        return;
    }
    handler_.on_message(message, from);
}

void messenger::receive_event(link& from)
{
    const std::string id = from.id;
    bool lost = false;
    zmq::message_t event;
    zmq::message_t address;
    while (from.monitor.receive(event))
    {
        if (!from.monitor.receive(address) || event.size() < 2)
        {
            continue;
        }
        std::uint16_t kind = 0;
        std::memcpy(&kind, event.data(), sizeof kind);
        if (kind == ZMQ_EVENT_HANDSHAKE_SUCCEEDED)
        {
            from.connected = true;
        }
        else if (kind == ZMQ_EVENT_DISCONNECTED)
        {
            lost = lost || from.connected;
            from.connected = false;
            from.down_since = boot_clock::now();
        }
    }
    if (from.connected)
    {
        flush(from);
    }
    if (lost)
    {
        handler_.on_lost(id);
    }
}

void messenger::flush(link& to)
{
    auto held = std::move(to.held);
    to.held.clear();
    held_ -= held.size();
    const auto now = boot_clock::now();
    for (auto& item : held)
    {
        shorten_deadline(item.message, now - item.since);
        if (!transmit(to, item.message))
        {
            handler_.on_unsent(to.id, item.message);
        }
    }
}

void messenger::fail_held(link& to)
{
    const auto held = std::move(to.held);
    to.held.clear();
    held_ -= held.size();
    for (const auto& item : held)
    {
        handler_.on_unsent(to.id, item.message);
    }
}

void messenger::expire(time_point now)
{
    if (held_ == 0)
    {
        return;
    }
    std::vector<link*> stale;
    for (const auto& [id, to] : links_)
    {
        if (!to->held.empty() && now - to->held.front().since > longest_hold)
        {
            stale.push_back(to.get());
        }
    }
    for (auto* to : stale)
    {
        fail_held(*to);
    }
}

} // namespace jujubespan::peer
