// Tests of which requests count as the same one.

#include "jujubespan/mesh/request_fingerprint.hpp"

#include <gtest/gtest.h>

namespace jujubespan::mesh
{
namespace
{

http_request make_request()
{
    return {"POST", "/orders/7?x=1", {{"Host", "shop.example"}}, "body"};
}

const auto reference = fingerprint_of("catalogue", make_request());

TEST(request_fingerprint, does_not_depend_on_other_headers_or_their_order)
{
    auto request = make_request();
    request.headers = {{"X-Request-Id", "2"}, {"host", "shop.example"}};
    EXPECT_EQ(fingerprint_of("catalogue", request), reference);
}

TEST(request_fingerprint, depends_on_caller_host_method_target_and_body)
{
    EXPECT_NE(fingerprint_of("checkout", make_request()), reference);
    auto request = make_request();
    request.headers[0].value = "other.example";
    EXPECT_NE(fingerprint_of("catalogue", request), reference);
    request = make_request();
    request.method = "PUT";
    EXPECT_NE(fingerprint_of("catalogue", request), reference);
    request = make_request();
    request.target = "/orders/7?x=2";
    EXPECT_NE(fingerprint_of("catalogue", request), reference);
    request = make_request();
    request.body = "body ";
    EXPECT_NE(fingerprint_of("catalogue", request), reference);
}

// Nodes of different builds compare fingerprints.
TEST(request_fingerprint, is_the_same_in_every_build)
{
    EXPECT_EQ(to_text(reference), "6e74135c476562a7");
}

} // namespace
} // namespace jujubespan::mesh
