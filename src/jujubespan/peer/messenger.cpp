#include "jujubespan/peer/messenger.hpp"

#include "jujubespan/config/endpoint.hpp"
#include "jujubespan/metrics/log.hpp"
#include "jujubespan/peer/counted_message.hpp"
#include "jujubespan/peer/peer.pb.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cstring>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <vector>

namespace jujubespan::peer
{

namespace
{

constexpr std::uint32_t protocol_version = 1;
constexpr duration max_pending_time = std::chrono::milliseconds(250);
constexpr std::size_t z85_public_key_size = 40;  // characters
constexpr std::size_t max_pending_messages = 64; // for one peer
// After ZeroMQ could not open a connection, the next attempt waits this long.
constexpr duration connect_retry_delay = std::chrono::seconds(1);

// Subtracts the time that a call was pending from its remaining time.
void subtract_pending_time(v1::Envelope& message, duration pending_time)
{
    if (!message.has_call())
    {
        return;
    }
    const auto pending_us = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(pending_time)
            .count());
    const auto remaining = message.call().remaining_us();
    message.mutable_call()->set_remaining_us(remaining -
                                             std::min(remaining, pending_us));
}

// The version is the first field of each message. Other bytes are not parsed:
// parsed as unknown fields, they occupy a multiple of their size.
bool begins_with_version(const zmq::message_t& payload)
{
    constexpr char version_tag = v1::Envelope::kVersionFieldNumber
                                 << 3; // wire type 0, a varint
    return !payload.empty() && *payload.data<char>() == version_tag;
}

// Descriptor of the connection over which a message arrived; negative if
// ZeroMQ does not know it, as with encryption.
int descriptor_of(zmq::message_t& payload)
{
    return zmq_msg_get(payload.handle(), ZMQ_SRCFD);
}

// Makes the addresses of monitors unique: ZeroMQ frees one some time after its
// socket is closed.
std::uint64_t next_monitor_number()
{
    static std::atomic<std::uint64_t> last{0};
    return ++last;
}

struct monitor_event
{
    std::uint16_t kind{0};
    std::uint32_t value{0}; // a descriptor in the events used here
};

// Nothing when no event is left.
std::optional<monitor_event> receive_monitor_event(zmq_socket& monitor)
{
    zmq::message_t event;
    zmq::message_t address;
    monitor_event result;
    if (!monitor.receive(event) || !monitor.receive(address))
    {
        return std::nullopt;
    }
    if (event.size() >= sizeof result.kind + sizeof result.value)
    {
        const auto* bytes = event.data<char>();
        std::memcpy(&result.kind, bytes, sizeof result.kind);
        std::memcpy(&result.value, bytes + sizeof result.kind,
                    sizeof result.value);
    }
    return result;
}

// Makes ZeroMQ close a connection. The event that named its descriptor may be
// outdated, so nothing is done unless it still belongs to the listening port.
void shut_down_connection(int descriptor, std::uint16_t listening_port)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    if (::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address),
                      &size) == 0 &&
        address.sin_family == AF_INET &&
        ntohs(address.sin_port) == listening_port)
    {
        // Reset: a peer that goes on sending would wait for room otherwise.
        const linger reset{1, 0};
        ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        ::shutdown(descriptor, SHUT_RD);
    }
}

} // namespace

// An outgoing connection to one peer.
struct messenger::connection
{
    struct pending_message
    {
        v1::Envelope message;
        time_point queued_at;
        std::unique_ptr<memory_charge> charge; // null: not counted
    };

    connection(messenger& owner, std::string peer, std::uint64_t monitor_number,
               time_point now)
        : id(std::move(peer)),
          monitor_name(fmt::format("inproc://monitor-{}-{}", fmt::ptr(&owner),
                                   monitor_number)),
          socket(owner.context_, zmq::socket_type::dealer,
                 [this, &owner] { owner.receive_from_connection(*this); }),
          monitor(owner.context_, zmq::socket_type::pair,
                  [this, &owner] { owner.receive_connection_events(*this); }),
          down_since(now)
    {
    }

    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    // Ends the monitor before its receiver is closed: the I/O thread, which all
    // connections share, would wait forever to deliver an event to a receiver
    // that no longer exists.
    ~connection() { zmq_socket_monitor(socket.raw().handle(), nullptr, 0); }

    std::string id;
    std::string monitor_name;
    zmq_socket socket;
    zmq_socket monitor;
    bool connected{false};
    time_point down_since; // valid while not connected
    std::deque<pending_message> pending;

