// Tests of messages between nodes over real sockets, with and without
// encryption, and of the message codec.

#include "jujubespan/peer/messenger.hpp"

#include "jujubespan/peer/authenticator.hpp"
#include "jujubespan/peer/codec.hpp"
#include "jujubespan/peer/peer.pb.h"

#include "jujubespan/policy/event_loop_testing.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <csignal>
#include <functional>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>

namespace jujubespan::peer
{
namespace
{

using testing::app;
using testing::wait_for;

class recorder final : public message_handler
{
public:
    void on_message(const v1::Envelope& message,
                    const routing_id& reply_to) override
    {
        messages.push_back(message);
        last_reply_to = reply_to;
    }
    void on_connection_lost(std::string_view peer) override
    {
        lost.emplace_back(peer);
    }
    void on_message_unsent(std::string_view peer,
                           const v1::Envelope& /*message*/) override
    {
        unsent.emplace_back(peer);
    }

    std::vector<v1::Envelope> messages;
    std::vector<std::string> lost;
    std::vector<std::string> unsent;
    routing_id last_reply_to;
};

v1::Envelope make_call(std::uint64_t id)
{
    v1::Envelope message;
    message.mutable_call()->set_id(id);
    return message;
}

std::uint16_t bind_free_port(messenger& target)
{
    for (std::uint16_t port = 23100; port < 23200; ++port)
    {
        if (target.bind({"127.0.0.1", port}).ok())
        {
            return port;
        }
    }
    return 0;
}

class messengers : public ::testing::Test
{
protected:
    messengers()
    {
        b.port = bind_free_port(b.target);
        a.target.set_peers(std::vector<peer_address>{
            {"b", "127.0.0.1:" + std::to_string(b.port), ""},
            {"gone", "127.0.0.1:9", ""}});
    }

    struct test_node
    {
        test_node(zmq::context_t& context, const std::string& id)
            : target(context, id, 1, {}, handler)
        {
        }
        recorder handler;
        messenger target;
        std::uint16_t port{0};
    };

    QCoreApplication& application{app()};
    zmq::context_t context{1};
    test_node a{context, "a"};
    test_node b{context, "b"};
};

TEST_F(messengers, sends_pending_messages_once_connected_and_replies)
{
    auto message = make_call(7);
    EXPECT_TRUE(a.target.send("b", message, boot_clock::now()));
    ASSERT_TRUE(wait_for([&] { return b.handler.messages.size() == 1; }));
    EXPECT_EQ(b.handler.messages[0].from(), "a");
    v1::Envelope reply;
    reply.mutable_reply()->set_id(7);
    EXPECT_TRUE(b.target.send_reply(b.handler.last_reply_to, "a", reply));
    ASSERT_TRUE(wait_for([&] { return a.handler.messages.size() == 1; }));
    EXPECT_TRUE(a.handler.last_reply_to.empty());
}

TEST_F(messengers, reports_messages_to_an_unreachable_peer_as_unsent)
{
    auto message = make_call(7);
    EXPECT_TRUE(a.target.send("gone", message, boot_clock::now()));
    EXPECT_FALSE(a.target.send("stranger", message, boot_clock::now()));
    wait_for([] { return false; }, 50);
    a.target.expire_pending(boot_clock::now() + std::chrono::seconds(1));
    EXPECT_EQ(a.handler.unsent, (std::vector<std::string>{"gone"}));
}

// Guards against an address that ZeroMQ rejects ending the process, since its
// exception is not caught.
TEST_F(messengers, message_to_a_malformed_address_is_not_sent)
{
    a.target.set_peers(
        std::vector<peer_address>{{"dot", ".8:7620", ""},
                                  {"bracket", "]:7620", ""},
                                  {"port", "10.0.0.1:70000", ""}});
    auto message = make_call(7);
    for (const auto* peer : {"dot", "bracket", "port"})
    {
        EXPECT_FALSE(a.target.send(peer, message, boot_clock::now())) << peer;
    }
    EXPECT_EQ(a.target.connection_count(), 0U);
}

// Guards against an address that ends early for the check but not for ZeroMQ,
// whose exception would end the process.
TEST_F(messengers, message_to_an_address_with_a_zero_byte_is_not_sent)
{
    using namespace std::string_literals;
    a.target.set_peers(std::vector<peer_address>{
        {"host", "127.0.0.1\0:7620"s, ""}, {"only", "\0:7620"s, ""}});
    auto message = make_call(7);
    for (const auto* peer : {"host", "only"})
    {
        EXPECT_FALSE(a.target.send(peer, message, boot_clock::now())) << peer;
    }
    EXPECT_EQ(a.target.connection_count(), 0U);
}

// Guards against the exception that ZeroMQ throws at a public key of the right
// length with a character outside of its alphabet.
TEST(messenger_keys, message_to_a_peer_with_a_malformed_key_is_not_sent)
{
    app();
    zmq::context_t context{1};
    recorder handler;
    const config::peer_keys keys{
        std::string(40, '0'), std::string(40, '0'), {}};
    ASSERT_TRUE(keys.encryption_enabled());
    messenger target(context, "a", 1, keys, handler);
    target.set_peers(std::vector<peer_address>{
        {"malformed", "127.0.0.1:9", std::string(40, '"')},
        {"valid", "127.0.0.1:9", std::string(40, '0')}});
    auto message = make_call(7);
    EXPECT_FALSE(target.send("malformed", message, boot_clock::now()));
    EXPECT_EQ(target.connection_count(), 0U);
    EXPECT_TRUE(target.send("valid", message, boot_clock::now()));
}

// Takes all free descriptors of the process while it exists.
class descriptor_shortage
{
public:
    descriptor_shortage()
    {
        getrlimit(RLIMIT_NOFILE, &original_);
        constexpr rlim_t low_limit = 256;
        rlimit lowered = original_;
        lowered.rlim_cur = std::min(original_.rlim_cur, low_limit);
        setrlimit(RLIMIT_NOFILE, &lowered);
        for (int next = ::dup(0); next >= 0; next = ::dup(0))
        {
            taken_.push_back(next);
        }
    }

