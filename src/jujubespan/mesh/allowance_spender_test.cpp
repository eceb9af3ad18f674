// Tests of the spender: what it spends, whom it asks and when.

#include "jujubespan/mesh/allowance_spender.hpp"

#include <gtest/gtest.h>

namespace jujubespan::mesh
{
namespace
{

using namespace std::chrono_literals;

class allowance_spender_test : public ::testing::Test
{
protected:
    allowance_spender_test()
    {
        sender.name = "shop";
        sender.allowance = {100, 40};
        for (int i = 0; i < 10; ++i)
        {
            instance item;
            item.id = "n" + std::to_string(i);
            item.call_address = item.id;
            item.backend_address = item.id;
            item.failure_domain = i % 2 == 0 ? "even" : "odd";
            list.put(item);
        }
        configure({sender});
        target.apply(list, now);
    }

    void configure(std::vector<organisation> organisations)
    {
        configuration next;
        next.organisations = std::move(organisations);
        target.apply(next);
    }

    // Returns the requests that are due, without probes.
    std::vector<outgoing_allowance_request> requests()
    {
        std::vector<outgoing_allowance_request> result;
        while (auto next = target.next_request(now))
        {
            if (next->request.sequence == 0)
            {
                probed.push_back(next->peer);
                continue;
            }
            result.push_back(*next);
        }
        return result;
    }

    void grant(const outgoing_allowance_request& to, double tokens,
               duration next_token = {})
    {
        target.on_grant(
            to.peer,
            {to.request.sequence,
             {{organisation_hash(sender.name), tokens, next_token}}},
            now);
    }

    // Lets time pass without answers.
    void pass(duration time)
    {
        for (const auto until = now + time; now < until; now += 20ms)
        {
            requests();
        }
    }