    // Heartbeats while calls are unanswered.
    std::size_t unanswered_calls{0};
    bool answers_heartbeats{false};
    // Time of the first call, or of the last message from the peer, while a
    // call is unanswered. A cancelled call counts until the peer sends a
    // message: a dead peer must also be detected when all its calls are
    // cancelled early.
    std::optional<time_point> waiting_since;
    std::optional<time_point> heartbeat_sent_at;
};

messenger::messenger(zmq::context_t& context, std::string own_id,
                     std::uint64_t incarnation, const config::peer_keys& keys,
                     message_handler& handler,
                     const connection_options& options)
    : context_(context), own_id_(std::move(own_id)), incarnation_(incarnation),
      keys_(keys), handler_(handler), connection_options_(options),
      bound_socket_(context, zmq::socket_type::router,
                    [this] { receive_from_bound_socket(); }),
      bound_monitor_(context, zmq::socket_type::pair,
                     [this] { receive_incoming_events(); })
{
    configure_server(bound_socket_.raw(), keys_, connection_options_);
    watch_incoming();
}

messenger::~messenger()
{
    zmq_socket_monitor(bound_socket_.raw().handle(), nullptr, 0);
}

absl::Status messenger::bind(const config::endpoint& address)
{
    bound_port_ = address.port;
    try
    {
        bound_socket_.bind(fmt::format("tcp://{}", config::to_string(address)));
    }
    catch (const zmq::error_t& error)
    {
        return absl::UnavailableError(fmt::format("cannot listen on {}: {}",
                                                  config::to_string(address),
                                                  error.what()));
    }
    bound_socket_.start_watching();
    return absl::OkStatus();
}

void messenger::set_peers(std::span<const peer_address> peers)
{
    string_map<peer_address> new_addresses;
    for (const auto& peer : peers)
    {
        if (!config::parse_endpoint(peer.endpoint))
        {
            log(log_level::warn, "peer_address_rejected",
                "peer={} address=\"{}\"", peer.id, peer.endpoint);
            continue;
        }
        new_addresses[peer.id] = peer;
    }
    std::vector<std::string> removed_or_changed;
    for (const auto& [id, known] : addresses_)
    {
        const auto found = new_addresses.find(id);
        if (found == new_addresses.end() || !(found->second == known))
        {
            removed_or_changed.push_back(id);
        }
    }
    addresses_ = std::move(new_addresses);
    incoming_.set_peer_count(addresses_.size());
    for (const auto& id : removed_or_changed)
    {
        connect_failed_at_.erase(id);
        drop_connection(id);
    }
}

void messenger::drop_connection(const std::string& peer)
{
    const auto found = connections_.find(peer);
    if (found == connections_.end())
    {
        return;
    }
    const auto closed = std::move(found->second);
    connections_.erase(found);
    drop_pending(*closed);
    handler_.on_connection_lost(peer);
}

bool messenger::can_connect(std::string_view peer, time_point now) const
{
    const auto found = addresses_.find(peer);
    const auto failed = connect_failed_at_.find(peer);
    return found != addresses_.end() &&
           (!keys_.encryption_enabled() ||
            found->second.public_key.size() == z85_public_key_size) &&
           (failed == connect_failed_at_.end() ||
            now - failed->second >= connect_retry_delay);
}

messenger::connection* messenger::connect(std::string_view peer, time_point now)
{
    const auto& address = addresses_.find(peer)->second;
    const std::string id(peer);
    try
    {
        auto created = open_connection(address, now);
        auto* result = created.get();
        connections_[id] = std::move(created);
        connect_failed_at_.erase(id);
        return result;
    }
    // An address or a key that ZeroMQ rejects, or no free descriptor.
    catch (const zmq::error_t& error)
    {
        log(log_level::warn, "peer_connect_failed",
            "peer={} address=\"{}\" why=\"{}\"", id, address.endpoint,
            error.what());
        connect_failed_at_[id] = now;
        return nullptr;
    }
}

std::unique_ptr<messenger::connection>
messenger::open_connection(const peer_address& address, time_point now)
{
    auto created = std::make_unique<connection>(*this, address.id,
                                                next_monitor_number(), now);
    auto& raw = created->socket.raw();
    configure_client(raw, keys_, address.public_key, connection_options_);
    if (zmq_socket_monitor(raw.handle(), created->monitor_name.c_str(),
                           ZMQ_EVENT_HANDSHAKE_SUCCEEDED |
                               ZMQ_EVENT_DISCONNECTED) != 0)
    {
        throw zmq::error_t();
    }
    created->monitor.connect(created->monitor_name);
    created->monitor.start_watching();
    created->socket.connect(fmt::format("tcp://{}", address.endpoint));
    created->socket.start_watching();
    return created;
}

