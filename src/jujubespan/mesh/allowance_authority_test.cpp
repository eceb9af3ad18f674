// Tests of the authority: what it grants, and to whom.

#include "jujubespan/mesh/allowance_authority.hpp"

#include <gtest/gtest.h>

namespace jujubespan::mesh
{
namespace
{

using namespace std::chrono_literals;

class allowance_authority_test : public ::testing::Test
{
protected:
    allowance_authority_test()
    {
        list_nodes(4);
        configure({{"shop", {}, {}, {100, 40}}, {"free", {}, {}, {}}});
    }

    void list_nodes(int count)
    {
        instance_directory list;
        for (int i = 0; i < count; ++i)
        {
            instance item;
            item.id = "n" + std::to_string(i);
            item.call_address = item.id;
            item.backend_address = item.id;
            list.put(item);
        }
        target.apply(list, now);
    }

    void configure(std::vector<organisation> organisations)
    {
        configuration next;
        next.organisations = std::move(organisations);
        target.apply(next);
    }

    allowance_share ask(const std::string& peer, double wanted, double held = 0,
                        const std::string& name = "shop")
    {
        const auto answer = target.on_request(
            peer,
            {sequence++, {{organisation_hash(name), wanted, held, wanted}}},
            now);
        return answer && !answer->shares.empty() ? answer->shares.front()
                                                 : allowance_share{};
    }

    // Lets nodes ask four times a second.
    void pass(duration time, int nodes)
    {
        for (const auto until = now + time; now < until;)
        {
            now += 250ms;
            for (int i = 0; i < nodes; ++i)
            {
                ask("n" + std::to_string(i), 0);
            }
        }
    }

    time_point now{1000s};
    std::uint64_t sequence{1};
    // Without tolerance, grants are exactly the rate and the burst.
    allowance_authority target{{5s, 0, 0}};
};

TEST_F(allowance_authority_test, new_bucket_grants_at_most_half_of_the_burst)
{
    pass(250ms, 4);
    EXPECT_LE(ask("n0", 1000).tokens, 20 + 25);
}

TEST_F(allowance_authority_test, depth_is_the_burst)
{
    pass(10s, 4);
    EXPECT_EQ(ask("n0", 1000).tokens, 40);
    const auto share = ask("n1", 1);
    EXPECT_EQ(share.tokens, 0);
    EXPECT_NEAR(seconds(share.next_token), 0.01, 0.002);
}

// Otherwise two authorities would together grant twice the rate.
TEST_F(allowance_authority_test, nodes_that_ask_contribute_their_share)
{
    pass(10s, 1);
    EXPECT_EQ(ask("n0", 1000).tokens, 10);
    now += 1s;
    EXPECT_EQ(ask("n0", 1000).tokens, 10) << "depth of one node of four";
    now += 200ms;
    EXPECT_EQ(ask("n0", 1000).tokens, 5);
    now += 1300ms;
    EXPECT_EQ(ask("n0", 1000).tokens, 0) << "it may have asked another one";
}

// The time since the previous request was contributed to another authority.
TEST_F(allowance_authority_test, node_that_returns_contributes_nothing)
{
    pass(10s, 4);
    ask("n0", 1000);
    now += 400ms;
    sequence += 1ULL << allowance_change_shift;
    EXPECT_EQ(ask("n0", 1000).tokens, 0);
    now += 200ms;
    EXPECT_EQ(ask("n0", 1000).tokens, 5);
}

TEST_F(allowance_authority_test, probe_contributes_nothing)
{
    pass(10s, 4);
    ask("n0", 1000);
    now += 200ms;
    EXPECT_EQ(target.on_request("n1", {}, now)->sequence, 0U);
    EXPECT_EQ(ask("n0", 1000).tokens, 5);
}

// Tokens that nodes hold would otherwise be added to a full bucket.
TEST_F(allowance_authority_test, held_tokens_take_up_the_depth)
{
    pass(10s, 4);
    EXPECT_EQ(ask("n0", 30).tokens, 30);
    now += 250ms;
    ask("n0", 0, 30);
    now += 250ms;
    ask("n0", 0, 30);
    pass(0s, 4);
    EXPECT_LE(ask("n1", 1000).tokens, 10 + 1);
}

TEST_F(allowance_authority_test, lowered_limit_caps_the_bucket)
{
    pass(10s, 4);
    configure({{"shop", {}, {}, {10, 5}}});
    EXPECT_EQ(ask("n0", 1000).tokens, 5);
    now += 1s;
    EXPECT_LE(ask("n0", 1000).tokens, 3);
}

TEST_F(allowance_authority_test, organisation_without_a_limit_gets_no_answer)
{
    EXPECT_EQ(ask("n0", 5, 0, "free").tokens, 0);
    configure({{"free", {}, {}, {}}});
    EXPECT_FALSE(target.on_request("n0", {1, {}}, now));
}

// A cut-off node is dropped by discovery and continues to spend its share.
TEST_F(allowance_authority_test, node_that_disappears_keeps_its_share)
{
    pass(2s, 4);
    list_nodes(2);
    pass(10s, 2);
    EXPECT_EQ(ask("n0", 1000).tokens, 20);
    now += 61s;
    pass(10s, 2);
    EXPECT_EQ(ask("n0", 1000).tokens, 40);
}

TEST(allowance_members, authorities_are_the_first_of_each_domain)
{
    instance_directory list;
    allowance_members members;
    for (int i = 0; i < 12; ++i)
    {
        instance item;
        item.id = "n" + std::to_string(i);
        item.call_address = item.id;
        item.backend_address = item.id;
        item.failure_domain = i % 2 == 0 ? "even" : "odd";
        list.put(item);
    }
    const time_point now{1000s};
    members.apply(list, now);
    const auto order = members.authorities("odd");
    ASSERT_EQ(order.size(), 3U);
    EXPECT_EQ(members.authorities("even")[0], order[0]);
    EXPECT_EQ(members.authorities("even")[1], order[1]);
    auto leaving = *list.find(order[0]);
    leaving.leaving = true;
    list.put(leaving);
    members.apply(list, now);
    EXPECT_NE(members.authorities("odd")[0], order[0]);
    list.remove(order[0], now);
    members.apply(list, now);
    EXPECT_EQ(members.count(now), 11U) << "it had announced that it leaves";
}

} // namespace
} // namespace jujubespan::mesh
