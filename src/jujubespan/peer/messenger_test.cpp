// Messages between nodes over real sockets.

#include "jujubespan/peer/messenger.hpp"

#include "jujubespan/peer/authenticator.hpp"
#include "jujubespan/peer/codec.hpp"
#include "jujubespan/peer/peer.pb.h"

#include "jujubespan/policy/event_loop_testing.hpp"

#include <gtest/gtest.h>

#include <array>
#include <functional>

namespace jujubespan::peer
{
namespace
{

using testing::app;
using testing::wait_for;

class recorder final : public message_handler
{
public:
    void on_message(const v1::Envelope& message, const route& from) override
    {
        messages.push_back(message);
        last_route = from;
    }
    void on_lost(std::string_view peer) override { lost.emplace_back(peer); }
    void on_unsent(std::string_view peer,
                   const v1::Envelope& /*message*/) override
    {
        unsent.emplace_back(peer);
    }

    std::vector<v1::Envelope> messages;
    std::vector<std::string> lost;
    std::vector<std::string> unsent;
    route last_route;
};

v1::Envelope call(std::uint64_t id)
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
        b.raw_port = bind_free_port(b.target);
        a.target.set_peers(std::vector<peer_address>{
            {"b", "127.0.0.1:" + std::to_string(b.raw_port), ""},
            {"gone", "127.0.0.1:9", ""}});
    }

    struct side
    {
        side(zmq::context_t& context, const std::string& id)
            : target(context, id, 1, {}, handler)
        {
        }
        recorder handler;
        messenger target;
        std::uint16_t raw_port{0};
    };

    QCoreApplication& first_of_all{app()};
    zmq::context_t context{1};
    side a{context, "a"};
    side b{context, "b"};
};

TEST_F(messengers, holds_a_message_until_connected_and_answers)
{
    auto message = call(7);
    EXPECT_TRUE(a.target.send("b", message, boot_clock::now()));
    ASSERT_TRUE(wait_for([&] { return b.handler.messages.size() == 1; }));
    EXPECT_EQ(b.handler.messages[0].from(), "a");
    v1::Envelope reply;
    reply.mutable_reply()->set_id(7);
    EXPECT_TRUE(b.target.reply(b.handler.last_route, "a", reply));
    ASSERT_TRUE(wait_for([&] { return a.handler.messages.size() == 1; }));
    EXPECT_TRUE(a.handler.last_route.empty());
}

TEST_F(messengers, an_unreachable_peer_is_reported_unsent)
{
    auto message = call(7);
    EXPECT_TRUE(a.target.send("gone", message, boot_clock::now()));
    EXPECT_FALSE(a.target.send("stranger", message, boot_clock::now()));
    wait_for([] { return false; }, 50);
    a.target.expire(boot_clock::now() + std::chrono::seconds(1));
    EXPECT_EQ(a.handler.unsent, (std::vector<std::string>{"gone"}));
}

TEST_F(messengers, drops_what_is_not_for_this_node)
{
    zmq::socket_t stranger(context, zmq::socket_type::dealer);
    stranger.set(zmq::sockopt::linger, 0); // Else the context waits for it.
    stranger.connect("tcp://127.0.0.1:" + std::to_string(b.raw_port));
    const auto send = [&](const std::string& bytes)
    { stranger.send(zmq::buffer(bytes), zmq::send_flags::none); };
    send("these bytes are not protobuf");
    auto unknown = call(1);
    unknown.set_version(2);
    unknown.set_to("b");
    send(unknown.SerializeAsString());
    auto misaddressed = call(1);
    misaddressed.set_version(1);
    misaddressed.set_to("c");
    send(misaddressed.SerializeAsString());
    stranger.send(zmq::str_buffer("two"), zmq::send_flags::sndmore);
    stranger.send(zmq::str_buffer("parts"), zmq::send_flags::none);
    const auto& counters = b.target.counters();
    EXPECT_TRUE(wait_for(
        [&]
        {
            return counters.malformed == 2 && counters.wrong_version == 1 &&
                   counters.wrong_receiver == 1;
        }));
    EXPECT_TRUE(b.handler.messages.empty());
}

