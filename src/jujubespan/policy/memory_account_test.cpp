// Tests of the memory account: bytes that are not counted, or counted after
// their holder has gone, would let a process run out of memory.

#include "jujubespan/policy/memory_account.hpp"

#include "jujubespan/policy/http_message.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace jujubespan
{
namespace
{

// Frees charges from the front of a list.
class charge_list final : public memory_reclaimer
{
public:
    void add(memory_account& account, std::size_t bytes)
    {
        charges.push_back(std::make_unique<memory_charge>(account));
        charges.back()->set(bytes);
    }

    bool reclaim() override
    {
        if (charges.empty())
        {
            return false;
        }
        charges.erase(charges.begin());
        return true;
    }

    std::vector<std::unique_ptr<memory_charge>> charges;
};

TEST(memory_account, limits_apply_to_the_account_and_to_the_sum)
{
    const auto total = std::make_shared<memory_account>(100);
    memory_account first(80, total);
    memory_account second(80, total);
    memory_charge charge(first);
    charge.set(60);
    EXPECT_EQ(total->used(), 60U);
    EXPECT_TRUE(first.has_room(20));
    EXPECT_FALSE(first.has_room(21)); // its own limit
    EXPECT_TRUE(second.has_room(40));
    EXPECT_FALSE(second.has_room(41)); // the limit of the sum
    charge.set(10);
    EXPECT_EQ(total->used(), 10U);
}

TEST(memory_account, a_charge_ends_with_its_holder)
{
    const auto total = std::make_shared<memory_account>(100);
    memory_account account(100, total);
    {
        memory_charge charge(account);
        charge.set(70);
    }
    EXPECT_EQ(account.used(), 0U);
    EXPECT_EQ(total->used(), 0U);
    {
        memory_account ended(100, total);
        ended.add(30);
    }
    EXPECT_EQ(total->used(), 0U);
}

TEST(memory_account, reclaims_no_more_than_needed)
{
    memory_account account(100);
    charge_list list;
    account.set_reclaimer(&list);
    list.add(account, 40);
    list.add(account, 40);
    EXPECT_TRUE(account.make_room(50));
    EXPECT_EQ(list.charges.size(), 1U);
    EXPECT_FALSE(account.make_room(101));
    EXPECT_TRUE(list.charges.empty());
}

TEST(memory_account, an_exceeded_account_has_no_room)
{
    memory_account account(100);
    account.add(150);
    EXPECT_FALSE(account.has_room(0));
    EXPECT_FALSE(account.make_room(0));
}

// A head of 16 KB with 4,000 fields occupied 300 KB that were not counted.
TEST(memory_account, size_of_a_request_counts_its_fields)
{
    http_request request;
    request.body = std::string(100, 'x');
    const auto empty = memory_size(request);
    EXPECT_GE(empty, 100U);
    request.headers.resize(1000, {"a", ""});
    EXPECT_GE(memory_size(request), empty + 1000 * sizeof(http_header));
    request.headers[0].value = std::string(500, 'x');
    EXPECT_GE(memory_size(request), empty + 1000 * sizeof(http_header) + 500);
}

} // namespace
} // namespace jujubespan
