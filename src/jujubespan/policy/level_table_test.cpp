#include "jujubespan/policy/level_table.hpp"

#include <gtest/gtest.h>

namespace jujubespan
{
namespace
{

using namespace std::chrono_literals;

const time_point start(1000s);

TEST(level_table, applies_only_to_methods_that_reach_the_service)
{
    level_table table;
    const std::vector<service_level> levels{{"stock", 100}};
    table.record_levels("buy", levels, start);
    EXPECT_EQ(table.level("buy", start), 100U);
    EXPECT_EQ(table.level("other", start), admit_all_level);
}

TEST(level_table, a_reply_of_one_method_updates_the_others)
{
    level_table table;
    const std::vector<service_level> low_levels{{"stock", 100}};
    const std::vector<service_level> high_levels{{"stock", admit_all_level}};
    table.record_levels("buy", low_levels, start);
    table.record_levels("browse", low_levels, start);
    for (int i = 0; i < 20; ++i)
    {
        table.record_levels("buy", high_levels, start + 10ms);
    }
    EXPECT_EQ(table.level("browse", start + 10ms), admit_all_level);
}

TEST(level_table, an_unconfirmed_level_admits_all_after_about_two_seconds)
{
    level_table table;
    const std::vector<service_level> levels{{"stock", 0}};
    table.record_levels("buy", levels, start);
    EXPECT_EQ(table.level("buy", start + 1s), 0U);
    EXPECT_GT(table.level("buy", start + 1500ms), 0U);
    EXPECT_EQ(table.level("buy", start + 2300ms), admit_all_level);
}

TEST(level_table, reports_only_the_lowest_levels)
{
    level_table table;
    std::vector<service_level> levels;
    for (unsigned i = 0; i < 40; ++i)
    {
        levels.push_back({"s" + std::to_string(i), i});
    }
    table.record_levels("buy", levels, start);
    const auto reported = table.report("buy", start);
    ASSERT_EQ(reported.size(), 16U);
    EXPECT_EQ(reported.front().level, 0U);
    EXPECT_TRUE(table.report("buy", start + 5s).empty());
    table.expire(start + 2min);
    EXPECT_EQ(table.size(), 0U);
}

} // namespace
} // namespace jujubespan