TEST_F(messengers, tells_a_lost_connection)
{
    {
        side c(context, "c");
        c.raw_port = bind_free_port(c.target);
        a.target.set_peers(std::vector<peer_address>{
            {"c", "127.0.0.1:" + std::to_string(c.raw_port), ""}});
        auto message = call(1);
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

// A server that allows one key, and a client with keys of its own.
class encrypted : public ::testing::Test
{
protected:
    bool reaches(const key_pair& client, const std::string& server_key)
    {
        recorder heard;
        messenger target(context, "a", 1, client.keys(), heard);
        target.set_peers(std::vector<peer_address>{
            {"b", "127.0.0.1:" + std::to_string(port), server_key}});
        auto message = call(1);
        target.send("b", message, boot_clock::now());
        const auto before = server_heard.messages.size();
        return wait_for([&] { return server_heard.messages.size() > before; },
                        500);
    }

    QCoreApplication& first_of_all{app()};
    zmq::context_t context{1};
    authenticator keys{context};
    key_pair server_keys;
    key_pair friend_keys;
    recorder server_heard;
    messenger server{context, "b", 1, server_keys.keys(), server_heard};
    std::uint16_t port{bind_free_port(server)};
};

TEST_F(encrypted, only_allowed_keys_get_through)
{
    const std::string server_key(server_keys.public_text.data());
    keys.allow(std::vector<std::string>{friend_keys.public_text.data()});
    EXPECT_TRUE(reaches(friend_keys, server_key));
    EXPECT_FALSE(reaches(key_pair(), server_key)); // A stranger.
    EXPECT_GE(keys.refused(), 1U);
    const key_pair other;
    EXPECT_FALSE(reaches(friend_keys, other.public_text.data()));
    EXPECT_FALSE(reaches(friend_keys, "")); // Its key is not published.
    // Renewal: the old and the new key are allowed side by side.
    const key_pair renewed;
    keys.allow(std::vector<std::string>{friend_keys.public_text.data(),
                                        renewed.public_text.data()});
    EXPECT_TRUE(reaches(renewed, server_key));
    EXPECT_TRUE(reaches(friend_keys, server_key));
}

TEST_F(encrypted, plain_messages_get_nothing)
{
    zmq::socket_t stranger(context, zmq::socket_type::dealer);
    stranger.set(zmq::sockopt::linger, 0); // Else the context waits for it.
    stranger.connect("tcp://127.0.0.1:" + std::to_string(port));
    auto message = call(1);
    message.set_version(1);
    message.set_to("b");
    stranger.send(zmq::buffer(message.SerializeAsString()),
                  zmq::send_flags::dontwait);
    wait_for([] { return false; }, 300);
    EXPECT_TRUE(server_heard.messages.empty());
    EXPECT_EQ(server.counters().received, 0U);
}

TEST(codec, refuses_fields_out_of_range)
{
    v1::Call good;
    good.set_method("GET");
    good.set_target("/");
    const time_point now(std::chrono::seconds(1000));
    EXPECT_TRUE(decode(good, now));
    auto bad = good;
    bad.set_request_class(9);
    EXPECT_FALSE(decode(bad, now));
    bad = good;
    bad.set_shed_key(admit_all_level);
    EXPECT_FALSE(decode(bad, now));
    bad = good;
    bad.set_remaining_us(~0ULL);
    EXPECT_FALSE(decode(bad, now));
    v1::Reply reply;
    reply.set_outcome(0);
    EXPECT_FALSE(decode(reply)); // Answered, without a status.
    reply.set_outcome(17);
    reply.set_status(200);
    EXPECT_FALSE(decode(reply));
}

TEST(codec, an_answer_is_read_back_whole)
{
    engine::answer value;
    value.response = {201, {{"A", "b"}}, std::string("\0body", 5)};
    value.levels = {{"stock", 77}};
    value.credits_unspent = 2;
    v1::Reply message;
    encode(value, message);
    const auto back = decode(message);
    ASSERT_TRUE(back);
    EXPECT_EQ(back->response, value.response);
    EXPECT_EQ(back->levels, value.levels);
    EXPECT_EQ(back->credits_unspent, 2U);
}

} // namespace
} // namespace jujubespan::peer
