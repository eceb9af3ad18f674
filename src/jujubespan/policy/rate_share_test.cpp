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
constexpr duration lag = 11s;

// Contact at every second in between.
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

TEST(rate_share, a_newcomer_waits_for_the_lag)
{
    rate_share share("a", lag);
    share.apply(two, start);
    keep_contact(share, start, start + lag);
    EXPECT_EQ(share.fraction(start + lag), 0);
    EXPECT_EQ(share.fraction(start + lag + 1ms), 0.5);
}

TEST(rate_share, shrinks_at_once_and_grows_after_the_lag)
{
    rate_share share("a", lag);
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

TEST(rate_share, an_isolated_node_stops_and_is_new_when_it_is_back)
{
    rate_share share("a", lag);
    share.apply(two, start);
    keep_contact(share, start, start + 20s);
    EXPECT_GT(share.fraction(start + 25s), 0);
    EXPECT_EQ(share.fraction(start + 26s), 0);
    keep_contact(share, start + 40s, start + 60s);
    EXPECT_EQ(share.fraction(start + 51s), 0);
    EXPECT_EQ(share.fraction(start + 52s), 0.5);
}

TEST(rate_share, a_pause_needs_new_contact)
{
    rate_share share("a", lag);
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

// Nodes that join and leave, with lists that arrive up to the lag late, and
// nodes that pause or are cut off.
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
        std::vector<time_point> cut_until(6, start);
        std::vector<int> seen(6, 0);
        int revision = 0;
        std::vector<pending> queue;
        for (int i = 0; i < 6; ++i)
        {
            nodes.emplace_back(fmt::format("n{}", i), lag);
        }
        bool served = false;
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
                    const auto late =
                        std::chrono::milliseconds(random() % 5400);
                    queue.push_back({now + late, i, revision, list});
                }
            }
            if (random() % 200 == 0)
            {
                cut_until[random() % 6] =
                    now + std::chrono::milliseconds(random() % 60'000);
            }
            double sum = 0;
            for (std::size_t i = 0; i < 6; ++i)
            {
                const bool cut = cut_until[i] > now;
                for (const auto& item : queue)
                {
                    const bool due = item.at <= now && item.at > now - 100ms;
                    if (item.node == i && due && !cut &&
                        item.revision > seen[i])
                    {
                        seen[i] = item.revision;
                        nodes[i].apply(item.list, now);
                    }
                }
                if (!cut && cut_until[i] > now - 100ms)
                {
                    seen[i] = revision; // Healed: asks for the list.
                    nodes[i].apply(list, now);
                }
                if (!cut)
                {
                    nodes[i].on_contact(now);
                }
                sum += nodes[i].fraction(now);
            }
            served = served || sum > 0.9;
            ASSERT_LE(sum, 1 + 1e-9) << "seed " << seed << " step " << step;
        }
        EXPECT_TRUE(served);
    }
}

TEST(token_bucket, keeps_to_the_rate_after_the_burst)
{
    token_bucket bucket(1s);
    int taken = 0;
    for (int ms = 0; ms < 10'000; ++ms)
    {
        taken += bucket.take(50, start + std::chrono::milliseconds(ms)) ? 1 : 0;
    }
    EXPECT_GE(taken, 545);
    EXPECT_LE(taken, 550);
    EXPECT_FALSE(bucket.take(0, start + 20s));
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
        const auto asked_at = now;
        const double granted = lender.lend(30, 50, 10, now);
        now += std::chrono::milliseconds(random() % 300);
        if (random() % 4 != 0) // Else the grant is lost.
        {
            borrower.on_grant(granted, asked_at, now);
        }
        EXPECT_LE(lender.effective_rate(50, now) +
                      borrower.effective_rate(50, now),
                  100 + 1e-9);
    }
}

TEST(share_leases, a_late_grant_is_worth_nothing)
{
    share_leases borrower(2s, 500ms);
    borrower.on_grant(30, start, start + 2s);
    EXPECT_EQ(borrower.effective_rate(50, start + 2s), 50);
}

} // namespace
} // namespace jujubespan