void messenger::set_envelope_header(v1::Envelope& message,
                                    std::string_view to) const
{
    message.set_version(protocol_version);
    message.set_from(own_id_);
    message.set_from_incarnation(incarnation_);
    message.set_to(std::string(to));
    message.set_discovery_revision(discovery_revision_);
    message.set_quarantine_digest(quarantine_digest_);
}

bool messenger::send(std::string_view peer, v1::Envelope& message,
                     time_point now)
{
    if (!can_connect(peer, now))
    {
        return false;
    }
    const auto found = connections_.find(peer);
    auto* const to =
        found == connections_.end() ? connect(peer, now) : found->second.get();
    if (to == nullptr)
    {
        return false;
    }
    set_envelope_header(message, peer);
    if (to->connected)
    {
        return send_envelope(*to, message);
    }
    // ZeroMQ keeps reconnecting by itself, so refusing messages does not delay
    // the recovery of the connection.
    const bool down_too_long = now - to->down_since > max_pending_time;
    if (down_too_long || to->pending.size() >= max_pending_messages)
    {
        return false;
    }
    to->pending.push_back({message, now, nullptr});
    if (connection_options_.memory)
    {
        auto& charge = to->pending.back().charge;
        charge = std::make_unique<memory_charge>(*connection_options_.memory);
        charge->set(message.ByteSizeLong());
    }
    ++pending_count_;
    return true;
}

bool messenger::send_envelope(connection& to, const v1::Envelope& message)
{
    auto payload = serialize_counted(message, connection_options_.memory);
    counters_.sent_bytes += payload.size();
    ++counters_.sent;
    if (message.has_call())
    {
        to.waiting_since = to.waiting_since.value_or(boot_clock::now());
        ++to.unanswered_calls;
    }
    else if (message.has_cancel() && to.unanswered_calls > 0)
    {
        --to.unanswered_calls;
    }
    return to.socket.send(std::move(payload));
}

bool messenger::make_room(const v1::Envelope& message) const
{
    const auto& memory = connection_options_.memory;
    return !memory || memory->make_room(message.ByteSizeLong());
}

bool messenger::send_heartbeat(connection& to)
{
    v1::Envelope message;
    message.mutable_heartbeat();
    set_envelope_header(message, to.id);
    return send_envelope(to, message);
}

void messenger::check_connections(time_point now)
{
    if (connection_options_.heartbeat_idle_connections)
    {
        return;
    }
    std::vector<std::string> dead;
    for (const auto& [id, to] : connections_)
    {
        const bool silent =
            to->connected && to->answers_heartbeats && to->waiting_since &&
            now - *to->waiting_since > connection_options_.heartbeat_interval;
        if (!silent)
        {
            continue;
        }
        if (!to->heartbeat_sent_at)
        {
            to->heartbeat_sent_at = now;
            send_heartbeat(*to);
        }
        else if (now - *to->heartbeat_sent_at >
                 connection_options_.heartbeat_timeout)
        {
            dead.push_back(id);
        }
    }
    for (const auto& id : dead)
    {
        drop_connection(id);
    }
}

bool messenger::send_reply(const routing_id& reply_to, std::string_view peer,
                           v1::Envelope& message)
{
    set_envelope_header(message, peer);
    auto payload = serialize_counted(message, connection_options_.memory);
    counters_.sent_bytes += payload.size();
    ++counters_.sent;
    return bound_socket_.send(zmq::message_t(reply_to.data(), reply_to.size()),
                              true) &&
           bound_socket_.send(std::move(payload));
}

void messenger::receive_from_bound_socket()
{
    while (true)
    {
        zmq::message_t sender_frame;
        zmq::message_t payload;
        if (!bound_socket_.receive(sender_frame))
        {
            return;
        }
        if (!sender_frame.more() || !bound_socket_.receive(payload))
        {
            ++counters_.malformed;
            continue;
        }
        const bool has_extra_frames = payload.more();
        zmq::message_t rest;
        for (bool more = has_extra_frames; more && bound_socket_.receive(rest);
             more = rest.more())
        {
        }
        if (has_extra_frames)
        {
            ++counters_.malformed;
            continue;
        }
        on_incoming_message(
            payload,
            dispatch(payload, routing_id(sender_frame.to_string()), nullptr));
    }
}

void messenger::receive_from_connection(connection& from)
{
    // The handler may close or replace this connection, so it is looked up
    // again before each message.
    const std::string id = from.id;
    const connection* expected = &from;
    while (true)
    {
        const auto found = connections_.find(id);
        zmq::message_t payload;
        if (found == connections_.end() || found->second.get() != expected ||
            !found->second->socket.receive(payload))
        {
            return;
        }
        dispatch(payload, {}, found->second.get());
    }
}

