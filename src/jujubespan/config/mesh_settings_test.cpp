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

TEST(mesh_settings, reports_a_missing_address)
{
    const auto value = parse_mesh_settings("{\"id\": \"n\"}", "node.json");
    ASSERT_FALSE(value.ok());
    EXPECT_NE(std::string(value.status().message()).find("call_address"),
              std::string::npos);
}

} // namespace
} // namespace jujubespan::config
