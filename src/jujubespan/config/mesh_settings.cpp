#include "jujubespan/config/mesh_settings.hpp"

#include "jujubespan/config/field_readers.hpp"
#include "jujubespan/config/object_reader.hpp"

#include <fmt/format.h>

namespace jujubespan::config
{

namespace
{

constexpr double max_stop_grace_s = 600;
constexpr double max_retry_window_s = 600;
constexpr double max_retry_ratio = 10;
constexpr double max_retry_slack = 1e6;
// A node learns of a change within about two seconds.
constexpr std::uint64_t min_revocation_bound_ms = 3000;
constexpr std::uint64_t max_revocation_bound_ms = 3'600'000;
constexpr double max_allowance_window_s = 600;
constexpr double max_allowance_slack = 1e6;

retry_budget_settings read_retry_budget(object_reader& reader)
{
    retry_budget_settings value;
    value.ratio = reader.number_or("retry_ratio", 0.2, 0, max_retry_ratio);
    value.slack = reader.number_or("retry_slack", 10, 0, max_retry_slack);
    value.window = from_seconds(
        reader.number_or("retry_window_s", 10, 1, max_retry_window_s));
    return value;
}

revocation_settings read_revocation(object_reader& reader)
{
    revocation_settings value;
    value.strict = reader.bool_or("strict_revocation", false);
    value.bound = reader.milliseconds_or("revocation_bound_ms", 5000,
                                         min_revocation_bound_ms,
                                         max_revocation_bound_ms);
    return value;
}

allowance_settings read_allowance(object_reader& reader)
{
    allowance_settings value;
    value.window = from_seconds(
        reader.number_or("allowance_window_s", 5, 1, max_allowance_window_s));
    value.tolerance = reader.number_or("allowance_tolerance", 0.25, 0, 1);
    value.slack =
        reader.number_or("allowance_slack", 20, 0, max_allowance_slack);
    return value;
}

mechanism_set read_mechanisms(object_reader& reader)
{
    constexpr std::string_view key = "disabled_mechanisms";
    mechanism_set value;
    for (const auto& name : reader.strings_or_empty(key))
    {
        const auto item = parse_mechanism(name);
        if (!item)
        {
            reader.add_error(key,
                             fmt::format("\"{}\" is not a mechanism", name));
        }
        else if (!value.disable(*item))
        {
            reader.add_error(key, fmt::format("\"{}\" is given twice", name));
        }
    }
    return value;
}

} // namespace

absl::StatusOr<mesh_settings> parse_mesh_settings(std::string_view text,
                                                  std::string_view file)
{
    diagnostics errors{std::string(file)};
    const auto document = parse_json(text, errors);
    if (!document)
    {
        return errors.status();
    }
    object_reader reader(*document, "", errors);
    mesh_settings value;
    value.id = reader.required_string("id");
    value.service = reader.required_string("service");
    value.failure_domain = reader.required_string("failure_domain");
    value.client_address = read_endpoint(reader, "client_address");
    value.readiness_address = read_endpoint(reader, "readiness_address");
    value.call_address = read_endpoint(reader, "call_address");
    if (reader.has_field("call_listen_address"))
    {
        value.call_listen_address =
            read_endpoint(reader, "call_listen_address");
    }
    value.metrics_address = read_endpoint(reader, "metrics_address");
    value.backend_address = read_endpoint(reader, "backend_address");
    value.discovery_address = read_endpoint(reader, "discovery_address");
    value.first_start = reader.bool_or("first_start", false);
    value.protection = reader.bool_or("protection", true);
    value.queue_wait = reader.milliseconds_or("queue_wait_ms", 50, 1, 10'000);
    value.stop_grace =
        from_seconds(reader.number_or("stop_grace_s", 6, 1, max_stop_grace_s));
    value.max_buffered_bytes = reader.integer_or(
        "max_buffered_bytes", 64U << 20U, 1U << 20U, 1U << 30U);
    value.max_connections =
        reader.integer_or("max_connections", 1400, 1, 20'000);
    value.retry_budget = read_retry_budget(reader);
    value.revocation = read_revocation(reader);
    value.allowance = read_allowance(reader);
    value.mechanisms = read_mechanisms(reader);
    value.log_level = read_log_level(reader);
    reader.report_unknown_keys();
    if (!errors.ok())
    {
        return errors.status();
    }
    return value;
}

} // namespace jujubespan::config