    descriptor_shortage(const descriptor_shortage&) = delete;
    descriptor_shortage& operator=(const descriptor_shortage&) = delete;

    ~descriptor_shortage()
    {
        for (const int descriptor : taken_)
        {
            ::close(descriptor);
        }
        setrlimit(RLIMIT_NOFILE, &original_);
    }

    // Leaves this many descriptors for others.
    void release(std::size_t count)
    {
        for (; count > 0 && !taken_.empty(); --count)
        {
            ::close(taken_.back());
            taken_.pop_back();
        }
    }

private:
    rlimit original_{};
    std::vector<int> taken_;
};

// Guards against a lack of descriptors ending the process when it connects to
// a peer, at whichever step the last descriptor is used.
TEST_F(messengers, message_without_a_free_descriptor_is_not_sent)
{
    const auto now = boot_clock::now();
    {
        descriptor_shortage shortage;
        for (int step = 0; step < 5; ++step)
        {
            auto message = make_call(7);
            const auto later =
                now + step * std::chrono::seconds(2); // after the retry delay
            if (a.target.send("b", message, later))
            {
                break;
            }
            EXPECT_EQ(a.target.connection_count(), 0U) << step;
            shortage.release(1);
        }
    }
    auto message = make_call(8);
    ASSERT_TRUE(wait_for(
        [&]
        {
            a.target.send("b", message, now + std::chrono::seconds(20));
            return !b.handler.messages.empty();
        }));
    EXPECT_EQ(b.handler.messages.back().from(), "a");
}

// Each connection uses three ZeroMQ sockets. The default limit of a context,
// 1023 sockets, ended the process in a fleet of this size.
TEST(messenger_limits, connects_to_every_node_of_a_large_fleet)
{
    app();
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
    auto context = make_context();
    recorder handler;
    messenger target(context, "a", 1, {}, handler);
    constexpr int peer_count = 400;
    std::vector<peer_address> peers;
    peers.reserve(peer_count);
    for (int i = 0; i < peer_count; ++i)
    {
        peers.push_back({"node-" + std::to_string(i), "127.0.0.1:9", ""});
    }
    target.set_peers(peers);
    for (const auto& peer : peers)
    {
        auto message = make_call(1);
        EXPECT_TRUE(target.send(peer.id, message, boot_clock::now()));
    }
    EXPECT_EQ(target.connection_count(), peers.size());
}

// A signal handler that runs during a ZeroMQ call makes the call fail with
// EINTR; the message must still arrive, and the process must not end.
TEST_F(messengers, continue_when_signals_interrupt_them)
{
    struct sigaction action
    {
    };
    action.sa_handler = [](int /*signal*/) {};
    sigaction(SIGALRM, &action, nullptr);
    const itimerval interval{{0, 50}, {0, 50}};
    setitimer(ITIMER_REAL, &interval, nullptr);
    constexpr std::size_t message_count = 20'000;
    std::size_t sent = 0;
    const bool arrived = wait_for(
        [&]
        {
            for (int i = 0; i < 50 && sent < message_count; ++i)
            {
                auto message = make_call(sent + 1);
                sent += a.target.send("b", message, boot_clock::now()) ? 1 : 0;
            }
            return b.handler.messages.size() == message_count;
        },
        30'000);
    const itimerval stop{};
    setitimer(ITIMER_REAL, &stop, nullptr);
    EXPECT_TRUE(arrived) << b.handler.messages.size() << " of " << sent;
}

// A messenger without heartbeats on idle connections, and a peer that answers
// only as far as a test lets it.
class silent_peer : public ::testing::Test
{
protected:
    silent_peer()
    {
        app();
        peer.set(zmq::sockopt::linger, 0);
        peer.bind("tcp://127.0.0.1:*");
        target.set_peers(std::vector<peer_address>{
            {"b", peer.get(zmq::sockopt::last_endpoint).substr(6), ""}});
        auto message = make_call(7);
        target.send("b", message, boot_clock::now());
    }

    // Receives what has arrived and answers heartbeats. Returns the number of
    // heartbeats.
    int receive(bool answer_heartbeats)
    {
        int heartbeats = 0;
        zmq::message_t sender;
        zmq::message_t payload;
        while (peer.recv(sender, zmq::recv_flags::dontwait) &&
               peer.recv(payload))
        {
            v1::Envelope message;
            message.ParseFromArray(payload.data(),
                                   static_cast<int>(payload.size()));
            calls += message.has_call() ? 1 : 0;
            heartbeats += message.has_heartbeat() ? 1 : 0;
            if (message.has_heartbeat() && answer_heartbeats)
            {
                v1::Envelope answer;
                answer.mutable_heartbeat();
                send(sender, answer);
            }
            last_sender.copy(sender);
        }
        return heartbeats;
    }

    void send(zmq::message_t& to, v1::Envelope& message)
    {
        message.set_version(1);
        message.set_to("a");
        message.set_from("b");
        zmq::message_t copy;
        copy.copy(to);
        peer.send(copy, zmq::send_flags::sndmore);
        peer.send(zmq::buffer(message.SerializeAsString()),
                  zmq::send_flags::none);
    }

    // Runs the messenger for a time; its peer answers heartbeats or not.
    int run_for(int milliseconds, bool answer_heartbeats)
    {
        int heartbeats = 0;
        wait_for(
            [&]
            {
                heartbeats += receive(answer_heartbeats);
                target.check_connections(boot_clock::now());
                return false;
            },
            milliseconds);
        return heartbeats;
    }

    zmq::context_t context{1};
    zmq::socket_t peer{context, zmq::socket_type::router};
    zmq::message_t last_sender;
    int calls{0};
    recorder handler;
    messenger target{context,
                     "a",
                     1,
                     {},
                     handler,
                     {.heartbeat_interval = std::chrono::milliseconds(100),
                      .heartbeat_timeout = std::chrono::milliseconds(200),
                      .heartbeat_idle_connections = false}};
};

TEST_F(silent_peer, that_answers_heartbeats_keeps_its_unanswered_calls)
{
    EXPECT_GE(run_for(900, true), 4);
    EXPECT_EQ(calls, 1);
    EXPECT_TRUE(handler.lost.empty());
}

TEST_F(silent_peer, that_stops_answering_is_lost)
{
    run_for(300, true);
    EXPECT_TRUE(handler.lost.empty());
    run_for(600, false);
    EXPECT_EQ(handler.lost, std::vector<std::string>{"b"});
    EXPECT_EQ(target.connection_count(), 0U);
}

// Clients with short deadlines leave before a dead peer is noticed, and their
// calls are cancelled.
TEST_F(silent_peer, whose_calls_were_all_cancelled_is_lost)
{
    run_for(300, true);
    v1::Envelope cancel;
    cancel.mutable_cancel()->set_id(7);
    target.send("b", cancel, boot_clock::now());
    run_for(600, false);
    EXPECT_EQ(handler.lost, std::vector<std::string>{"b"});
}

// Each node of a large fleet has a connection to every other one.
TEST_F(silent_peer, gets_no_heartbeats_while_the_connection_is_idle)
{
    run_for(300, true);
    v1::Envelope reply;
    reply.mutable_reply()->set_id(7);
    send(last_sender, reply);
    run_for(100, true);
    EXPECT_EQ(run_for(500, false), 0);
    EXPECT_TRUE(handler.lost.empty());
}

// Nodes of an earlier version do not answer heartbeats.
TEST_F(silent_peer, that_never_answered_a_heartbeat_is_not_lost)
{
    run_for(900, false);
    EXPECT_EQ(calls, 1);
    EXPECT_TRUE(handler.lost.empty());
}

// Accepts connections and closes each at once.
class closing_listener
{
public:
    closing_listener()
        : descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        auto* generic = reinterpret_cast<sockaddr*>(&address);
        EXPECT_EQ(::bind(descriptor_, generic, size), 0);
        EXPECT_EQ(::listen(descriptor_, SOMAXCONN), 0);
        ::getsockname(descriptor_, generic, &size);
        port = ntohs(address.sin_port);
        thread_ = std::thread(
            [this]
            {
                int accepted = 0;
                while ((accepted = ::accept(descriptor_, nullptr, nullptr)) >=
                       0)
                {
                    ::close(accepted);
                }
            });
    }

    closing_listener(const closing_listener&) = delete;
    closing_listener& operator=(const closing_listener&) = delete;

    ~closing_listener()
    {
        ::shutdown(descriptor_, SHUT_RDWR); // Ends accept().
        thread_.join();
        ::close(descriptor_);
    }

    std::uint16_t port{0};

private:
    int descriptor_;
    std::thread thread_;
};

// Guards against the I/O thread of ZeroMQ, which all connections share, waiting
// forever to report an event of a connection that is being closed.
TEST_F(messengers, dropping_connections_that_fail_does_not_stop_the_others)
{
    closing_listener listener;
    std::vector<peer_address> peers{
        {"b", "127.0.0.1:" + std::to_string(b.port), ""}};
    const std::vector<peer_address> only_b = peers;
    constexpr int failing_peer_count = 50;
    for (int i = 0; i < failing_peer_count; ++i)
    {
        peers.push_back({"failing-" + std::to_string(i),
                         "127.0.0.1:" + std::to_string(listener.port), ""});
    }
    constexpr int rounds = 100;
    for (int round = 0; round < rounds; ++round)
    {
        a.target.set_peers(peers);
        const auto now = boot_clock::now();
        for (const auto& peer : peers)
        {
            auto message = make_call(static_cast<std::uint64_t>(round));
            a.target.send(peer.id, message, now);
        }
        wait_for([] { return false; }, round % 5);
        a.target.set_peers(only_b);
        ASSERT_TRUE(wait_for(
            [&]
            {
                return !b.handler.messages.empty() &&
                       b.handler.messages.back().call().id() ==
                           static_cast<std::uint64_t>(round);
            }))
            << "round " << round;
    }
}

TEST_F(messengers, drops_invalid_and_misaddressed_messages)
{
    zmq::socket_t client(context, zmq::socket_type::dealer);
    // Without this, closing the context waits for unsent messages.
    client.set(zmq::sockopt::linger, 0);
    client.connect("tcp://127.0.0.1:" + std::to_string(b.port));
    const auto send = [&](const std::string& bytes)
    { client.send(zmq::buffer(bytes), zmq::send_flags::none); };
    send("these bytes are not protobuf");
    auto unsupported = make_call(1);
    unsupported.set_version(2);
    unsupported.set_to("b");
    send(unsupported.SerializeAsString());
    auto misaddressed = make_call(1);
    misaddressed.set_version(1);
    misaddressed.set_to("c");
    send(misaddressed.SerializeAsString());
    client.send(zmq::str_buffer("two"), zmq::send_flags::sndmore);
    client.send(zmq::str_buffer("parts"), zmq::send_flags::none);
    const auto& counters = b.target.counters();
    EXPECT_TRUE(wait_for(
        [&]
        {
            return counters.malformed == 2 && counters.wrong_version == 1 &&
                   counters.wrong_receiver == 1;
        }));
    EXPECT_TRUE(b.handler.messages.empty());
}

TEST_F(messengers, reports_a_lost_connection)
{
    {
        test_node c(context, "c");
        c.port = bind_free_port(c.target);
        a.target.set_peers(std::vector<peer_address>{
            {"c", "127.0.0.1:" + std::to_string(c.port), ""}});
        auto message = make_call(1);
        a.target.send("c", message, boot_clock::now());
        ASSERT_TRUE(wait_for([&] { return c.handler.messages.size() == 1; }));
    }
    EXPECT_TRUE(wait_for([&] { return !a.handler.lost.empty(); }));
}

struct key_pair
{
    key_pair() { zmq_curve_keypair(public_text.data(), secret_text.data()); }

