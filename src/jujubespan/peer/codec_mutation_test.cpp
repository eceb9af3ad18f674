// Tests of messages between nodes with damaged bytes. An exception would end
// the process.

#include "jujubespan/peer/codec.hpp"

#include "jujubespan/peer/peer.pb.h"
#include "jujubespan/policy/mutation_testing.hpp"

#include <gtest/gtest.h>

namespace jujubespan::peer
{
namespace
{

using testing::mutations_per_message;
using testing::mutator;

const time_point now{std::chrono::seconds(1000)};

std::vector<v1::Envelope> messages()
{
    std::vector<v1::Envelope> result(3);
    mesh::routed_call call;
    call.id = 1;
    call.instance = "i-1";
    call.deadline = now + std::chrono::seconds(1);
    call.known_rate_limit = 17.3;
    call.request = {"POST", "/a/", {{"Host", "a"}}, "body"};
    encode(call, now, *result[0].mutable_call());
    mesh::routed_reply reply;
    reply.answer.response = {200, {{"Name", "value"}}, "body"};
    reply.rate_limit = 17.3;
    reply.leaving_incarnation = 5;
    reply.costs = {{"s", 1, 0.1}};
    reply.pressures = {{"s", 0.5}};
    encode(reply, *result[1].mutable_reply());
    const mesh::discovery_update update{
        {4, 6, false, {{"servers/a", 6, "{}", false, 2}}}, {}, now};
    encode(update, now, *result[2].mutable_delta());
    return result;
}

TEST(peer_codec, damaged_messages_are_decoded_or_dropped)
{
    mutator mutate(3);
    std::size_t decoded = 0;
    for (const auto& original : messages())
    {
        for (int i = 0; i < mutations_per_message; ++i)
        {
            v1::Envelope message;
            if (!message.ParseFromString(mutate(original.SerializeAsString())))
            {
                continue;
            }
            const auto call = decode_routed(message.call(), now);
            if (call)
            {
                EXPECT_GE(call->deadline, now);
            }
            const auto reply = decode_routed(message.reply());
            const auto update = decode_discovery(message.delta());
            decoded += call || reply || update ? 1 : 0;
        }
    }
    EXPECT_GT(decoded, 100U);
}

} // namespace
} // namespace jujubespan::peer
