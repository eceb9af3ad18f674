#include "jujubespan/operators/report.hpp"

#include "jujubespan/config/settings.hpp"
#include "jujubespan/config/status_text.hpp"

#include <gtest/gtest.h>

#include <regex>

namespace jujubespan::operators
{
namespace
{

std::string read_operators_page()
{
    return *config::read_file(std::string(JUJUBESPAN_SOURCE_DIR) +
                              "/docs/OPERATORS.md");
}

// Fails if a metric is missing from the page for operators.
TEST(operators_page, names_every_metric)
{
    const auto page = read_operators_page();
    const auto text = to_metrics(node_report{});
    const std::regex type_line("# TYPE (\\S+) ");
    int family_count = 0;
    for (std::sregex_iterator it(text.begin(), text.end(), type_line), end;
         it != end; ++it)
    {
        const auto name = (*it)[1].str();
        EXPECT_NE(page.find("`" + name + "`"), std::string::npos) << name;
        ++family_count;
    }
    EXPECT_GT(family_count, 20);
}

// Fails if a setting is missing from the page for operators. The names of the
// settings come from the error message for an unknown one.
TEST(operators_page, names_every_setting)
{
    const auto page = read_operators_page();
    const auto parsed = config::parse_settings("{\"x\": 1}", "s");
    const auto errors = text_of(parsed.status());
    const auto begin = errors.find("known are ") + 10;
    const std::string known = errors.substr(begin);
    const std::regex word("[a-z_]+");
    int setting_count = 0;
    for (std::sregex_iterator it(known.begin(), known.end(), word), end;
         it != end; ++it)
    {
        EXPECT_NE(page.find("| `" + it->str() + "` |"), std::string::npos)
            << it->str();
        ++setting_count;
    }
    EXPECT_GT(setting_count, 25);
}

TEST(report, escapes_labels_and_accumulates_buckets)
{
    node_report report;
    report.metrics.latency[{"a\"b\\c", request_class::normal}].add(
        std::chrono::milliseconds(3));
    const auto text = to_metrics(report);
    EXPECT_NE(
        text.find("customer=\"a\\\"b\\\\c\",class=\"normal\",le=\"0.005\"} 1"),
        std::string::npos)
        << text.substr(0, 600);
    EXPECT_NE(text.find("le=\"0.002\"} 0"), std::string::npos);
    EXPECT_NE(text.find("jujubespan_request_seconds_count"), std::string::npos);
}

TEST(report, explains_a_decision)
{
    engine::decision decision;
    decision.request_id = "r";
    decision.result = engine::outcome::not_run;
    decision.reason = engine::reason::downstream_overload;
    const std::vector<engine::decision> decisions{decision};
    EXPECT_NE(to_json(decisions).find("\"downstream-overload\""),
              std::string::npos);
}

// Guards against the exception of the JSON library at text that is no UTF-8:
// the id and the method are those of the request.
TEST(report, explains_a_decision_on_a_request_with_an_id_of_any_bytes)
{
    engine::decision decision;
    decision.request_id = "r\xff\xfe";
    decision.method = "/a/\xc3";
    const std::vector<engine::decision> decisions{decision};
    EXPECT_NE(to_json(decisions).find("\"r\xef\xbf\xbd"), std::string::npos);
}

} // namespace
} // namespace jujubespan::operators
