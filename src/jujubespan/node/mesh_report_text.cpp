#include "jujubespan/node/mesh_report_text.hpp"

#include "jujubespan/metrics/exposition.hpp"

#include <fmt/format.h>

#include <array>

namespace jujubespan::node
{

namespace
{

using engine::outcome;
using engine::reason;
using metrics::exposition;

constexpr std::array all_outcomes{outcome::answered, outcome::not_run,
                                  outcome::unknown, outcome::rejected};

void add_counter(exposition& out, std::string_view name, std::string_view help,
                 double value)
{
    out.begin_family(name, "counter", help);
    out.add_sample(name, "", value);
}

void add_gauge(exposition& out, std::string_view name, std::string_view help,
               double value)
{
    out.begin_family(name, "gauge", help);
    out.add_sample(name, "", value);
}

void add_reason_counters(exposition& out, std::string_view name,
                         std::string_view help,
                         std::span<const std::uint64_t> counts)
{
    out.begin_family(name, "counter", help);
    for (std::size_t i = 0; i < counts.size(); ++i)
    {
        if (counts[i] > 0)
        {
            out.add_sample(name,
                           metrics::format_label(
                               "reason", to_string(static_cast<reason>(i))),
                           static_cast<double>(counts[i]));
        }
    }
}

void add_requests(exposition& out, const mesh::mesh_metrics& counts)
{
    out.begin_family("jujubespan_requests_total", "counter",
                     "Requests by their outcome.");
    for (const auto item : all_outcomes)
    {
        out.add_sample("jujubespan_requests_total",
                       metrics::format_label("outcome", to_string(item)),
                       static_cast<double>(
                           counts.outcomes[static_cast<std::size_t>(item)]));
    }
    add_reason_counters(
        out, "jujubespan_egress_results_total",
        "Requests of clients and the backend server, by reason.",
        counts.egress_reasons);
    add_reason_counters(out, "jujubespan_guard_results_total",
                        "Calls for the local backend server, by reason.",
                        counts.guard_reasons);
    out.begin_family("jujubespan_request_seconds", "histogram",
                     "Latency of requests by priority of their route.");
    for (const auto& [priority, histogram] : counts.latency)
    {
        out.add_histogram(
            "jujubespan_request_seconds",
            metrics::format_label("priority", fmt::format("{}", priority)),
            histogram);
    }
    out.begin_family("jujubespan_backend_seconds", "histogram",
                     "Time that the local backend server took.");
    out.add_histogram("jujubespan_backend_seconds", "", counts.backend);
}

} // namespace

std::string to_metrics(const mesh_report& traffic,
                       const control_report& control)
{
    exposition out;
    const auto& counts = traffic.metrics;
    add_requests(out, counts);
    add_counter(out, "jujubespan_attempts_total", "Attempts at instances.",
                static_cast<double>(counts.attempts));
    add_counter(out, "jujubespan_repeats_total",
                "Repeats paid from the retry budget.",
                static_cast<double>(counts.retries));
    add_counter(out, "jujubespan_repeats_denied_total",
                "Repeats for which the retry budget had no room.",
                static_cast<double>(counts.retry_budget.denied));
    add_counter(out, "jujubespan_retry_budget_requests_total",
                "Client requests that earned retry budget at the guard.",
                static_cast<double>(counts.retry_budget.requests));
    add_counter(out, "jujubespan_retry_budget_withdrawn_total",
                "Of these, requests that did not reach the backend server.",
                static_cast<double>(counts.retry_budget.withdrawn));
    out.begin_family("jujubespan_retries_charged_total", "counter",
                     "Retries charged to the guard's budget: attempts, and "
                     "calls made by retried requests.");
    out.add_sample("jujubespan_retries_charged_total",
                   metrics::format_label("cause", "attempt"),
                   static_cast<double>(counts.retry_budget.attempts));
    out.add_sample("jujubespan_retries_charged_total",
                   metrics::format_label("cause", "caller"),
                   static_cast<double>(counts.retry_budget.calls));
    add_counter(out, "jujubespan_calls_without_parent_total",
                "Calls of the backend server whose request is not known.",
                static_cast<double>(counts.retry_budget.calls_without_parent));
    add_counter(out, "jujubespan_resends_total",
                "Requests sent again that had not arrived anywhere.",
                static_cast<double>(counts.resends));
    add_counter(out, "jujubespan_clients_gone_total",
                "Requests whose sender closed its connection.",
                static_cast<double>(counts.clients_disconnected));
    add_counter(out, "jujubespan_late_replies_total",
                "Replies to calls that were given up.",
                static_cast<double>(counts.late_replies));
    add_counter(out, "jujubespan_allowance_admitted_total",
                "Requests charged to the allowance of an organisation.",
                static_cast<double>(counts.allowance_admitted));
    add_counter(out, "jujubespan_allowance_refused_total",
                "Requests refused because an allowance was used up.",
                static_cast<double>(counts.allowance_refused));
    add_counter(out, "jujubespan_allowance_tokens_granted_total",
                "Tokens of allowances granted to nodes.",
                static_cast<double>(counts.allowance_tokens_granted));
    add_counter(out, "jujubespan_backend_starts_total",
                "Requests sent to the local backend server.",
                static_cast<double>(counts.backend_starts));
    add_counter(out, "jujubespan_backend_ends_total",
                "Times that the process of the local backend server ended.",
                static_cast<double>(counts.backend_ends));
    add_gauge(out, "jujubespan_suspect_requests",
              "Requests that were running when backend servers ended.",
              static_cast<double>(traffic.suspect_requests));
    add_gauge(out, "jujubespan_quarantined_requests",
              "Requests that no node sends to a backend server.",
              static_cast<double>(traffic.quarantined_requests));
    add_counter(out, "jujubespan_backend_connects_total",
                "Connections opened to the local backend server.",
                static_cast<double>(traffic.backend_connect_attempts));
    add_counter(out, "jujubespan_peer_sent_bytes_total", "Bytes sent to nodes.",
                static_cast<double>(traffic.peer_counters.sent_bytes));
    add_counter(out, "jujubespan_discovery_calls_total",
                "Calls to the discovery service.",
                static_cast<double>(control.discovery_calls));
    add_gauge(out, "jujubespan_peer_connections", "Connections to nodes.",
              static_cast<double>(traffic.peer_connections));
    add_gauge(out, "jujubespan_client_connections", "Connections of clients.",
              static_cast<double>(traffic.client_connections));
    add_gauge(out, "jujubespan_running",
              "Calls running or queued at the guard.",
              traffic.guard_load.in_flight);
    add_gauge(out, "jujubespan_limit", "Concurrency limit of the guard.",
              traffic.guard_load.limit);
    if (counts.backend_rate_limit)
    {
        add_gauge(out, "jujubespan_backend_rate_limit",
                  "Requests per second announced by the local backend server; "
                  "absent without a limit.",
                  *counts.backend_rate_limit);
    }
    if (traffic.guard_load.slowness > 0)
    {
        add_gauge(out, "jujubespan_backend_slowness",
                  "Execution time of the local backend server relative to the "
                  "usual one; absent when it has not stated any for a second.",
                  traffic.guard_load.slowness);
    }
    add_counter(out, "jujubespan_ignored_load_headers_total",
                "Load headers of the local backend server that could not be "
                "parsed.",
                static_cast<double>(counts.ignored_load_headers));
    add_gauge(out, "jujubespan_backend_leaving",
              "1 once the local backend server has announced that it stops.",
              counts.backend_leaving ? 1 : 0);
    add_gauge(out, "jujubespan_client_buffered_bytes",
              "Bytes of unanswered requests of clients.",
              static_cast<double>(traffic.client_buffered_bytes));
    add_gauge(out, "jujubespan_guard_body_bytes",
              "Request bodies of the calls running or queued at the guard.",
              static_cast<double>(traffic.guard_body_bytes));
    add_gauge(out, "jujubespan_configuration_version", "Version in force.",
              static_cast<double>(traffic.configuration_version));
    if (traffic.configuration_age)
    {
        add_gauge(
            out, "jujubespan_configuration_age_seconds",
            "Time for which the configuration in force has not been shown "
            "to be the latest; absent if it never was, and without "
            "organisations.",
            seconds(*traffic.configuration_age));
    }
    add_gauge(out, "jujubespan_configuration_defects",
              "Unreadable entries and fields of the configuration in force.",
              static_cast<double>(control.configuration_defects));
    add_gauge(out, "jujubespan_discovery_revision", "Revision read up to.",
              static_cast<double>(number_of(control.discovery_revision)));
    add_gauge(out, "jujubespan_discovery_era",
              "Rises when the discovery service is restored from a copy.",
              static_cast<double>(era_of(control.discovery_revision)));
    add_gauge(out, "jujubespan_instances", "Instances known.",
              static_cast<double>(control.instance_count));
    add_gauge(out, "jujubespan_discovery_interrupted",
              "1 while the discovery service cannot be reached.",
              control.discovery_interrupted ? 1 : 0);
    add_gauge(out, "jujubespan_discovery_reading",
              "1 while this node reads the discovery service itself.",
              control.reads_discovery ? 1 : 0);
    add_gauge(out, "jujubespan_ready", "1 while the node takes requests.",
              traffic.ready ? 1 : 0);
    return out.text();
}

} // namespace jujubespan::node