    [[nodiscard]] config::peer_keys keys() const
    {
        return {public_text.data(), secret_text.data(), {}};
    }

    std::array<char, 41> public_text{};
    std::array<char, 41> secret_text{};
};

// A server with CURVE encryption that accepts only allowed client keys.
class encrypted : public ::testing::Test
{
protected:
    bool can_deliver(const key_pair& client, const std::string& server_key)
    {
        recorder handler;
        messenger target(context, "a", 1, client.keys(), handler);
        target.set_peers(std::vector<peer_address>{
            {"b", "127.0.0.1:" + std::to_string(port), server_key}});
        auto message = make_call(1);
        target.send("b", message, boot_clock::now());
        const auto before = server_handler.messages.size();
        return wait_for([&] { return server_handler.messages.size() > before; },
                        500);
    }

    QCoreApplication& application{app()};
    zmq::context_t context{1};
    authenticator authentication{context};
    key_pair server_keys;
    key_pair allowed_keys;
    recorder server_handler;
    messenger server{context, "b", 1, server_keys.keys(), server_handler};
    std::uint16_t port{bind_free_port(server)};
};

TEST_F(encrypted, accepts_only_allowed_keys)
{
    const std::string server_key(server_keys.public_text.data());
    authentication.set_allowed_keys(
        std::vector<std::string>{allowed_keys.public_text.data()});
    EXPECT_TRUE(can_deliver(allowed_keys, server_key));
    EXPECT_FALSE(can_deliver(key_pair(), server_key)); // Not an allowed key.
    EXPECT_GE(authentication.refused_connections(), 1U);
    const key_pair other;
    EXPECT_FALSE(can_deliver(allowed_keys, other.public_text.data()));
    EXPECT_FALSE(can_deliver(allowed_keys, "")); // The server key is unknown.
    // During a key renewal, the old and the new key are both allowed.
    const key_pair renewed;
    authentication.set_allowed_keys(std::vector<std::string>{
        allowed_keys.public_text.data(), renewed.public_text.data()});
    EXPECT_TRUE(can_deliver(renewed, server_key));
    EXPECT_TRUE(can_deliver(allowed_keys, server_key));
}

TEST_F(encrypted, drops_unencrypted_messages)
{
    zmq::socket_t client(context, zmq::socket_type::dealer);
    // Without this, closing the context waits for unsent messages.
    client.set(zmq::sockopt::linger, 0);
    client.connect("tcp://127.0.0.1:" + std::to_string(port));
    auto message = make_call(1);
    message.set_version(1);
    message.set_to("b");
    client.send(zmq::buffer(message.SerializeAsString()),
                zmq::send_flags::dontwait);
    wait_for([] { return false; }, 300);
    EXPECT_TRUE(server_handler.messages.empty());
    EXPECT_EQ(server.counters().received, 0U);
}

TEST(codec, rejects_fields_out_of_range)
{
    v1::Call valid;
    valid.set_method("GET");
    valid.set_target("/");
    const time_point now(std::chrono::seconds(1000));
    EXPECT_TRUE(decode(valid, now));
    auto invalid = valid;
    invalid.set_request_class(9);
    EXPECT_FALSE(decode(invalid, now));
    invalid = valid;
    invalid.set_shed_key(admit_all_level);
    EXPECT_FALSE(decode(invalid, now));
    invalid = valid;
    invalid.set_remaining_us(~0ULL);
    EXPECT_FALSE(decode(invalid, now));
    v1::Reply reply;
    reply.set_outcome(0);
    EXPECT_FALSE(decode(reply)); // Outcome `answered` without a status.
    reply.set_outcome(17);
    reply.set_status(200);
    EXPECT_FALSE(decode(reply));
}

TEST(codec, round_trips_an_answer)
{
    engine::answer answer;
    answer.response = {201, {{"A", "b"}}, std::string("\0body", 5)};
    answer.levels = {{"stock", 77}};
    answer.credits_unspent = 2;
    v1::Reply message;
    encode(answer, message);
    const auto decoded = decode(message);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->response, answer.response);
    EXPECT_EQ(decoded->levels, answer.levels);
    EXPECT_EQ(decoded->credits_unspent, 2U);
}

} // namespace
} // namespace jujubespan::peer
