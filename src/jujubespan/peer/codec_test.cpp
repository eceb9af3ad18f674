// Tests of the encoding of routed calls and replies between nodes.

#include "jujubespan/peer/codec.hpp"

#include "jujubespan/peer/peer.pb.h"

#include <gtest/gtest.h>

#include <limits>

namespace jujubespan::peer
{
namespace
{

using namespace std::chrono_literals;
using engine::reason;

const time_point now{1000s};

mesh::routed_call make_call()
{
    mesh::routed_call call;
    call.id = 1;
    call.instance = "i-1";
    call.deadline = now + 1s;
    call.request = {"GET", "/", {}, ""};
    return call;
}

std::optional<mesh::routed_reply> transfer(const mesh::routed_reply& reply)
{
    v1::Reply message;
    encode(reply, message);
    return decode_routed(message);
}

TEST(peer_codec, call_carries_the_known_rate_limit)
{
    auto call = make_call();
    v1::Call message;
    encode(call, now, message);
    EXPECT_FALSE(decode_routed(message, now)->known_rate_limit);
    call.known_rate_limit = 0;
    encode(call, now, message);
    EXPECT_EQ(decode_routed(message, now)->known_rate_limit, 0);
}

TEST(peer_codec, call_carries_the_organisation)
{
    auto call = make_call();
    v1::Call message;
    encode(call, now, message);
    EXPECT_EQ(decode_routed(message, now)->organisation, "");
    const auto size_without = message.ByteSizeLong();
    call.organisation = "big";
    encode(call, now, message);
    EXPECT_EQ(decode_routed(message, now)->organisation, "big");
    EXPECT_EQ(message.ByteSizeLong(),
              size_without + 3 + call.organisation.size())
        << "absent without an organisation";
}

TEST(peer_codec, rate_limit_that_is_no_number_is_dropped)
{
    v1::Call message;
    encode(make_call(), now, message);
    message.set_known_rate_limit(std::numeric_limits<double>::quiet_NaN());
    EXPECT_FALSE(decode_routed(message, now)->known_rate_limit);
    message.set_known_rate_limit(-1);
    EXPECT_FALSE(decode_routed(message, now)->known_rate_limit);
}

// Nodes of the version before drop replies with a reason that they do not
// know, and the call would wait for its deadline.
TEST(peer_codec, rate_limit_refusal_is_understood_by_earlier_nodes)
{
    mesh::routed_reply reply;
    reply.answer = engine::make_refusal(reason::rate_limit, true);
    reply.rate_limit = 17.3;
    v1::Reply message;
    encode(reply, message);
    EXPECT_LE(message.reason(),
              static_cast<std::uint32_t>(reason::retry_budget));
    const auto received = transfer(reply);
    ASSERT_TRUE(received);
    EXPECT_EQ(received->answer.reason, reason::rate_limit);
    EXPECT_EQ(received->rate_limit, 17.3);
    EXPECT_TRUE(received->answer.elsewhere_may_help);
}

TEST(peer_codec, reply_carries_the_incarnation_that_leaves)
{
    mesh::routed_reply reply;
    reply.answer = engine::make_refusal(reason::leaving, true);
    EXPECT_FALSE(transfer(reply)->leaving_incarnation);
    reply.leaving_incarnation = 0;
    EXPECT_EQ(transfer(reply)->leaving_incarnation, 0U);
}

// Guards against bytes on the wire for servers without a load header, and
// against factors that a faulty node makes up.
TEST(peer_codec, reply_carries_the_slowness)
{
    mesh::routed_reply reply;
    reply.answer.response.status = 200;
    reply.answer.load = {3, 50};
    v1::Reply message;
    encode(reply, message);
    const auto bytes_without = message.ByteSizeLong();
    ASSERT_TRUE(transfer(reply));
    EXPECT_EQ(transfer(reply)->answer.load.slowness, 0);
    reply.answer.load.slowness = 2.5F;
    encode(reply, message);
    EXPECT_EQ(message.ByteSizeLong(), bytes_without + 6);
    EXPECT_EQ(transfer(reply)->answer.load.slowness, 2.5F);
    message.set_slowness(std::numeric_limits<float>::quiet_NaN());
    EXPECT_EQ(decode_routed(message)->answer.load.slowness, 0);
    message.set_slowness(-1);
    EXPECT_EQ(decode_routed(message)->answer.load.slowness, 0);
    message.set_slowness(1e30F);
    EXPECT_EQ(decode_routed(message)->answer.load.slowness, 16);
}

TEST(peer_codec, full_queue_without_a_rate_limit_stays_one)
{
    mesh::routed_reply reply;
    reply.answer = engine::make_refusal(reason::queue_full, true);
    const auto received = transfer(reply);
    ASSERT_TRUE(received);
    EXPECT_EQ(received->answer.reason, reason::queue_full);
    EXPECT_FALSE(received->rate_limit);
}

TEST(peer_codec, suspicion_report_is_restored)
{
    const mesh::suspicion_report report{{{7, 1500ms, {1, 2}}, {8, 0ms, {3}}},
                                        {{4, 20ms}}};
    v1::SuspicionReport message;
    encode(report, message);
    const auto decoded = decode_suspicion(message);
    ASSERT_TRUE(decoded);
    ASSERT_EQ(decoded->ends.size(), 2U);
    EXPECT_EQ(decoded->ends[0].id, 7U);
    EXPECT_EQ(decoded->ends[0].age, 1500ms);
    EXPECT_EQ(decoded->ends[0].running, report.ends[0].running);
    ASSERT_EQ(decoded->completions.size(), 1U);
    EXPECT_EQ(decoded->completions[0].request, 4U);
    EXPECT_EQ(decoded->completions[0].age, 20ms);
}

TEST(peer_codec, suspicion_report_without_bound_is_dropped)
{
    constexpr int too_many = 20'000;
    v1::SuspicionReport message;
    for (int i = 0; i < too_many; ++i)
    {
        message.add_ends();
    }
    EXPECT_FALSE(decode_suspicion(message));
    message.Clear();
    message.add_ends()->mutable_running()->Resize(too_many, 1);
    EXPECT_FALSE(decode_suspicion(message));
}

TEST(peer_codec, allowance_messages_are_restored)
{
    v1::AllowanceRequest request;
    encode(mesh::allowance_request{7, {{11, 2, 1, 3.5}}}, request);
    const auto asked = decode(request);
    ASSERT_TRUE(asked && asked->demands.size() == 1);
    EXPECT_EQ(asked->sequence, 7U);
    EXPECT_EQ(asked->demands[0].organisation, 11U);
    EXPECT_EQ(asked->demands[0].wanted, 2);
    EXPECT_EQ(asked->demands[0].held, 1);
    EXPECT_EQ(asked->demands[0].offered_rate, 3.5);
    v1::AllowanceGrant grant;
    encode(mesh::allowance_grant{7, {{11, 2, 1500us}}}, grant);
    const auto granted = decode(grant);
    ASSERT_TRUE(granted && granted->shares.size() == 1);
    EXPECT_EQ(granted->sequence, 7U);
    EXPECT_EQ(granted->shares[0].organisation, 11U);
    EXPECT_EQ(granted->shares[0].tokens, 2);
    EXPECT_EQ(granted->shares[0].next_token, 2ms) << "zero means none missing";
}

// One such number would empty a bucket or admit everything.
TEST(peer_codec, allowance_messages_with_invalid_numbers_are_dropped)
{
    for (const float value : {std::numeric_limits<float>::quiet_NaN(),
                              std::numeric_limits<float>::infinity(),
                              std::numeric_limits<float>::max(), -1.0F})
    {
        for (int field = 0; field < 3; ++field)
        {
            v1::AllowanceRequest request;
            auto* demand = request.add_demands();
            EXPECT_TRUE(decode(request));
            demand->set_wanted(field == 0 ? value : 0);
            demand->set_held(field == 1 ? value : 0);
            demand->set_offered_rate(field == 2 ? value : 0);
            EXPECT_FALSE(decode(request));
        }
        v1::AllowanceGrant grant;
        grant.add_shares()->set_tokens(value);
        EXPECT_FALSE(decode(grant));
    }
    v1::AllowanceGrant late;
    late.add_shares()->set_next_token_ms(4'000'000'000U);
    EXPECT_FALSE(decode(late));
}

TEST(peer_codec, allowance_messages_that_are_too_long_are_dropped)
{
    v1::AllowanceRequest request;
    v1::AllowanceGrant grant;
    for (int i = 0; i < 5000; ++i)
    {
        request.add_demands();
        grant.add_shares();
    }
    EXPECT_FALSE(decode(request));
    EXPECT_FALSE(decode(grant));
}

// A node of an earlier version drops replies with reasons that it does not
// know.
TEST(peer_codec, quarantined_reply_is_understood_by_earlier_nodes)
{
    mesh::routed_reply reply;
    reply.answer = engine::make_refusal(engine::reason::quarantined);
    v1::Reply message;
    encode(reply, message);
    EXPECT_EQ(message.reason(),
              static_cast<std::uint32_t>(engine::reason::queue_full));
    EXPECT_EQ(decode_routed(message)->answer.reason,
              engine::reason::quarantined);
    reply.answer = engine::make_unknown_outcome(engine::reason::backend_failed);
    reply.backend_ended = true;
    v1::Reply ended;
    encode(reply, ended);
    EXPECT_TRUE(decode_routed(ended)->backend_ended);
}

// A reply that cannot be held must not look like one that was not run.
TEST(codec, reply_without_its_response_has_an_unknown_outcome)
{
    mesh::routed_reply reply;
    reply.answer.response = {200, {{"A", "b"}}, "body"};
    reply.reached_backend = true;
    v1::Reply wire;
    encode(reply, wire);
    remove_response(wire);
    const auto decoded = decode_routed(wire);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->answer.result, engine::outcome::unknown);
    EXPECT_EQ(decoded->answer.reason, engine::reason::in_flight_bound);
    EXPECT_TRUE(decoded->answer.response.body.empty());
    EXPECT_TRUE(decoded->answer.response.headers.empty());
    EXPECT_TRUE(decoded->reached_backend);
}

} // namespace
} // namespace jujubespan::peer
