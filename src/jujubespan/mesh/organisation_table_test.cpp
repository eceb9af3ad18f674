// Tests of which organisation holds a key.

#include "jujubespan/mesh/organisation_table.hpp"

#include <gtest/gtest.h>

namespace jujubespan::mesh
{
namespace
{

organisation_table make_table(std::optional<std::vector<organisation>> list)
{
    auto source = std::make_shared<configuration>();
    source->organisations = std::move(list);
    return organisation_table(std::move(source));
}

TEST(organisation_table, finds_organisations_by_key)
{
    const auto table = make_table(
        {{{"first", {"k1", "k2"}, 1, {}}, {"second", {"k3"}, {}, {}}}});
    EXPECT_TRUE(table.keys_required());
    EXPECT_EQ(table.find_by_key("k2")->name, "first");
    EXPECT_EQ(table.find_by_key("k3")->name, "second");
    EXPECT_EQ(table.find_by_key("first"), nullptr);
}

TEST(organisation_table, key_listed_twice_belongs_to_the_first)
{
    const auto table = make_table(
        {{{"first", {"k"}, {}, {}}, {"second", {"k", "own"}, {}, {}}}});
    EXPECT_EQ(table.find_by_key("k")->name, "first");
    EXPECT_EQ(table.find_by_key("own")->name, "second");
}

// A request without a key must not be admitted by an empty key in the list.
TEST(organisation_table, empty_key_belongs_to_nobody)
{
    EXPECT_EQ(make_table({{{"first", {""}, {}, {}}}}).find_by_key(""), nullptr);
}

// An empty list admits no key; an absent one requires none.
TEST(organisation_table, empty_list_differs_from_an_absent_one)
{
    EXPECT_TRUE(make_table(std::vector<organisation>{}).keys_required());
    EXPECT_FALSE(make_table({}).keys_required());
}

// The table must not refer to a configuration that its owner released.
TEST(organisation_table, keeps_its_configuration_alive)
{
    auto source = std::make_shared<configuration>();
    source->organisations = {{"first", {std::string(100, 'k')}, {}, {}}};
    const organisation_table table(std::move(source));
    EXPECT_EQ(table.find_by_key(std::string(100, 'k'))->name, "first");
}

TEST(organisation_table, digest_has_32_bits_and_does_not_contain_the_key)
{
    EXPECT_EQ(key_digest("secret").size(), 8U);
    EXPECT_EQ(key_digest("secret"), key_digest("secret"));
    EXPECT_NE(key_digest("secret"), key_digest("secres"));
}

} // namespace
} // namespace jujubespan::mesh
