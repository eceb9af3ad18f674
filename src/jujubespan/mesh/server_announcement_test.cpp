// Tests of the headers by which backend servers announce limits and stops.

#include "jujubespan/mesh/server_announcement.hpp"

#include <gtest/gtest.h>

namespace jujubespan::mesh
{
namespace
{

const header_names names;

server_announcement read_limit(std::string value)
{
    const std::vector<http_header> headers{
        {names.rate_limit, std::move(value)}};
    return read_announcement(headers, names);
}

TEST(server_announcement, reads_decimal_limits)
{
    EXPECT_EQ(read_limit("17.3").rate_limit, 17.3);
    EXPECT_EQ(read_limit("0").rate_limit, 0);
    EXPECT_EQ(read_limit("250").rate_limit, 250);
}

TEST(server_announcement, response_without_headers_announces_nothing)
{
    const auto result = read_announcement({}, names);
    EXPECT_FALSE(result.rate_limit);
    EXPECT_FALSE(result.rate_limit_unreadable);
    EXPECT_FALSE(result.leaving);
}

TEST(server_announcement, unreadable_limit_is_not_the_absence_of_one)
{
    for (const auto* text : {"-1", "inf", "nan", "17.3/s", "1e9", "many", " 5"})
    {
        const auto result = read_limit(text);
        EXPECT_FALSE(result.rate_limit) << text;
        EXPECT_TRUE(result.rate_limit_unreadable) << text;
    }
}

TEST(server_announcement, leaving_is_announced_by_the_value_one)
{
    const auto read_leaving = [](std::string value)
    {
        const std::vector<http_header> headers{
            {names.leaving, std::move(value)}};
        return read_announcement(headers, names).leaving;
    };
    EXPECT_TRUE(read_leaving("1"));
    EXPECT_FALSE(read_leaving("0"));
}

} // namespace
} // namespace jujubespan::mesh
