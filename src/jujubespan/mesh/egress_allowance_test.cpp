// Tests of the egress with allowances: requests that wait for a token, refusals
// and refunds.

#include "jujubespan/mesh/egress.hpp"

#include <gtest/gtest.h>

#include <map>

namespace jujubespan::mesh
{
namespace
{

using namespace std::chrono_literals;
using engine::reason;

class recording_clients final : public client_port
{
public:
    void respond(std::uint64_t exchange, const http_response& response) override
    {
        EXPECT_FALSE(responses.contains(exchange)) << "answered twice";
        responses[exchange] = response;
    }

    std::map<std::uint64_t, http_response> responses;
};

class recording_peers final : public routed_call_port
{
public:
    bool send_call(std::string_view /*peer*/, const routed_call& call,
                   time_point /*now*/) override
    {
        calls.push_back(call);
        return true;
    }

    void cancel(std::string_view /*peer*/, std::uint64_t /*call*/,
                time_point /*now*/) override
    {
    }

    std::vector<routed_call> calls;
};

class egress_allowance_test : public ::testing::Test
{
protected:
    egress_allowance_test()
    {
        instance item;
        item.id = "a";
        item.service = "s";
        item.failure_domain = "zone-a";
        item.call_address = "node-a";
        item.slots = 50;
        instance_directory list;
        list.put(item);
        auto next = std::make_shared<configuration>();
        route only;
        only.name = "pay";
        only.host = "shop.example";
        only.prefix = "/pay/";
        only.targets = {{"s", 1}};
        next->routes = {only};
        next->organisations = {{"shop", {"k1"}, {}, {10, 10}},
                               {"free", {"k2"}, {}, {}}};
        target.apply(next);
        target.apply(list, now);
        spender.apply(*next);
        spender.apply(list, now);
        target.set_allowances(&spender);
    }

    void request(std::uint64_t exchange, const std::string& key = "k1",
                 const std::string& deadline = "5000")
    {
        http_request message;
        message.method = "GET";
        message.target = "/pay/1";
        message.headers = {{"Host", "shop.example"},
                           {options.names.request_id, "id-1"},
                           {options.names.deadline, deadline},
                           {options.names.key, key}};
        target.on_request(exchange, std::move(message), now);
    }

    void grant(double tokens, duration next_token = {})
    {
        const auto asked = spender.next_request(now);
        ASSERT_TRUE(asked);
        spender.on_grant("node-a",
                         {asked->request.sequence,
                          {{organisation_hash("shop"), tokens, next_token}}},
                         now);
        target.on_allowance_tokens(now);
    }

    void pass(duration time)
    {
        now += time;
        target.on_tick(now);
    }

    [[nodiscard]] unsigned status(std::uint64_t exchange) const
    {
        const auto found = clients.responses.find(exchange);
        return found == clients.responses.end() ? 0 : found->second.status;
    }

    time_point now{1000s};
    mesh_state shared;
    recording_clients clients;
    recording_peers peers;
    egress_options options{"own", "zone-a", {}};
    allowance_spender spender{"node-a", "zone-a"};
    egress target{options, shared, clients, peers, 1};
};

TEST_F(egress_allowance_test, requests_wait_for_tokens_in_order)
{
    request(1);
    request(2);
    EXPECT_TRUE(peers.calls.empty());
    EXPECT_EQ(target.in_flight(), 2U);
    pass(40ms);
    grant(1);
    ASSERT_EQ(peers.calls.size(), 1U);
    EXPECT_EQ(shared.metrics.allowance_admitted, 1U);
    pass(110ms);
    EXPECT_EQ(status(2), 429U);
    EXPECT_EQ(status(1), 0U);
    EXPECT_EQ(target.in_flight(), 1U);
}

TEST_F(egress_allowance_test, refusal_says_when_to_return)
{
    grant(0);
    now += 500ms; // A new authority is known to have few tokens.
    request(1);
    grant(0, 2s);
    request(2);
    EXPECT_EQ(status(2), 429U) << "the bucket is known to be empty";
    const auto& headers = clients.responses[2].headers;
    EXPECT_EQ(find_header(headers, "Jujubespan-Reason"), "allowance");
    EXPECT_GE(std::stod(std::string(find_header(headers, "Retry-After"))), 1);
    EXPECT_EQ(shared.metrics.allowance_refused, 1U);
    request(3, "k2");
    EXPECT_EQ(peers.calls.size(), 1U) << "organisation without a limit";
}

TEST_F(egress_allowance_test, wait_ends_at_the_deadline)
{
    request(1, "k1", "60");
    pass(59ms);
    EXPECT_EQ(status(1), 0U);
    pass(1ms);
    EXPECT_EQ(status(1), 429U);
}

// The token would otherwise be spent for a request that nobody waits for.
TEST_F(egress_allowance_test, disconnected_client_no_longer_waits)
{
    request(1);
    target.on_client_disconnected(1, now);
    EXPECT_EQ(target.in_flight(), 0U);
    EXPECT_FALSE(spender.has_waiting());
    grant(1);
    EXPECT_TRUE(peers.calls.empty());
    pass(200ms);
    EXPECT_EQ(status(1), 0U);
}

TEST_F(egress_allowance_test, only_a_request_that_did_not_run_is_refunded)
{
    grant(1);
    for (const bool ran : {false, true})
    {
        request(ran ? 2 : 1);
        routed_reply reply;
        reply.answer = ran ? engine::make_unknown_outcome(reason::peer_lost)
                           : engine::make_refusal(reason::queue_full);
        target.on_reply(peers.calls.back().id, reply, now);
    }
    EXPECT_EQ(peers.calls.size(), 2U);
    request(3);
    EXPECT_TRUE(spender.has_waiting());
}

} // namespace
} // namespace jujubespan::mesh