    time_point now{1000s};
    organisation sender;
    instance_directory list;
    std::vector<std::string> probed;
    allowance_spender target{"n1", "odd"};
};

TEST_F(allowance_spender_test, sends_nothing_without_a_limit)
{
    sender.allowance = {};
    configure({sender});
    EXPECT_EQ(target.spend(sender, now), spend_result::unlimited);
    EXPECT_TRUE(requests().empty());
    EXPECT_TRUE(probed.empty());
}

TEST_F(allowance_spender_test, waiting_request_is_served_by_the_grant)
{
    grant(requests().at(0), 0);
    now += 40ms;
    EXPECT_TRUE(requests().empty());
    EXPECT_EQ(target.spend(sender, now), spend_result::wait);
    const auto asked = requests();
    ASSERT_EQ(asked.size(), 1U);
    EXPECT_EQ(asked[0].request.demands.at(0).wanted, 1);
    EXPECT_FALSE(target.spend_for_waiting("shop", now));
    grant(asked[0], 2);
    EXPECT_TRUE(target.spend_for_waiting("shop", now));
    EXPECT_EQ(target.spend(sender, now), spend_result::spent);
    EXPECT_EQ(target.spend(sender, now), spend_result::wait);
}

// Otherwise a new organisation is refused until the authority has the
// configuration that names it.
TEST_F(allowance_spender_test,
       spends_own_share_if_the_authority_lacks_the_limit)
{
    EXPECT_EQ(target.spend(sender, now), spend_result::wait);
    const auto asked = requests();
    ASSERT_EQ(asked.size(), 1U);
    target.on_grant(asked[0].peer, {asked[0].request.sequence, {}}, now);
    now += 120ms; // at a tenth of 100 requests per second
    EXPECT_TRUE(target.spend_for_waiting("shop", now));
    int spent = 0;
    for (const auto until = now + 1s; now < until; now += 20ms)
    {
        spent += target.spend(sender, now) == spend_result::spent ? 1 : 0;
    }
    EXPECT_NEAR(spent, 10, 1);
}

// Lists change often while instances restart; each change started a new wait
// for an authority that does not answer.
TEST_F(allowance_spender_test, list_change_does_not_end_isolation)
{
    requests();
    pass(3s);
    ASSERT_TRUE(target.authority().empty());
    target.apply(list, now);
    EXPECT_TRUE(target.authority().empty());
    list = {};
    target.apply(list, now);
    EXPECT_TRUE(target.authority().empty());
}

TEST_F(allowance_spender_test, unused_tokens_expire)
{
    grant(requests().at(0), 5);
    now += 999ms;
    EXPECT_EQ(target.spend(sender, now), spend_result::spent);
    now += 1ms;
    EXPECT_EQ(target.spend(sender, now), spend_result::wait);
}

// A repeated or very late grant would exceed what the authority deducted.
TEST_F(allowance_spender_test, grant_counts_once)
{
    const auto asked = requests().at(0);
    grant(asked, 1);
    grant(asked, 1);
    EXPECT_EQ(target.spend(sender, now), spend_result::spent);
    EXPECT_EQ(target.spend(sender, now), spend_result::wait);
}

TEST_F(allowance_spender_test, empty_bucket_refuses_at_once_for_a_while)
{
    grant(requests().at(0), 0);
    now += 500ms;
    target.spend(sender, now);
    grant(requests().at(0), 0, 400ms);
    EXPECT_EQ(target.spend(sender, now), spend_result::refused);
    const auto first = target.retry_after(sender, now);
    EXPECT_GE(first, 400ms);
    EXPECT_EQ(target.spend(sender, now), spend_result::refused);
    EXPECT_GT(target.retry_after(sender, now), first) << "spread over callers";
    now += 250ms;
    EXPECT_EQ(target.spend(sender, now), spend_result::wait);
}

TEST_F(allowance_spender_test, refund_can_be_spent)
{
    grant(requests().at(0), 1);
    EXPECT_EQ(target.spend(sender, now), spend_result::spent);
    target.refund("shop", now);
    EXPECT_EQ(target.spend(sender, now), spend_result::spent);
}

TEST_F(allowance_spender_test, tokens_for_the_expected_use_are_requested)
{
    grant(requests().at(0), 1000);
    for (int i = 0; i < 50; ++i)
    {
        now += 20ms;
        target.spend(sender, now);
    }
    now += 1s;
    const auto asked = requests();
    ASSERT_EQ(asked.size(), 1U);
    EXPECT_NEAR(asked[0].request.demands.at(0).wanted, 6, 2);
}

TEST_F(allowance_spender_test, silent_authority_is_replaced_and_retried)
{
    const std::string first(target.authority());
    pass(580ms);
    EXPECT_EQ(target.authority(), first);
    ASSERT_FALSE(probed.empty());
    const auto second = probed.front();
    EXPECT_NE(second, first);
    target.on_grant(second, {}, now);
    pass(60ms);
    EXPECT_EQ(target.authority(), second);
    EXPECT_EQ(probed.back(), first);
    target.on_grant(first, {}, now);
    pass(20ms);
    EXPECT_EQ(target.authority(), first);
}

// A killed authority is replaced within the time that requests wait.
TEST_F(allowance_spender_test, disconnected_authority_is_replaced_at_once)
{
    const auto asked = requests().at(0);
    grant(asked, 1);
    target.on_peer_lost(asked.peer);
    pass(20ms);
    ASSERT_FALSE(probed.empty());
    EXPECT_EQ(target.authority(), asked.peer);
    target.on_grant(probed.front(), {}, now);
    pass(20ms);
    EXPECT_EQ(target.authority(), probed.front());
    pass(100ms);
    EXPECT_EQ(target.authority(), probed.front());
}

// The other nodes may still be able to use the rest of the rate.
TEST_F(allowance_spender_test, isolated_node_spends_its_share)
{
    pass(700ms);
    EXPECT_EQ(target.authority(), "");
    int spent = 0;
    for (int i = 0; i < 500; ++i)
    {
        now += 10ms;
        spent += target.spend(sender, now) == spend_result::spent ? 1 : 0;
    }
    EXPECT_NEAR(spent, 50, 5);
}

// Answers that arrived while the process did not run are read afterwards.
TEST_F(allowance_spender_test, pause_of_the_node_is_no_silence)
{
    const auto asked = requests().at(0);
    now += 5s;
    requests();
    EXPECT_EQ(target.authority(), asked.peer);
}

TEST_F(allowance_spender_test, grant_of_an_unknown_node_is_ignored)
{
    auto asked = requests().at(0);
    asked.peer = "stranger";
    grant(asked, 5);
    EXPECT_EQ(target.spend(sender, now), spend_result::wait);
}

} // namespace
} // namespace jujubespan::mesh
