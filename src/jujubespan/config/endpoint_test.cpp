// Tests of addresses, which other programs write into the discovery source.

#include "jujubespan/config/endpoint.hpp"

#include <gtest/gtest.h>

#include <string>

namespace jujubespan::config
{
namespace
{

using namespace std::string_literals;

TEST(endpoint, reads_addresses_of_both_families)
{
    EXPECT_EQ(parse_endpoint("127.0.0.1:80"), (endpoint{"127.0.0.1", 80}));
    EXPECT_EQ(parse_endpoint("[::1]:80"), (endpoint{"[::1]", 80}));
}

// Guards against a host that only begins with an address: code that takes the
// rest of it for a part of the address rejects it, by an exception in ZeroMQ.
TEST(endpoint, address_followed_by_other_bytes_is_not_accepted)
{
    for (const auto& text :
         {"127.0.0.1\0:80"s, "127.0.0.1\0x:80"s, "[::1\0]:80"s, "[::1]\0:80"s,
          "\0:80"s, "127.0.0.1 :80"s, "127.0.0.1:80\0"s, "[127.0.0.1]:80"s})
    {
        EXPECT_FALSE(parse_endpoint(text)) << ::testing::PrintToString(text);
    }
}

} // namespace
} // namespace jujubespan::config
