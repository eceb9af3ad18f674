#include "jujubespan/policy/retry_budget.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <random>

namespace jujubespan
{
namespace
{

TEST(retry_budget, allocates_half_rounded_up)
{
    retry_budget budget(3);
    EXPECT_EQ(budget.allocate_credits(), 2U);
    EXPECT_EQ(budget.credits(), 1U);
    budget.return_credits(5, 2);
    EXPECT_EQ(budget.credits(), 3U);
}

TEST(retry_budget, spends_only_what_it_holds)
{
    retry_budget budget(1);
    EXPECT_TRUE(budget.try_spend());
    EXPECT_FALSE(budget.try_spend());
}

// Simulates a random call tree with lost requests and lost replies. Duplicate
// and late replies need no simulation: the receiver drops a duplicate, and a
// late reply arrives after its attempt was given up.
class random_tree
{
public:
    explicit random_tree(std::uint64_t seed) : random_(seed) {}

    // Runs one call that holds credits; returns the unspent credits.
    std::uint32_t run(std::uint32_t credits, int depth)
    {
        retry_budget budget(credits);
        const int children = depth == 0 ? 0 : static_cast<int>(random_() % 4);
        for (int i = 0; i < children; ++i)
        {
            ++calls;
            while (attempt(budget, depth - 1) && budget.try_spend())
            {
            }
        }
        return budget.credits();
    }

    std::uint64_t calls{0};
    std::uint64_t attempts{0};

private:
    // Returns true when the attempt failed and may be retried.
    bool attempt(retry_budget& budget, int depth)
    {
        ++attempts;
        const std::uint32_t allocated = budget.allocate_credits();
        const bool received = random_() % 8 != 0;
        const std::uint32_t unspent =
            received ? run(allocated, depth) : allocated;
        const bool reply_lost = random_() % 6 == 0;
        if (received && !reply_lost)
        {
            budget.return_credits(unspent, allocated);
        }
        return !received || reply_lost || random_() % 3 == 0;
    }

    std::mt19937_64 random_;
};

TEST(retry_budget, bounds_attempts_of_the_whole_chain)
{
    for (std::uint64_t seed = 1; seed <= 3000; ++seed)
    {
        const auto credits = static_cast<std::uint32_t>(seed % 9);
        random_tree tree(seed);
        tree.run(credits, 6);
        EXPECT_LE(tree.attempts, tree.calls + credits) << "seed " << seed;
    }
}

TEST(retry_ratio, limits_retries_to_the_ratio)
{
    retry_ratio ratio(0.1, 2);
    int allowed = 0;
    for (int i = 0; i < 1000; ++i)
    {
        ratio.on_first_attempt();
        allowed += ratio.allow_retry() ? 1 : 0;
    }
    EXPECT_GE(allowed, 100);
    EXPECT_LE(allowed, 102);
}

TEST(jittered_retry_after, stays_within_twice_the_base)
{
    const duration base = std::chrono::seconds(1);
    EXPECT_EQ(jittered_retry_after(base, 0), base);
    EXPECT_LT(jittered_retry_after(base, 0.999), 2 * base);
}

} // namespace
} // namespace jujubespan
