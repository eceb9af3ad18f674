#include "jujubespan/config/mesh_settings.hpp"

#include <gtest/gtest.h>

namespace jujubespan::config
{
namespace
{

const std::string addresses = R"(
  "client_address": "10.0.0.1:8304",
  "readiness_address": "10.0.0.1:8302",
  "call_address": "10.0.0.1:7620",
  "metrics_address": "10.0.0.1:9464",
  "backend_address": "10.0.0.1:8301",
  "discovery_address": "10.0.0.9:8309",
)";

std::string settings_json(const std::string& rest)
{
    return "{ // a comment\n\"id\": \"n\", \"service\": \"s\", "
           "\"failure_domain\": \"z\"," +
           addresses + rest + "}";
}

TEST(mesh_settings, reads_all_fields)
{
    const auto value = parse_mesh_settings(
        settings_json(R"("first_start": true, "stop_grace_s": 6,
                         "retry_ratio": 0.2, "retry_slack": 49,
                         "retry_window_s": 10)"),
        "node.json");
    ASSERT_TRUE(value.ok()) << value.status();
    EXPECT_TRUE(value->first_start);
    EXPECT_EQ(value->call_address, (endpoint{"10.0.0.1", 7620}));
    EXPECT_DOUBLE_EQ(value->retry_budget.slack, 49);
    EXPECT_EQ(value->stop_grace, std::chrono::seconds(6));
}

TEST(mesh_settings, reads_revocation_and_allowances)
{
    const auto defaults = parse_mesh_settings(
        settings_json("\"first_start\": true"), "node.json");
    ASSERT_TRUE(defaults.ok()) << defaults.status();
    EXPECT_FALSE(defaults->revocation.strict);
    EXPECT_EQ(defaults->revocation.bound, std::chrono::seconds(5));
    EXPECT_EQ(defaults->allowance.window, std::chrono::seconds(5));
    EXPECT_DOUBLE_EQ(defaults->allowance.tolerance, 0.25);
    EXPECT_DOUBLE_EQ(defaults->allowance.slack, 20);
    const auto value =
        parse_mesh_settings(settings_json(R"("strict_revocation": true,
                         "revocation_bound_ms": 4000, "allowance_window_s": 2,
                         "allowance_tolerance": 0.5, "allowance_slack": 3)"),
                            "node.json");
    ASSERT_TRUE(value.ok()) << value.status();
    EXPECT_TRUE(value->revocation.strict);
    EXPECT_EQ(value->revocation.bound, std::chrono::seconds(4));
    EXPECT_EQ(value->allowance.window, std::chrono::seconds(2));
    EXPECT_DOUBLE_EQ(value->allowance.tolerance, 0.5);
    EXPECT_DOUBLE_EQ(value->allowance.slack, 3);
}

TEST(mesh_settings, rejects_revocation_and_allowances_out_of_range)
{
    for (const auto* field :
         {"\"revocation_bound_ms\": 100", "\"strict_revocation\": 1",
          "\"allowance_window_s\": 0", "\"allowance_tolerance\": -0.1",
          "\"allowance_slack\": -1"})
    {
        EXPECT_FALSE(
            parse_mesh_settings(settings_json(field), "node.json").ok())
            << field;
    }
}

TEST(mesh_settings, call_listen_address_defaults_to_none)
{
    const auto direct = parse_mesh_settings(
        settings_json("\"first_start\": true"), "node.json");
    ASSERT_TRUE(direct.ok()) << direct.status();
    EXPECT_EQ(direct->call_listen_address, std::nullopt);
    const auto forwarded = parse_mesh_settings(
        settings_json("\"call_listen_address\": \"127.0.0.1:7000\""),
        "node.json");
    ASSERT_TRUE(forwarded.ok()) << forwarded.status();
    EXPECT_EQ(forwarded->call_listen_address, (endpoint{"127.0.0.1", 7000}));
    EXPECT_EQ(forwarded->call_address, (endpoint{"10.0.0.1", 7620}));
}

TEST(mesh_settings, errors_name_file_line_and_field)
{
    const auto value = parse_mesh_settings(
        settings_json("\"stop_grace_s\": \"soon\",\n\"colour\": 1"),
        "node.json");
    ASSERT_FALSE(value.ok());
    const std::string text(value.status().message());
    EXPECT_NE(text.find("node.json:"), std::string::npos) << text;
    EXPECT_NE(text.find("stop_grace_s"), std::string::npos) << text;
    EXPECT_NE(text.find("colour"), std::string::npos) << text;
}

TEST(mesh_settings, disabled_mechanisms_are_known_and_given_once)
{
    const auto value = parse_mesh_settings(
        settings_json(R"("disabled_mechanisms": ["retries", "avoidance"])"),
        "node.json");
    ASSERT_TRUE(value.ok()) << value.status();
    EXPECT_FALSE(value->mechanisms.enabled(mechanism::retries));
    EXPECT_FALSE(value->mechanisms.enabled(mechanism::avoidance));
    EXPECT_TRUE(value->mechanisms.enabled(mechanism::entry_admission));
    for (const auto* names : {R"(["retrys"])", R"(["retries", "retries"])"})
    {
        const auto rejected = parse_mesh_settings(
            settings_json(std::string("\"disabled_mechanisms\": ") + names),
            "node.json");
        ASSERT_FALSE(rejected.ok()) << names;
        const std::string text(rejected.status().message());
        EXPECT_NE(text.find("node.json:"), std::string::npos) << text;
        EXPECT_NE(text.find("disabled_mechanisms"), std::string::npos) << text;
    }
}

// Guards against names that are out of step with the enumeration.
TEST(mesh_settings, each_mechanism_has_a_name)
{
    for (std::uint8_t i = 0; i < static_cast<std::uint8_t>(mechanism::last);
         ++i)
    {
        const auto item = static_cast<mechanism>(i);
        EXPECT_EQ(parse_mechanism(to_string(item)), item);
    }
    EXPECT_EQ(to_string(mechanism::entry_admission), "entry_admission");
    EXPECT_EQ(to_string(mechanism::retry_after_jitter), "retry_after_jitter");
}

TEST(mesh_settings, reports_a_missing_address)
{
    const auto value = parse_mesh_settings("{\"id\": \"n\"}", "node.json");
    ASSERT_FALSE(value.ok());
    EXPECT_NE(std::string(value.status().message()).find("call_address"),
              std::string::npos);
}

} // namespace
} // namespace jujubespan::config
