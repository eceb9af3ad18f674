// Requests under which the local backend server's process has ended: who is
// suspected, what other nodes are notified of, and what must not start.

#include "jujubespan/mesh/guard.hpp"

#include "jujubespan/metrics/log.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace jujubespan::mesh
{

namespace
{

using engine::answer;
using engine::outcome;

constexpr unsigned first_server_error = 500;
constexpr std::size_t max_logged_fingerprints = 100;
// A server may run a request for this time after it was cancelled.
constexpr duration cancelled_run_time = std::chrono::milliseconds(250);
constexpr duration expiry_interval = std::chrono::milliseconds(500);
// All nodes are notified of each completion, so those of a crash are sent
// together.
constexpr duration completion_report_interval = std::chrono::milliseconds(200);
// An end is reported again after these times.
constexpr std::array<duration, 3> report_times{
    duration::zero(), std::chrono::seconds(1), std::chrono::seconds(4)};

std::string join_fingerprints(std::span<const request_fingerprint> values)
{
    std::string text;
    for (const auto value :
         values.first(std::min(values.size(), max_logged_fingerprints)))
    {
        text += text.empty() ? "" : ",";
        text += to_text(value);
    }
    return text;
}

} // namespace

bool guard::must_not_start(request_fingerprint request, time_point now) const
{
    switch (shared_.suspects.standing(request, now))
    {
    case request_standing::clear:
        return false;
    case request_standing::suspected:
        return running_suspects_.contains(request);
    case request_standing::isolated:
        return isolated_call_runs_;
    case request_standing::held:
    case request_standing::quarantined:
        break;
    }
    return true;
}

// A request that the server has completed recently does not end it.
std::vector<request_fingerprint>
guard::requests_to_suspect(time_point now) const
{
    std::vector<request_fingerprint> running;
    for (const auto& [id, call] : calls_)
    {
        if (call.running && call.started_at <= first_failure_at_)
        {
            running.push_back(call.fingerprint);
        }
    }
    for (const auto& item : cancelled_requests_)
    {
        if (now - item.at < cancelled_run_time)
        {
            running.push_back(item.request);
        }
    }
    std::sort(running.begin(), running.end());
    running.erase(std::unique(running.begin(), running.end()), running.end());
    std::erase_if(running, [this](request_fingerprint request)
                  { return recent_completions_.contains(request); });
    return running;
}

void guard::record_server_end(time_point now)
{
    auto requests = requests_to_suspect(now);
    ++shared_.metrics.backend_ends;
    const auto* own =
        instances_ == nullptr
            ? nullptr
            : instances_->find_by_backend_address(options_.backend_address);
    const bool planned =
        own != nullptr && (own->leaving || announced_leaving(own->id));
    log(log_level::warn, "backend_ended",
        "instance={} planned={} suspects={} fingerprints={}",
        own == nullptr ? "" : own->id, planned, requests.size(),
        join_fingerprints(requests));
    if (planned || requests.empty())
    {
        return;
    }
    reported_ends_.push_back({{next_end_id_++, {}, std::move(requests)}, now});
    const suspicion_report report{{reported_ends_.back().end}, {}};
    log_quarantined(shared_.suspects.merge(report, now));
    send_reports(now);
}

void guard::log_quarantined(std::span<const request_fingerprint> requests) const
{
    for (const auto request : requests)
    {
        const auto running =
            std::find_if(calls_.begin(), calls_.end(),
                         [&](const auto& entry)
                         { return entry.second.fingerprint == request; });
        if (running == calls_.end())
        {
            log(log_level::warn, "request_quarantined", "fingerprint={}",
                to_text(request));
            continue;
        }
        const auto& message = running->second.message;
        log(log_level::warn, "request_quarantined",
            "fingerprint={} request={} route={} service={} caller={}",
            to_text(request), message.request_id, message.route,
            message.service, message.caller_service);
    }
}

void guard::record_completion(const pending_call& call, const answer& result,
                              time_point now)
{
    if (result.result != outcome::answered ||
        result.response.status >= first_server_error)
    {
        return;
    }
    recent_completions_.record(call.fingerprint, now);
    if (shared_.suspects.record_completion(call.fingerprint, now))
    {
        unsent_completions_.push_back({call.fingerprint, now});
    }
}

void guard::on_suspicion_report(const suspicion_report& report, time_point now)
{
    log_quarantined(shared_.suspects.merge(report, now));
}

void guard::send_reports(time_point now)
{
    suspicion_report report;
    for (auto& item : reported_ends_)
    {
        if (now - item.at >= report_times[item.times_sent])
        {
            ++item.times_sent;
            report.ends.push_back(item.end);
            report.ends.back().age = now - item.at;
        }
    }
    std::erase_if(reported_ends_, [](const reported_end& item)
                  { return item.times_sent >= report_times.size(); });
    if (!unsent_completions_.empty() &&
        now - unsent_completions_.front().at >= completion_report_interval)
    {
        for (const auto& item : std::exchange(unsent_completions_, {}))
        {
            report.completions.push_back({item.request, now - item.at});
        }
    }
    if (suspicion_port_ != nullptr && !report.empty())
    {
        suspicion_port_->send_report(report, now);
    }
}

void guard::update_suspects(time_point now)
{
    send_reports(now);
    while (!cancelled_requests_.empty() &&
           now - cancelled_requests_.front().at >= cancelled_run_time)
    {
        cancelled_requests_.pop_front();
    }
    if (now >= next_expiry_)
    {
        next_expiry_ = now + expiry_interval;
        shared_.suspects.expire(now);
        recent_completions_.expire(now);
    }
}

} // namespace jujubespan::mesh
