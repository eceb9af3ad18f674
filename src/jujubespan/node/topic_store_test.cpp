// Tests of the versioned store of contracts and instances, and of the text
// format of a delta.

#include "jujubespan/node/topic_store.hpp"

#include "jujubespan/platform/codec.hpp"

#include <gtest/gtest.h>

namespace jujubespan::node
{
namespace
{

std::string contract(const std::string& customer, int rate)
{
    return "{\"customer\": \"" + customer +
           "\", \"requests_per_second\": " + std::to_string(rate) +
           ", \"methods\": []}";
}

class store : public ::testing::Test
{
protected:
    store_result apply(std::uint64_t after, std::uint64_t revision,
                       const std::string& customer, const std::string& text,
                       bool full = false)
    {
        return target.apply(
            topic::contracts,
            {after, revision, full, {{customer, revision, text, false}}},
            error);
    }

    topic_store target;
    absl::Status error;
};

TEST_F(store,
       invalid_revision_is_rejected_as_a_whole_and_the_previous_one_stays)
{
    EXPECT_EQ(apply(0, 1, "acme", contract("acme", 10), true),
              store_result::applied);
    EXPECT_EQ(apply(1, 2, "acme", contract("acme", 0)), store_result::rejected);
    EXPECT_FALSE(error.ok());
    EXPECT_EQ(target.revision(topic::contracts), 1U);
    EXPECT_EQ(target.highest_rejected_revision(topic::contracts), 2U);
    EXPECT_EQ(target.contracts()->find("acme")->requests_per_second, 10);
    EXPECT_EQ(apply(1, 3, "acme", contract("acme", 20)), store_result::applied);
    EXPECT_EQ(target.contracts()->find("acme")->requests_per_second, 20);
}

TEST_F(store, older_revision_is_not_applied)
{
    apply(0, 5, "acme", contract("acme", 10), true);
    EXPECT_EQ(apply(0, 4, "acme", contract("acme", 99), true),
              store_result::stale);
    EXPECT_EQ(apply(7, 8, "acme", contract("acme", 99)), store_result::gap);
    EXPECT_EQ(apply(0, 5, "acme", contract("acme", 99), true),
              store_result::unchanged);
    EXPECT_EQ(target.contracts()->find("acme")->requests_per_second, 10);
    EXPECT_EQ(target.stale_delta_count(), 1U);
}

TEST_F(store, contract_key_must_match_its_customer)
{
    EXPECT_EQ(apply(0, 1, "other", contract("acme", 10), true),
              store_result::rejected);
}

TEST_F(store, instances_are_applied_or_rejected_as_a_whole)
{
    instance good;
    good.id = "n-1";
    good.service = "a";
    good.failure_domain = "d-1";
    good.call_address = "127.0.0.1:1";
    good.control_address = "127.0.0.1:2";
    versioned_delta delta{
        0, 1, true, {{"n-1", 1, platform::format_instance(good), false}}};
    EXPECT_EQ(target.apply(topic::instances, delta, error),
              store_result::applied);
    EXPECT_EQ(target.instances(), (std::vector<instance>{good}));
    versioned_delta bad{1, 2, false, {{"n-2", 2, "{\"slots\": 1}", false}}};
    EXPECT_EQ(target.apply(topic::instances, bad, error),
              store_result::rejected);
    EXPECT_EQ(target.instances().size(), 1U);
}

TEST(platform_codec, parses_formatted_delta_and_rejects_invalid_text)
{
    const versioned_delta delta{3, 9, false, {{"a", 9, "{\"x\": 1}", false}}};
    const auto parsed =
        platform::parse_delta(platform::format_delta(delta), "test");
    ASSERT_TRUE(parsed.ok());
    EXPECT_EQ(parsed->entries, delta.entries);
    for (const auto* text :
         {"", "[]", "{\"after\": 0}",
          "{\"after\": -1, \"revision\": 1, "
          "\"full\": true, \"entries\": []}",
          "{\"after\": 0, \"revision\": 1, \"full\": true, \"entries\": "
          "[{\"key\": \"a\", \"revision\": 2, \"value\": \"\"}]}"})
    {
        EXPECT_FALSE(platform::parse_delta(text, "test").ok()) << text;
    }
}

} // namespace
} // namespace jujubespan::node