// Nodes send no malformed message. A stranger that sends long ones would fill
// the queues of ZeroMQ faster than they are parsed.
void messenger::on_incoming_message(zmq::message_t& payload,
                                    message_validity result)
{
    if (result == message_validity::malformed)
    {
        shut_down_connection(descriptor_of(payload), bound_port_);
    }
    else if (result == message_validity::accepted &&
             incoming_.has_unidentified())
    {
        incoming_.on_identified(descriptor_of(payload));
    }
}

messenger::message_validity messenger::dispatch(const zmq::message_t& payload,
                                                const routing_id& reply_to,
                                                connection* from)
{
    ++counters_.received;
    counters_.received_bytes += payload.size();
    v1::Envelope message;
    if (!begins_with_version(payload) ||
        !message.ParseFromArray(payload.data(),
                                static_cast<int>(payload.size())))
    {
        ++counters_.malformed;
        return message_validity::malformed;
    }
    if (message.version() != protocol_version)
    {
        ++counters_.wrong_version;
        return message_validity::not_for_this_node;
    }
    if (message.to() != own_id_)
    {
        ++counters_.wrong_receiver;
        return message_validity::not_for_this_node;
    }
    if (from != nullptr)
    {
        from->answers_heartbeats =
            from->answers_heartbeats || message.has_heartbeat();
        if (message.has_reply() && from->unanswered_calls > 0)
        {
            --from->unanswered_calls;
        }
        from->heartbeat_sent_at.reset();
        from->waiting_since.reset();
        if (from->unanswered_calls > 0)
        {
            from->waiting_since = boot_clock::now();
        }
    }
    handler_.on_message(message, reply_to);
    return message_validity::accepted;
}

void messenger::watch_incoming()
{
    const auto name =
        fmt::format("inproc://incoming-monitor-{}", next_monitor_number());
    if (zmq_socket_monitor(bound_socket_.raw().handle(), name.c_str(),
                           ZMQ_EVENT_ACCEPTED | ZMQ_EVENT_DISCONNECTED) != 0)
    {
        throw zmq::error_t();
    }
    bound_monitor_.connect(name);
    bound_monitor_.start_watching();
}

void messenger::receive_incoming_events()
{
    while (const auto event = receive_monitor_event(bound_monitor_))
    {
        const auto descriptor = static_cast<int>(event->value);
        if (event->kind == ZMQ_EVENT_DISCONNECTED)
        {
            incoming_.on_closed(descriptor);
        }
        else if (const auto surplus = incoming_.on_accepted(descriptor))
        {
            log(log_level::warn, "peer_connection_closed", "connections={}",
                incoming_.count());
            shut_down_connection(*surplus, bound_port_);
        }
    }
}

void messenger::receive_connection_events(connection& from)
{
    const std::string id = from.id;
    bool connection_lost = false;
    while (const auto event = receive_monitor_event(from.monitor))
    {
        if (event->kind == ZMQ_EVENT_HANDSHAKE_SUCCEEDED)
        {
            from.connected = true;
            from.unanswered_calls = 0;
            from.waiting_since.reset();
            from.heartbeat_sent_at.reset();
            if (!connection_options_.heartbeat_idle_connections)
            {
                send_heartbeat(from); // Finds out whether the peer answers it.
            }
        }
        else if (event->kind == ZMQ_EVENT_DISCONNECTED)
        {
            connection_lost = connection_lost || from.connected;
            from.connected = false;
            from.down_since = boot_clock::now();
        }
    }
    if (from.connected)
    {
        send_pending(from);
    }
    if (connection_lost)
    {
        handler_.on_connection_lost(id);
    }
}

void messenger::send_pending(connection& to)
{
    auto pending = std::move(to.pending);
    to.pending.clear();
    pending_count_ -= pending.size();
    const auto now = boot_clock::now();
    for (auto& item : pending)
    {
        subtract_pending_time(item.message, now - item.queued_at);
        if (!send_envelope(to, item.message))
        {
            handler_.on_message_unsent(to.id, item.message);
        }
    }
}

void messenger::drop_pending(connection& to)
{
    const auto pending = std::move(to.pending);
    to.pending.clear();
    pending_count_ -= pending.size();
    for (const auto& item : pending)
    {
        handler_.on_message_unsent(to.id, item.message);
    }
}

void messenger::expire_pending(time_point now)
{
    if (pending_count_ == 0)
    {
        return;
    }
    std::vector<connection*> expired;
    for (const auto& [id, to] : connections_)
    {
        if (!to->pending.empty() &&
            now - to->pending.front().queued_at > max_pending_time)
        {
            expired.push_back(to.get());
        }
    }
    for (auto* to : expired)
    {
        drop_pending(*to);
    }
}

} // namespace jujubespan::peer
