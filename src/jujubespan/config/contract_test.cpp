#include "jujubespan/config/contract.hpp"

#include "jujubespan/config/settings.hpp"
#include "jujubespan/config/status_text.hpp"

#include <gtest/gtest.h>

#include <filesystem>

namespace jujubespan::config
{
namespace
{

constexpr auto valid_contract = R"({
  // A comment.
  "customer": "acme",
  "requests_per_second": 10,
  "methods": [
    {"service": "a", "method": "GET", "path": "/x/*", "class": "normal",
     "idempotent": true, "deadline_ms": 100},
    {"service": "a", "method": "GET", "path": "/x/y*", "class": "critical",
     "idempotent": true, "deadline_ms": 100}
  ]
})";

std::string parse_errors(std::string_view text)
{
    const auto parsed = parse_contract(text, "c.jsonc");
    return parsed.ok() ? "ok" : text_of(parsed.status());
}

TEST(contract, reads_a_valid_contract)
{
    const auto parsed = parse_contract(valid_contract, "c.jsonc");
    ASSERT_TRUE(parsed.ok()) << text_of(parsed.status());
    EXPECT_EQ(parsed->find_rule("a", "GET", "/x/yes")->cls,
              request_class::critical);
    EXPECT_EQ(parsed->find_rule("a", "GET", "/x/no")->cls,
              request_class::normal);
    EXPECT_EQ(parsed->find_rule("a", "POST", "/x/no"), nullptr);
    EXPECT_EQ(parsed->find_rule("b", "GET", "/x/no"), nullptr);
}

TEST(contract, reports_all_errors_with_line_and_field)
{
    const auto errors = parse_errors(R"({
  "customer": "Acme Inc",
  "requests_per_second": 0,
  "retry_credits": 1.5,
  "burst": 3,
  "domain_shares": {"d-1": 0.5, "d-2": 0.6},
  "methods": [
    {"service": "a", "method": "FETCH", "path": "x", "class": "vip",
     "idempotent": "yes", "deadline_ms": 0},
    {"service": "a", "method": "GET", "path": "/b", "class": "normal",
     "idempotent": false, "deadline_ms": 10, "calls": ["a GET /c"]}
  ]
})");
    EXPECT_EQ(errors, R"(c.jsonc:2: customer: "Acme Inc" must be 1 to 64 )"
                      R"(characters of a-z, 0-9, '-', '_' and '.'
c.jsonc:3: requests_per_second: 0 is not a number from 0.01 to 1000000
c.jsonc:4: retry_credits: 1.5 is not an integer from 0 to 16
c.jsonc:6: domain_shares: the shares add up to 1.1, not 1
c.jsonc:8: methods[0].method: "FETCH" is not one of GET, HEAD, POST, PUT, )"
                      R"(PATCH, DELETE, OPTIONS
c.jsonc:8: methods[0].path: "x" must begin with '/' and may have '*' only )"
                      R"(at its end
c.jsonc:8: methods[0].class: "vip" is not one of critical, normal, )"
                      R"(sheddable_plus, sheddable
c.jsonc:9: methods[0].idempotent: must be true or false
c.jsonc:9: methods[0].deadline_ms: 0 is not an integer from 1 to 300000
c.jsonc:11: methods[1].idempotent: GET is idempotent by definition; use )"
                      R"(POST for requests that must not be repeated
c.jsonc:10: methods[1].calls: "a GET /c" is not a method of this contract
c.jsonc:5: burst: is not a known key; known are customer, )"
                      R"(requests_per_second, burst_ms, retry_credits, )"
                      R"(caller_retry_ratio, max_depth, require_ticket, )"
                      R"(domain_shares, methods)");
}

TEST(contract, rejects_a_non_idempotent_call_from_an_idempotent_method)
{
    const auto errors = parse_errors(R"({
  "customer": "acme", "requests_per_second": 1, "methods": [
    {"service": "a", "method": "GET", "path": "/x", "class": "normal",
     "idempotent": true, "deadline_ms": 100, "calls": ["b POST /y"]},
    {"service": "b", "method": "POST", "path": "/y", "class": "normal",
     "idempotent": false, "deadline_ms": 100}]})");
    EXPECT_NE(errors.find("is not idempotent, but the idempotent"),
              std::string::npos)
        << errors;
}

TEST(contract, rejects_text_that_is_not_json)
{
    EXPECT_NE(parse_errors("").find("c.jsonc:1:"), std::string::npos);
    EXPECT_NE(parse_errors("{\n\"customer\": \n}").find("c.jsonc:3:"),
              std::string::npos);
    EXPECT_NE(parse_errors(R"({"customer":"a","customer":"b"})")
                  .find("duplicate key"),
              std::string::npos);
    EXPECT_NE(parse_errors(std::string(100, '[')).find("nested"),
              std::string::npos);
    EXPECT_NE(parse_errors("[]").find("must be an object"), std::string::npos);
}

TEST(contract, diff_lists_all_changes)
{
    const auto before = *parse_contract(valid_contract, "a");
    auto after = before;
    after.requests_per_second = 20;
    after.methods[0].cls = request_class::sheddable;
    after.methods.pop_back();
    EXPECT_EQ(describe_differences(before, after),
              (std::vector<std::string>{
                  "requests_per_second: 10 -> 20",
                  "a GET /x/*: class normal, idempotent, entry, deadline 100 "
                  "ms, calls [] -> class sheddable, idempotent, entry, "
                  "deadline 100 ms, calls []",
                  "a GET /x/y*: removed"}));
    EXPECT_TRUE(describe_differences(before, before).empty());
}

TEST(settings, reports_all_errors)
{
    const auto parsed = parse_settings(
        "{\"id\": \"a~b\", \"caller_address\": \"localhost:1\",\n"
        "\"slots\": 0, \"nonsense\": 1, \"peer_public_key\": \"short\"}",
        "s.jsonc");
    ASSERT_FALSE(parsed.ok());
    const auto errors = text_of(parsed.status());
    for (const auto* part :
         {"s.jsonc:1: id: must not contain '~'",
          "s.jsonc:1: caller_address: \"localhost:1\" must be an IP address",
          "s.jsonc:2: slots: 0 is not an integer from 1 to 10000",
          "s.jsonc:2: nonsense: is not a known key",
          "peer_public_key: must be a key of 40 Z85 characters",
          "service: is missing"})
    {
        EXPECT_NE(errors.find(part), std::string::npos) << errors;
    }
}

TEST(examples, settings_and_contracts_are_valid)
{
    int settings_read = 0;
    int contracts_read = 0;
    namespace fs = std::filesystem;
    for (const auto& item : fs::recursive_directory_iterator(
             fs::path(JUJUBESPAN_SOURCE_DIR) / "examples"))
    {
        if (item.path().extension() != ".jsonc" ||
            item.path().filename() == "script.jsonc")
        {
            continue;
        }
        const auto text = *read_file(item.path().string());
        if (item.path().parent_path().filename() == "contracts")
        {
            const auto parsed = parse_contract(text, item.path().string());
            EXPECT_TRUE(parsed.ok()) << text_of(parsed.status());
            ++contracts_read;
        }
        else
        {
            const auto parsed = parse_settings(text, item.path().string());
            EXPECT_TRUE(parsed.ok()) << text_of(parsed.status());
            ++settings_read;
        }
    }
    EXPECT_EQ(settings_read, 30);
    EXPECT_EQ(contracts_read, 3);
}

} // namespace
} // namespace jujubespan::config
