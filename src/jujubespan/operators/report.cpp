#include "jujubespan/operators/report.hpp"

#include "jujubespan/metrics/exposition.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace jujubespan::operators
{

namespace
{

using metrics::exposition;
using metrics::format_label;

// Adds a family with one sample that has no labels.
void add_metric(exposition& out, std::string_view name, std::string_view type,
                std::string_view help, double value)
{
    out.begin_family(name, type, help);
    out.add_sample(name, "", value);
}

// Adds a family with one sample for each plane.
void add_peer_family(exposition& out, const node_report& report,
                     std::string_view name, std::string_view type,
                     std::string_view help,
                     std::uint64_t peer_counters::*counter)
{
    out.begin_family(name, type, help);
    out.add_sample(name, format_label("plane", "calls"),
                   static_cast<double>(report.calls.*counter));
    out.add_sample(name, format_label("plane", "control"),
                   static_cast<double>(report.control.*counter));
}

// Ids of requests may hold any bytes. Those that are no UTF-8 are replaced; the
// JSON library would throw at them.
std::string to_text(const nlohmann::json& document)
{
    constexpr int indent = 2;
    return document.dump(indent, ' ', false,
                         nlohmann::json::error_handler_t::replace) +
           "\n";
}

void add_peer_metrics(exposition& out, const node_report& report)
{
    add_peer_family(out, report, "jujubespan_peer_sent_messages_total",
                    "counter", "Messages sent to other nodes.",
                    &peer_counters::sent_messages);
    add_peer_family(out, report, "jujubespan_peer_sent_bytes_total", "counter",
                    "Bytes of messages sent to other nodes.",
                    &peer_counters::sent_bytes);
    add_peer_family(out, report, "jujubespan_peer_received_messages_total",
                    "counter", "Messages received from other nodes.",
                    &peer_counters::received_messages);
    add_peer_family(out, report, "jujubespan_peer_received_bytes_total",
                    "counter", "Bytes of messages received.",
                    &peer_counters::received_bytes);
    add_peer_family(out, report, "jujubespan_peer_dropped_messages_total",
                    "counter",
                    "Messages malformed, of unknown version or misaddressed.",
                    &peer_counters::dropped_messages);
    add_peer_family(out, report, "jujubespan_peer_connections", "gauge",
                    "Connections made to other nodes.",
                    &peer_counters::connections);
}

void add_outcome_counters(exposition& out,
                          const engine::engine_metrics& metrics)
{
    out.begin_family("jujubespan_calls_total", "counter", "Calls by outcome.");
    for (std::size_t i = 0; i < metrics.outcomes.size(); ++i)
    {
        const auto outcome = static_cast<engine::outcome>(i);
        out.add_sample("jujubespan_calls_total",
                       format_label("outcome", engine::to_string(outcome)),
                       static_cast<double>(metrics.outcomes[i]));
    }
    out.begin_family("jujubespan_not_answered_total", "counter",
                     "Calls that were not answered, by reason.");
    for (std::size_t i = 0; i < metrics.not_answered.size(); ++i)
    {
        const auto reason = static_cast<engine::reason>(i);
        if (metrics.not_answered[i] > 0)
        {
            out.add_sample("jujubespan_not_answered_total",
                           format_label("reason", engine::to_string(reason)),
                           static_cast<double>(metrics.not_answered[i]));
        }
    }
}

} // namespace

std::string to_metrics(const node_report& report)
{
    exposition out;
    const auto& status = report.status;
    const auto& metrics = report.metrics;
    out.begin_family("jujubespan_request_seconds", "histogram",
                     "Time from a caller's request to its answer.");
    for (const auto& [key, histogram] : metrics.latency)
    {
        const auto labels =
            fmt::format("{},{}", format_label("customer", key.first),
                        format_label("class", to_string(key.second)));
        out.add_histogram("jujubespan_request_seconds", labels, histogram);
    }
    add_outcome_counters(out, metrics);
    add_metric(out, "jujubespan_backend_starts_total", "counter",
               "Calls sent to the backend server.",
               static_cast<double>(metrics.backend_starts));
    add_metric(out, "jujubespan_attempts_total", "counter",
               "Attempts at calls to other services.",
               static_cast<double>(metrics.attempts));
    add_metric(out, "jujubespan_retries_total", "counter",
               "Attempts after the first.",
               static_cast<double>(metrics.retries));
    add_metric(out, "jujubespan_late_replies_total", "counter",
               "Replies to attempts already given up.",
               static_cast<double>(metrics.late_replies));
    add_metric(out, "jujubespan_pauses_total", "counter",
               "Times the traffic thread did not run for half a second.",
               static_cast<double>(metrics.pauses));
    add_metric(out, "jujubespan_admission_level", "gauge",
               "Shed keys below this are admitted; 4096 admits all.",
               status.level);
    add_metric(out, "jujubespan_running", "gauge",
               "Calls running on the backend server.", status.running);
    add_metric(out, "jujubespan_queued", "gauge", "Calls waiting for a slot.",
               static_cast<double>(status.queued));
    add_metric(out, "jujubespan_concurrency_limit", "gauge",
               "Calls that may run at once; 0 without protection.",
               status.limit);
    add_metric(out, "jujubespan_tickets", "gauge",
               "Requests recorded so that they run at most once.",
               static_cast<double>(status.tickets));
    add_metric(out, "jujubespan_leaving", "gauge",
               "1 while the node takes no new work.", status.leaving ? 1 : 0);
    add_metric(out, "jujubespan_caller_connections", "gauge",
               "Open connections of callers.",
               static_cast<double>(report.caller_connections));
    out.begin_family("jujubespan_ejected_upstreams", "gauge",
                     "Upstreams not used after failures, by service.");
    for (const auto& [service, count] : status.ejected)
    {
        out.add_sample("jujubespan_ejected_upstreams",
                       format_label("service", service),
                       static_cast<double>(count));
    }
    out.begin_family("jujubespan_revision", "gauge",
                     "Revision in force, by topic.");
    out.add_sample("jujubespan_revision", format_label("topic", "contracts"),
                   static_cast<double>(status.contracts_revision));
    out.add_sample("jujubespan_revision", format_label("topic", "instances"),
                   static_cast<double>(report.instances_revision));
    add_metric(out, "jujubespan_rejected_revision", "gauge",
               "Highest revision of the contracts that was rejected.",
               static_cast<double>(report.rejected_revision));
    add_metric(out, "jujubespan_stale_deltas_total", "counter",
               "Answers below the revision in force, dropped.",
               static_cast<double>(report.stale_deltas));
    add_metric(out, "jujubespan_platform_calls_total", "counter",
               "Calls to the platform.",
               static_cast<double>(report.platform_calls));
    add_metric(out, "jujubespan_reader", "gauge",
               "1 while this node watches the platform.",
               report.watches_platform ? 1 : 0);
    add_peer_metrics(out, report);
    return out.text();
}

std::string to_json(const node_report& report)
{
    const auto& status = report.status;
    const nlohmann::json document = {
        {"id", report.id},
        {"service", report.service},
        {"failure_domain", report.failure_domain},
        {"incarnation", report.incarnation},
        {"contracts_revision", status.contracts_revision},
        {"instances_revision", report.instances_revision},
        {"rejected_revision", report.rejected_revision},
        {"customers", status.customers},
        {"level", status.level},
        {"running", status.running},
        {"queued", status.queued},
        {"limit", status.limit},
        {"tickets", status.tickets},
        {"leaving", status.leaving},
        {"reader", report.watches_platform},
        {"upstreams", status.upstreams},
        {"ejected", status.ejected}};
    return to_text(document);
}

std::string to_json(std::span<const engine::decision> decisions)
{
    auto document = nlohmann::json::array();
    for (const auto& decision : decisions)
    {
        document.push_back({{"request_id", decision.request_id},
                            {"customer", decision.customer},
                            {"method", decision.method},
                            {"outcome", engine::to_string(decision.result)},
                            {"reason", engine::to_string(decision.reason)},
                            {"class", to_string(class_of(decision.key))},
                            {"shed_key", decision.key},
                            {"own_level", decision.own_level},
                            {"downstream_level", decision.downstream_level},
                            {"depth", decision.depth}});
    }
    return to_text(document);
}

std::string make_status_page()
{
    return R"html(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>jujubespan node</title>
<style>body{font-family:sans-serif;margin:2em}h2{font-size:1em}
.bar{display:inline-block;width:24px;margin-right:2px;background:#47a}
td{vertical-align:bottom;font-size:.7em;text-align:center}</style></head>
<body><h1>Latency by customer and class</h1><div id="charts"></div>
<h1>Status</h1><pre id="status"></pre><script>
const bucket=/^jujubespan_request_seconds_bucket\{(.*),le="(.*)"\} (.*)$/;
async function draw(){
  const text=await(await fetch('/metrics')).text();
  const series={};
  for(const line of text.split('\n')){
    const m=bucket.exec(line);
    if(m)(series[m[1]]=series[m[1]]||[]).push([m[2],Number(m[3])]);
  }
  const charts=document.getElementById('charts');
  charts.replaceChildren();
  for(const [name,rows] of Object.entries(series)){
    let previous=0;
    const counts=rows.map(([le,n])=>{const c=n-previous;previous=n;return[le,c]});
    const maxCount=Math.max(1,...counts.map(r=>r[1]));
    const title=document.createElement('h2');
    title.textContent=name;
    const table=document.createElement('table');
    const row=table.insertRow();
    for(const [le,c] of counts){
      const cell=row.insertCell();
      const bar=document.createElement('span');
      bar.className='bar';
      bar.style.height=(80*c/maxCount)+'px';
      bar.title=c;
      cell.append(bar,document.createElement('br'),le);
    }
    charts.append(title,table);
  }
  document.getElementById('status').textContent=
    await(await fetch('/status')).text();
}
draw();setInterval(draw,2000);
</script></body></html>
)html";
}

} // namespace jujubespan::operators
