#include "command_line.hpp"
#include "load_generator.hpp"

#include "jujubespan/config/object_reader.hpp"
#include "jujubespan/config/settings.hpp"
#include "jujubespan/config/status_text.hpp"
#include "jujubespan/http/descriptor_limit.hpp"

#include <nlohmann/json.hpp>

#include <QCoreApplication>

#include <charconv>

namespace jujubespan::apps
{

namespace
{

config::endpoint parse_endpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    config::endpoint endpoint;
    endpoint.host = text.substr(0, colon);
    if (colon != std::string::npos)
    {
        std::from_chars(text.data() + colon + 1, text.data() + text.size(),
                        endpoint.port);
    }
    return endpoint;
}

request_kind read_request_kind(const config::json_value& value,
                               std::string field_path, double rate_scale,
                               config::diagnostics& errors)
{
    config::object_reader reader(value, std::move(field_path), errors);
    request_kind kind;
    kind.name = reader.required_string("name");
    kind.requests_per_second =
        reader.required_number("rate", 0, 1e6) * rate_scale;
    kind.method = reader.string_or("method", "GET");
    kind.target = reader.required_string("target");
    for (const auto& node : reader.strings_or_empty("nodes"))
    {
        kind.nodes.push_back(parse_endpoint(node));
    }
    if (kind.nodes.empty())
    {
        reader.add_error("nodes", "must name at least one host:port");
    }
    reader.report_unknown_keys();
    return kind;
}

absl::StatusOr<load_plan> read_plan(const std::string& path, double rate_scale)
{
    const auto text = config::read_file(path);
    if (!text.ok())
    {
        return text.status();
    }
    config::diagnostics errors(path);
    const auto document = config::parse_json(*text, errors);
    if (!document)
    {
        return errors.status();
    }
    config::object_reader reader(*document, "", errors);
    load_plan plan;
    plan.customer = reader.required_string("customer");
    plan.max_retries =
        static_cast<unsigned>(reader.integer_or("retries", 0, 0, 100));
    plan.retry_delay = reader.milliseconds_or("retry_delay_ms", 50, 1, 60'000);
    plan.deadline = reader.milliseconds_or("deadline_ms", 1000, 1, 300'000);
    const auto kinds = reader.read_array("kinds", true);
    for (std::size_t i = 0; i < kinds.size(); ++i)
    {
        plan.kinds.push_back(read_request_kind(
            kinds[i], fmt::format("kinds[{}]", i), rate_scale, errors));
    }
    reader.report_unknown_keys();
    if (!errors.ok())
    {
        return errors.status();
    }
    std::erase_if(plan.kinds, [](const auto& kind)
                  { return kind.requests_per_second <= 0; });
    return plan;
}

nlohmann::json to_json(const request_kind& kind, const kind_report& report,
                       double duration_s)
{
    return {{"name", kind.name},
            {"offered_per_s", static_cast<double>(report.sent) / duration_s},
            {"sent", report.sent},
            {"attempts", report.attempts},
            {"completed", report.completed},
            {"late", report.late},
            {"not_run", report.not_run},
            {"unknown", report.unknown},
            {"failed", report.failed},
            {"lost", report.lost},
            {"p50_ms", quantile(report.latencies_ms, 0.5)},
            {"p99_ms", quantile(report.latencies_ms, 0.99)},
            {"completed_by_slice", report.completed_by_slice}};
}

void print_table(const load_plan& plan, std::span<const kind_report> reports)
{
    fmt::print("{:14} {:>8} {:>9} {:>9} {:>6} {:>8} {:>8} {:>7} {:>6} {:>8} "
               "{:>8}\n",
               "kind", "sent", "attempts", "completed", "late", "not-run",
               "unknown", "failed", "lost", "p50 ms", "p99 ms");
    for (std::size_t i = 0; i < reports.size(); ++i)
    {
        const auto& report = reports[i];
        fmt::print("{:14} {:>8} {:>9} {:>9} {:>6} {:>8} {:>8} {:>7} {:>6} "
                   "{:>8.1f} {:>8.1f}\n",
                   plan.kinds[i].name, report.sent, report.attempts,
                   report.completed, report.late, report.not_run,
                   report.unknown, report.failed, report.lost,
                   quantile(report.latencies_ms, 0.5),
                   quantile(report.latencies_ms, 0.99));
    }
}

} // namespace

int run_load(arguments args)
{
    TCLAP::CmdLine command_line(
        "Sends open-loop load and prints the results of each kind of request",
        ' ', JUJUBESPAN_VERSION);
    TCLAP::SwitchArg json("", "json", "Print JSON", command_line);
    TCLAP::ValueArg<double> duration_s("", "seconds",
                                       "Duration of the load in seconds", false,
                                       10, "seconds", command_line);
    TCLAP::ValueArg<double> rate_scale("", "scale",
                                       "Factor applied to all request rates",
                                       false, 1, "factor", command_line);
    TCLAP::ValueArg<unsigned> seed("", "seed",
                                   "Random seed of the arrival times", false, 1,
                                   "number", command_line);
    TCLAP::ValueArg<std::string> id_prefix("", "id-prefix",
                                           "Prefix of the request IDs", false,
                                           "load", "text", command_line);
    TCLAP::UnlabeledValueArg<std::string> file("plan",
                                               "Load plan, JSON with comments",
                                               true, "", "file", command_line);
    if (const auto code = parse_arguments(command_line, args))
    {
        return *code;
    }
    auto plan = read_plan(file.getValue(), rate_scale.getValue());
    if (!plan.ok())
    {
        fmt::print(stderr, "{}\n", text_of(plan.status()));
        return exit_usage;
    }
    plan->duration_s = duration_s.getValue();
    plan->seed = seed.getValue();
    plan->id_prefix = id_prefix.getValue();
    http::raise_descriptor_limit();
    load_generator generator(*plan, [] { QCoreApplication::quit(); });
    generator.start();
    QCoreApplication::exec();
    if (!json.getValue())
    {
        print_table(*plan, generator.reports());
        return exit_ok;
    }
    auto document = nlohmann::json::array();
    for (std::size_t i = 0; i < plan->kinds.size(); ++i)
    {
        document.push_back(
            to_json(plan->kinds[i], generator.reports()[i], plan->duration_s));
    }
    fmt::print("{}\n", document.dump());
    return exit_ok;
}

} // namespace jujubespan::apps
