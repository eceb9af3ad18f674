#include "jujubespan/policy/rate_share.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <random>

namespace jujubespan
{
namespace
{

using namespace std::chrono_literals;

const time_point start(1000s);
constexpr duration list_lag = 11s;

// Reports contact once per second from `from` to `to`.
void keep_contact(rate_share& share, time_point from, time_point to)
{
    for (auto at = from; at <= to; at += 1s)
    {
        share.on_contact(at);
    }
}

const std::vector<std::string> one{"a"};
const std::vector<std::string> two{"a", "b"};
const std::vector<std::string> three{"a", "b", "c"};

TEST(rate_share, a_new_member_waits_for_the_list_lag)
{
    rate_share share("a", list_lag);
    share.apply(two, start);
    keep_contact(share, start, start + list_lag);
    EXPECT_EQ(share.fraction(start + list_lag), 0);
    EXPECT_EQ(share.fraction(start + list_lag + 1ms), 0.5);
}

TEST(rate_share, shrinks_at_once_and_grows_after_the_list_lag)
{
    rate_share share("a", list_lag);
    share.apply(two, start);
    keep_contact(share, start, start + 20s);
    const auto later = start + 20s;
    share.apply(three, later);
    EXPECT_NEAR(share.fraction(later), 1.0 / 3, 1e-9);
    share.apply(one, later + 1s);
    keep_contact(share, later, later + 13s);
    EXPECT_NEAR(share.fraction(later + 10s), 1.0 / 3, 1e-9);
    EXPECT_EQ(share.fraction(later + 13s), 1);
}

TEST(rate_share, an_isolated_node_takes_no_share_and_returns_as_new_member)
{
    rate_share share("a", list_lag);
    share.apply(two, start);
    keep_contact(share, start, start + 20s);
    EXPECT_GT(share.fraction(start + 25s), 0);
    EXPECT_EQ(share.fraction(start + 26s), 0);
    keep_contact(share, start + 40s, start + 60s);
    EXPECT_EQ(share.fraction(start + 51s), 0);
    EXPECT_EQ(share.fraction(start + 52s), 0.5);
}

TEST(rate_share, takes_no_share_after_a_pause_until_contact)
{
    rate_share share("a", list_lag);
    share.apply(two, start);
    keep_contact(share, start, start + 20s);
    share.on_pause(2s, start + 22s);
    EXPECT_EQ(share.fraction(start + 22s), 0);
    share.on_contact(start + 22s);
    EXPECT_EQ(share.fraction(start + 22s), 0.5);
    share.on_pause(8s, start + 30s);
    share.on_contact(start + 30s);
    EXPECT_EQ(share.fraction(start + 31s), 0);
}

// Nodes join and leave the list, each list arrives at each node with a delay of
// up to half the list lag, and nodes lose contact for up to a minute.
TEST(rate_share, the_sum_never_exceeds_the_rate)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed)
    {
        std::mt19937_64 random(seed);
        struct pending
        {
            time_point at;
            std::size_t node;
            int revision;
            std::vector<std::string> list;
        };
        std::vector<rate_share> nodes;
        nodes.reserve(6);
        std::vector<bool> listed(6, true);
        std::vector<time_point> isolated_until(6, start);
        std::vector<int> seen(6, 0);
        int revision = 0;
        std::vector<pending> queue;
        for (int i = 0; i < 6; ++i)
        {
            nodes.emplace_back(fmt::format("n{}", i), list_lag);
        }
        bool rate_used = false;
        auto now = start;
        std::vector<std::string> list;
        for (int step = 0; step < 4000; ++step)
        {
            now += 100ms;
            if (step == 0 || random() % 150 == 0)
            {
                const auto changed = random() % 6;
                listed[changed] = step == 0 || !listed[changed];
                list.clear();
                ++revision;
                for (std::size_t i = 0; i < 6; ++i)
                {
                    if (listed[i])
                    {
                        list.push_back(fmt::format("n{}", i));
                    }
                }
                for (std::size_t i = 0; i < 6; ++i)
                {
                    const auto delay =
                        std::chrono::milliseconds(random() % 5400);
                    queue.push_back({now + delay, i, revision, list});
                }
            }
            if (random() % 200 == 0)
            {
                isolated_until[random() % 6] =
                    now + std::chrono::milliseconds(random() % 60'000);
            }
            double sum = 0;
            for (std::size_t i = 0; i < 6; ++i)
            {
                const bool isolated = isolated_until[i] > now;
                for (const auto& item : queue)
                {
                    const bool due = item.at <= now && item.at > now - 100ms;
                    if (item.node == i && due && !isolated &&
                        item.revision > seen[i])
                    {
                        seen[i] = item.revision;
                        nodes[i].apply(item.list, now);
                    }
                }
                if (!isolated && isolated_until[i] > now - 100ms)
                {
                    // Contact returns; the node fetches the list.
                    seen[i] = revision;
                    nodes[i].apply(list, now);
                }
                if (!isolated)
                {
                    nodes[i].on_contact(now);
                }
                sum += nodes[i].fraction(now);
            }
            rate_used = rate_used || sum > 0.9;
            ASSERT_LE(sum, 1 + 1e-9) << "seed " << seed << " step " << step;
        }
        EXPECT_TRUE(rate_used);
    }
}

TEST(token_bucket, keeps_to_the_rate_after_the_burst)
{
    token_bucket bucket(1s);
    int taken = 0;
    for (int ms = 0; ms < 10'000; ++ms)
    {
        taken +=
            bucket.try_take(50, start + std::chrono::milliseconds(ms)) ? 1 : 0;
    }
    EXPECT_GE(taken, 545);
    EXPECT_LE(taken, 550);
    EXPECT_FALSE(bucket.try_take(0, start + 20s));
}

TEST(share_leases, lent_and_borrowed_never_exceed_the_shares)
{
    std::mt19937_64 random(5);
    share_leases lender(2s, 500ms);
    share_leases borrower(2s, 500ms);
    auto now = start;
    for (int i = 0; i < 3000; ++i)
    {
        now += std::chrono::milliseconds(random() % 400);
        const auto requested_at = now;
        const double granted = lender.grant_lease(30, 50, 10, now);
        now += std::chrono::milliseconds(random() % 300);
        if (random() % 4 != 0) // Otherwise the grant is lost.
        {
            borrower.record_grant(granted, requested_at, now);
        }
        EXPECT_LE(lender.effective_rate(50, now) +
                      borrower.effective_rate(50, now),
                  100 + 1e-9);
    }
}

TEST(share_leases, a_grant_after_the_end_of_the_lease_is_ignored)
{
    share_leases borrower(2s, 500ms);
    borrower.record_grant(30, start, start + 2s);
    EXPECT_EQ(borrower.effective_rate(50, start + 2s), 50);
}

} // namespace
} // namespace jujubespan
