#include "jujubespan/mesh/configuration.hpp"

#include <gtest/gtest.h>

#include <map>

namespace jujubespan::mesh
{
namespace
{

route make_route(std::string name, std::string prefix,
                 std::vector<route_target> targets)
{
    route value;
    value.name = std::move(name);
    value.host = "shop.example";
    value.prefix = std::move(prefix);
    value.targets = std::move(targets);
    return value;
}

route_table make_table(std::vector<route> routes)
{
    auto source = std::make_shared<configuration>();
    source->version = 1;
    source->routes = std::move(routes);
    return route_table(source);
}

TEST(route_table, longest_matching_prefix_of_the_host_is_selected)
{
    const auto table = make_table({make_route("short", "/a/", {{"s", 1}}),
                                   make_route("long", "/a/b/", {{"s", 1}})});
    ASSERT_NE(table.find("shop.example", "/a/b/c"), nullptr);
    EXPECT_EQ(table.find("shop.example", "/a/b/c")->name, "long");
    EXPECT_EQ(table.find("shop.example", "/a/x")->name, "short");
}

TEST(route_table, port_and_case_of_the_host_do_not_matter)
{
    const auto table = make_table({make_route("r", "/a/", {{"s", 1}})});
    EXPECT_NE(table.find("Shop.Example:8080", "/a/x"), nullptr);
}

TEST(route_table, nothing_matches_another_host_or_path)
{
    const auto table = make_table({make_route("r", "/a/", {{"s", 1}})});
    EXPECT_EQ(table.find("other.example", "/a/x"), nullptr);
    EXPECT_EQ(table.find("shop.example", "/a"), nullptr);
    EXPECT_EQ(table.find("shop.example", "/ab/"), nullptr);
}

TEST(route_table, requests_are_divided_exactly_by_weight)
{
    auto table = make_table({make_route("r", "/a/", {{"x", 90}, {"y", 10}})});
    const auto* found = table.find("shop.example", "/a/");
    std::map<std::string, int, std::less<>> counts;
    for (int i = 0; i < 200; ++i)
    {
        ++counts[std::string(table.choose_target(*found))];
    }
    EXPECT_EQ(counts["x"], 180);
    EXPECT_EQ(counts["y"], 20);
}

} // namespace
} // namespace jujubespan::mesh
