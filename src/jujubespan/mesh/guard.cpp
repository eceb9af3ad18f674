#include "jujubespan/mesh/guard.hpp"

#include "jujubespan/engine/http_mapping.hpp"
#include "jujubespan/metrics/log.hpp"
#include "jujubespan/policy/stable_hash.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace jujubespan::mesh
{

namespace
{

using engine::answer;
using engine::outcome;
using engine::reason;

// Share of the published slots that the limit allows. Some backend servers
// slow down when their last slots are taken, and new connections occupy a slot
// briefly.
constexpr double usable_slot_share = 0.95;
// Slots assumed until discovery lists the backend server.
constexpr std::uint32_t default_slots = 16;
// A call with less time than this until its deadline is refused.
constexpr duration min_run_time = std::chrono::milliseconds(5);

// Slow-down factor from which queued calls are returned.
constexpr double slow_server = 2;
constexpr duration load_defect_log_interval = std::chrono::seconds(1);
constexpr std::size_t max_logged_header = 64;
constexpr duration budget_log_interval = std::chrono::seconds(1);

constexpr unsigned request_timeout = 408;
constexpr unsigned misdirected = 421;
constexpr unsigned too_many_requests = 429;
constexpr unsigned service_unavailable = 503;

std::unique_ptr<concurrency_limit> make_limit(std::uint32_t slots,
                                              bool protection)
{
    if (!protection)
    {
        return nullptr;
    }
    const auto usable_slots = static_cast<std::uint32_t>(
        std::floor(std::max(1U, slots) * usable_slot_share));
    return make_fixed_limit(usable_slots);
}

// Statuses that tell a client that its request has not run. A backend server
// may send them for a request that has run, so they prove nothing without the
// not-run header.
bool implies_not_run(unsigned status)
{
    return status == request_timeout || status == misdirected ||
           status == too_many_requests || status == service_unavailable;
}

bool is_success(unsigned status)
{
    constexpr unsigned first = 200;
    constexpr unsigned last = 299;
    return status >= first && status <= last;
}

bool may_succeed_elsewhere(reason cause)
{
    return cause != reason::deadline && cause != reason::cancelled &&
           cause != reason::quarantined;
}

} // namespace

guard::guard(guard_options options, mesh_state& shared,
             engine::backend_port& backend, routed_reply_port& replies,
             time_point now)
    : options_(std::move(options)), shared_(shared), backend_(backend),
      replies_(replies), gate_(make_limit(default_slots, options_.protection),
                               options_.queue_wait, options_.max_queue),
      retry_budget_(options_.retry_budget, options_.fleet_starting, now),
      next_end_id_(stable_hash(
          options_.backend_address,
          static_cast<std::uint64_t>(now.time_since_epoch().count()))),
      memory_(std::numeric_limits<std::size_t>::max(), options_.memory)
{
}

void guard::apply(const instance_directory& list, time_point now)
{
    instances_ = &list;
    const auto all = list.all();
    retry_budget_.set_guard_count(
        static_cast<std::size_t>(std::count_if(all.begin(), all.end(),
                                               [this](const instance& item) {
                                                   return item.service ==
                                                          options_.service;
                                               })),
        now);
    const auto* own = list.find_by_backend_address(options_.backend_address);
    if (own == nullptr || own->slots == published_slots_)
    {
        return;
    }
    published_slots_ = own->slots;
    gate_.replace_limit(make_limit(published_slots_, options_.protection));
    log(log_level::info, "backend_known", "instance={} slots={} limit={}",
        own->id, published_slots_, gate_.limit(now));
}

std::optional<reason> guard::reason_to_refuse(const routed_call& call,
                                              time_point now) const
{
    if (stopped_admitting_)
    {
        return reason::leaving;
    }
    if (call.service != options_.service)
    {
        return reason::wrong_instance;
    }
    if (call.deadline <= now + min_run_time)
    {
        return reason::deadline;
    }
    if (announced_leaving(call.instance))
    {
        return reason::leaving;
    }
    if (instances_ == nullptr)
    {
        return std::nullopt;
    }
    switch (instances_->state(call.instance))
    {
    case instance_state::leaving:
    case instance_state::removed:
        return reason::leaving;
    case instance_state::unknown: // The sender may have a newer list.
    case instance_state::usable:
        break;
    }
    return std::nullopt;
}

std::uint64_t guard::incarnation_of(std::string_view id) const
{
    const auto* listed = instances_ == nullptr ? nullptr : instances_->find(id);
    return listed == nullptr ? 0 : listed->incarnation;
}

bool guard::announced_leaving(std::string_view id) const
{
    return shared_.leaving.contains(id, incarnation_of(id));
}

bool guard::spend_retry_budget(const routed_call& call, time_point now)
{
    if (call.retry == retry_cause::none)
    {
        return true;
    }
    auto& counters = shared_.metrics.retry_budget;
    if (!retry_budget_.try_spend(call.retry, now))
    {
        ++counters.denied;
        return false;
    }
    ++(call.retry == retry_cause::attempt ? counters.attempts : counters.calls);
    return true;
}

bool guard::earns_retry_budget(const routed_call& call)
{
    return call.client_request && call.retry == retry_cause::none;
}

// The sums over all guards of a service show whether its retries were charged
// and what earned them.
void guard::log_retry_budget(time_point now)
{
    if (now < next_budget_log_)
    {
        return;
    }
    next_budget_log_ = now + budget_log_interval;
    const auto& counters = shared_.metrics.retry_budget;
    const auto& before = logged_budget_;
    if (counters.attempts == before.attempts &&
        counters.calls == before.calls && counters.denied == before.denied)
    {
        return;
    }
    log(log_level::info, "retry_budget",
        "service={} requests={} withdrawn={} attempts={} calls={} denied={} "
        "without_parent={} remaining={:.1f} guards={}",
        options_.service, counters.requests - before.requests,
        counters.withdrawn - before.withdrawn,
        counters.attempts - before.attempts, counters.calls - before.calls,
        counters.denied - before.denied,
        counters.calls_without_parent - before.calls_without_parent,
        retry_budget_.remaining(now), retry_budget_.guard_count());
    logged_budget_ = counters;
}

void guard::on_call(std::uint64_t exchange, routed_call call, time_point now)
{
    record_known_limit(call, now);
    const auto fingerprint = fingerprint_of(call.caller_service, call.request);
    auto cause = reason_to_refuse(call, now);
    if (!cause && must_not_start(fingerprint, now))
    {
        cause = reason::quarantined;
    }
    if (!cause && !has_room_for(call))
    {
        cause = reason::in_flight_bound;
    }
    if (!cause && !spend_retry_budget(call, now))
    {
        cause = reason::retry_budget;
    }
    const auto added =
        calls_.emplace(exchange, pending_call{.message = std::move(call),
                                              .received_at = now,
                                              .fingerprint = fingerprint});
    auto& entry = added.first->second;
    entry.body_bytes = entry.message.request.body.size();
    entry.waiting_bytes = memory_size(entry.message.request);
    body_bytes_ += entry.body_bytes;
    memory_.add(entry.waiting_bytes);
    deadlines_.insert({entry.message.deadline, exchange});
    if (cause)
    {
        refuse_call(exchange, *cause, now);
        return;
    }
    const auto& message = entry.message;
    const queued_call offered{exchange, message.key, message.prioritized, now,
                              message.deadline};
    const auto result = gate_.offer(offered, now);
    if (result.evicted)
    {
        refuse_call(*result.evicted, full_queue_reason(now), now);
    }
    switch (result.verdict)
    {
    case engine::gate_verdict::run:
        start_call(exchange, now);
        return;
    case engine::gate_verdict::queued:
        return;
    case engine::gate_verdict::refused:
        refuse_call(exchange, full_queue_reason(now), now);
        return;
    }
}

bool guard::has_room_for(const routed_call& call)
{
    return body_bytes_ + call.request.body.size() <= options_.max_body_bytes &&
           memory_.make_room(memory_size(call.request));
}

void guard::start_call(std::uint64_t id, time_point now)
{
    auto& call = calls_.at(id);
    call.running = true;
    call.started_at = now;
    if (must_not_start(call.fingerprint, now)) // Learned while it was queued.
    {
        refuse_call(id, reason::quarantined, now);
        return;
    }
    call.standing = shared_.suspects.standing(call.fingerprint, now);
    if (call.standing != request_standing::clear)
    {
        running_suspects_.insert(call.fingerprint);
    }
    isolated_call_runs_ =
        isolated_call_runs_ || call.standing == request_standing::isolated;
    const auto& message = call.message;
    // Counted only when the call starts: a call that is refused here may be
    // sent to another guard, which counts it as well.
    if (earns_retry_budget(message))
    {
        retry_budget_.record_client_request(now);
        ++shared_.metrics.retry_budget.requests;
    }
    shared_.running.add(message.request_id, {message.key,
                                             message.deadline,
                                             {},
                                             message.retry != retry_cause::none,
                                             message.organisation,
                                             false});
    // The caller's node keeps the request for another attempt.
    auto request = std::move(call.message.request);
    memory_.remove(std::exchange(call.waiting_bytes, 0));
    request.idempotent = message.idempotent;
    const auto& names = options_.names;
    std::erase_if(
        request.headers,
        [&](const http_header& header)
        {
            return same_header_name(header.name, names.deadline) ||
                   same_header_name(header.name, names.caller_service) ||
                   same_header_name(header.name, names.expected_instance) ||
                   (keys_required_ &&
                    (same_header_name(header.name, names.organisation) ||
                     same_header_name(header.name, names.key)));
        });
    request.headers.push_back({names.request_id, message.request_id});
    request.headers.push_back(
        {names.deadline,
         fmt::format("{}", milliseconds(message.deadline - now))});
    request.headers.push_back({names.caller_service, message.caller_service});
    request.headers.push_back({names.expected_instance, message.instance});
    if (!message.organisation.empty())
    {
        request.headers.push_back({names.organisation, message.organisation});
    }
    ++shared_.metrics.backend_starts;
    backend_.start(id, request);
}

void guard::stop_starting(time_point now)
{
    std::vector<std::uint64_t> waiting;
    for (const auto& [id, call] : calls_)
    {
        if (!call.running)
        {
            waiting.push_back(id);
        }
    }
    for (const auto id : waiting)
    {
        refuse_call(id, reason::leaving, now);
    }
}

void guard::run_queued_calls(time_point now)
{
    const auto dequeued = gate_.dequeue_ready(now);
    for (const auto id : dequeued.expired)
    {
        refuse_call(id, reason::deadline, now);
    }
    for (const auto id : dequeued.run)
    {
        start_call(id, now);
    }
}

void guard::refuse_call(std::uint64_t id, reason cause, time_point now)
{
    const auto found = calls_.find(id);
    if (found == calls_.end())
    {
        return;
    }
    routed_reply reply;
    reply.answer = engine::make_refusal(cause, may_succeed_elsewhere(cause));
    if (cause == reason::quarantined)
    {
        reply.answer.retry_after =
            shared_.suspects.time_to_release(found->second.fingerprint, now);
    }
    log(log_level::info, "call_refused",
        "request={} route={} instance={} fingerprint={} reason={} running={} "
        "queued={} limit={}",
        found->second.message.request_id, found->second.message.route,
        found->second.message.instance, to_text(found->second.fingerprint),
        to_string(cause), gate_.running(), gate_.queued(), gate_.limit(now));
    finish_call(found, std::move(reply), now);
}

answer guard::classify_response(http_response response) const
{
    const auto& names = options_.names;
    const auto has = [&](std::string_view name)
    { return !find_header(response.headers, name).empty(); };
    if (response.status == misdirected)
    {
        return engine::make_refusal(reason::wrong_instance, true);
    }
    if (has(names.not_run))
    {
        return engine::make_refusal(reason::backend_refused, true);
    }
    const bool unsigned_success =
        is_success(response.status) && !has(names.signature);
    if (unsigned_success || has("Content-Encoding"))
    {
        return engine::make_unknown_outcome(reason::invalid_answer);
    }
    if (implies_not_run(response.status))
    {
        return engine::make_unknown_outcome(reason::backend_failed);
    }
    answer backend_answer;
    backend_answer.response = std::move(response);
    engine::strip_response_headers(backend_answer.response);
    // The caller's node adds the request id itself.
    std::erase_if(backend_answer.response.headers,
                  [&](const http_header& header)
                  { return same_header_name(header.name, names.request_id); });
    return backend_answer;
}

void guard::record_announcement(const pending_call& call,
                                const http_response& response, time_point now)
{
    if (response.status == misdirected) // Sent by another backend server.
    {
        return;
    }
    const auto latest = read_announcement(response.headers, options_.names);
    if (latest.rate_limit_unreadable)
    {
        log(log_level::warn, "rate_limit_unreadable",
            "request={} instance={} value=\"{}\"", call.message.request_id,
            call.message.instance,
            find_header(response.headers, options_.names.rate_limit));
        return;
    }
    if (latest.rate_limit != announcement_.rate_limit ||
        latest.leaving != announcement_.leaving)
    {
        log(log_level::info, "backend_announcement",
            "request={} instance={} rate_limit={} before={} leaving={}",
            call.message.request_id, call.message.instance,
            rate_limit_text(latest.rate_limit),
            rate_limit_text(announcement_.rate_limit), latest.leaving);
    }
    announcement_ = latest;
    shared_.metrics.backend_leaving = latest.leaving;
    if (latest.leaving)
    {
        const auto& id = call.message.instance;
        shared_.leaving.record(id, incarnation_of(id));
    }
    rate_limit_.on_response(latest, now);
    apply_rate_limit(now);
}

void guard::record_server_load(const pending_call& call,
                               const http_response& response, time_point now)
{
    const auto header =
        find_header(response.headers, options_.names.server_load);
    if (header.empty() || response.status == misdirected)
    {
        return;
    }
    const auto load = parse_server_load(header);
    if (load)
    {
        speed_.on_header(*load, now);
        return;
    }
    ++shared_.metrics.ignored_load_headers;
    if (now >= next_load_defect_log_)
    {
        next_load_defect_log_ = now + load_defect_log_interval;
        log(log_level::warn, "server_load_ignored",
            "request={} instance={} value=\"{}\" ignored={}",
            call.message.request_id, call.message.instance,
            header.substr(0, max_logged_header),
            shared_.metrics.ignored_load_headers);
    }
}

// The queue was filled at the usual speed. The last of its calls would wait
// several times longer than intended; other instances may run them sooner.
void guard::return_late_calls(time_point now)
{
    if (gate_.queued() == 0 || speed_.slowness(now) < slow_server ||
        !shared_.mechanisms.enabled(mechanism::queue_return))
    {
        return;
    }
    for (const auto id : gate_.trim_queue(speed_.expected_run_time(now), now))
    {
        refuse_call(id, full_queue_reason(now), now);
    }
}

void guard::record_known_limit(const routed_call& call, time_point now)
{
    if (!call.known_rate_limit || call.service != options_.service)
    {
        return;
    }
    // The sender's list may still have an earlier instance at this address.
    const auto* own =
        instances_ == nullptr
            ? nullptr
            : instances_->find_by_backend_address(options_.backend_address);
    if (own != nullptr && own->id != call.instance)
    {
        return;
    }
    rate_limit_.on_report(*call.known_rate_limit, now);
    apply_rate_limit(now);
}

void guard::apply_rate_limit(time_point now)
{
    shared_.metrics.backend_rate_limit = rate_limit_.rate();
    for (const auto id : gate_.set_start_rate(rate_limit_.rate(), now))
    {
        refuse_call(id, reason::rate_limit, now);
    }
}

reason guard::full_queue_reason(time_point now) const
{
    return gate_.is_paced(now) ? reason::rate_limit : reason::queue_full;
}

void guard::on_backend_exchange_end(std::uint64_t id, engine::backend_end end,
                                    http_response response, time_point now)
{
    const auto found = calls_.find(id);
    if (found == calls_.end())
    {
        return;
    }
    routed_reply reply;
    switch (end)
    {
    case engine::backend_end::answered:
        record_server_load(found->second, response, now);
        end_detector_.on_response();
        reply.reached_backend = true;
        record_announcement(found->second, response, now);
        reply.answer = classify_response(std::move(response));
        record_completion(found->second, reply.answer, now);
        break;
    case engine::backend_end::unreachable:
        if (earns_retry_budget(found->second.message))
        {
            retry_budget_.withdraw_client_request();
            ++shared_.metrics.retry_budget.withdrawn;
        }
        reply.answer = engine::make_refusal(reason::backend_unreachable, true);
        break;
    case engine::backend_end::failed:
        on_exchange_failed(found, now);
        return;
    }
    log_failed_call(found->second, reply, now);
    if (reply.answer.reason == reason::backend_refused)
    {
        gate_.on_backend_refusal(now);
    }
    finish_call(found, std::move(reply), now);
    run_queued_calls(now);
    return_late_calls(now);
}

void guard::log_failed_call(const pending_call& call, const routed_reply& reply,
                            time_point now) const
{
    if (reply.answer.result == outcome::answered)
    {
        return;
    }
    log(log_level::info, "backend_failed",
        "request={} route={} instance={} fingerprint={} outcome={} "
        "reason={} after_ms={} running={} ended={}",
        call.message.request_id, call.message.route, call.message.instance,
        to_text(call.fingerprint), to_string(reply.answer.result),
        to_string(reply.answer.reason), milliseconds(now - call.started_at),
        gate_.running(), reply.backend_ended);
}

// The reply states whether the server has ended, so it waits for the
// probe.
void guard::on_exchange_failed(call_map::iterator found, time_point now)
{
    switch (end_detector_.on_exchange_failed(found->second.started_at, now))
    {
    case server_end_detector::finding::ended:
        finish_failed_call(found, true, now);
        return;
    case server_end_detector::finding::probe_needed:
        first_failure_at_ = now;
        failed_calls_.push_back(found->first);
        if (!backend_.probe())
        {
            on_backend_probe_end(engine::backend_probe_result::unknown, now);
        }
        return;
    case server_end_detector::finding::undecided:
        failed_calls_.push_back(found->first);
        return;
    }
}

void guard::on_backend_probe_end(engine::backend_probe_result result,
                                 time_point now)
{
    const bool ended = end_detector_.on_probe_end(result, now);
    if (ended)
    {
        record_server_end(now);
    }
    finish_failed_calls(ended, now);
}

void guard::finish_failed_calls(bool server_ended, time_point now)
{
    const auto failed = std::exchange(failed_calls_, {});
    for (const auto id : failed)
    {
        // Not found: cancelled, or past its deadline.
        if (const auto found = calls_.find(id); found != calls_.end())
        {
            finish_failed_call(found, server_ended, now);
        }
    }
    run_queued_calls(now);
}

void guard::finish_failed_call(call_map::iterator found, bool server_ended,
                               time_point now)
{
    routed_reply reply;
    reply.reached_backend = true;
    reply.backend_ended = server_ended;
    reply.answer = engine::make_unknown_outcome(reason::backend_failed);
    log_failed_call(found->second, reply, now);
    finish_call(found, std::move(reply), now);
}

guard::pending_call guard::remove_call(call_map::iterator found)
{
    pending_call call = std::move(found->second);
    deadlines_.erase({call.message.deadline, found->first});
    calls_.erase(found);
    body_bytes_ -= call.body_bytes;
    memory_.remove(call.waiting_bytes);
    return call;
}

void guard::release_slot(const pending_call& call, bool completed,
                         time_point now)
{
    if (!call.running)
    {
        return;
    }
    if (call.standing != request_standing::clear)
    {
        running_suspects_.erase(call.fingerprint);
    }
    isolated_call_runs_ =
        isolated_call_runs_ && call.standing != request_standing::isolated;
    const duration slot_time = now - call.started_at;
    gate_.on_finish(slot_time, slot_time, completed, now);
}

void guard::finish_call(call_map::iterator found, routed_reply reply,
                        time_point now)
{
    const std::uint64_t id = found->first;
    const pending_call call = remove_call(found);
    const bool answered = reply.answer.result == outcome::answered;
    release_slot(call, answered, now);
    if (call.running)
    {
        // Without an answer, the backend server may go on with the request.
        reply.costs = reply.answer.result == outcome::unknown
                          ? shared_.running.abandon(call.message.request_id)
                          : shared_.running.remove(call.message.request_id);
        if (reply.reached_backend)
        {
            add_cost(reply.costs,
                     {options_.service, 1, seconds(now - call.started_at)});
        }
        reply.residence_time = now - call.received_at;
        if (answered)
        {
            if (speed_.is_known(now) &&
                is_success(reply.answer.response.status))
            {
                speed_.on_run(call.message.route, now - call.started_at, now);
            }
            shared_.metrics.backend.add(now - call.started_at);
        }
    }
    else
    {
        gate_.remove(id);
    }
    const auto& instance_id = call.message.instance;
    if (announced_leaving(instance_id))
    {
        reply.leaving_incarnation = shared_.leaving.incarnation(instance_id);
    }
    ++shared_.metrics
          .guard_reasons[static_cast<std::size_t>(reply.answer.reason)];
    send_reply(id, std::move(reply), now);
}

void guard::send_reply(std::uint64_t exchange, routed_reply reply,
                       time_point now)
{
    reply.answer.load = load(now);
    reply.answer.leaving = leaving_;
    reply.rate_limit = rate_limit_.rate();
    reply.pressures = shared_.admission.downstream_pressures(now);
    replies_.send_reply(exchange, reply);
}

void guard::on_cancelled(std::uint64_t exchange, time_point now)
{
    const auto found = calls_.find(exchange);
    if (found == calls_.end())
    {
        return;
    }
    const pending_call call = remove_call(found);
    if (call.running)
    {
        cancelled_requests_.push_back({call.fingerprint, now});
        backend_.cancel(exchange);
        shared_.running.abandon(call.message.request_id);
        release_slot(call, false, now);
        run_queued_calls(now);
        return;
    }
    gate_.remove(exchange);
}

void guard::on_tick(time_point now)
{
    while (!deadlines_.empty() && deadlines_.begin()->first <= now)
    {
        const std::uint64_t id = deadlines_.begin()->second;
        const auto found = calls_.find(id);
        if (!found->second.running)
        {
            refuse_call(id, reason::deadline, now);
            continue;
        }
        cancelled_requests_.push_back({found->second.fingerprint, now});
        backend_.cancel(id);
        routed_reply reply;
        reply.reached_backend = true;
        reply.answer = engine::make_unknown_outcome(reason::deadline);
        finish_call(found, std::move(reply), now);
    }
    if (end_detector_.give_up_probe(now))
    {
        finish_failed_calls(false, now);
    }
    shared_.running.expire(now);
    update_suspects(now);
    for (const auto id : gate_.update_level(now))
    {
        refuse_call(id, reason::deadline, now);
    }
    run_queued_calls(now);
    return_late_calls(now);
    log_retry_budget(now);
}

// The limit is not divided by the slow-down factor: calls that take longer are
// in progress for longer, so the ratio of the two already shows the lost
// capacity. Divided as well, 5 % fewer of the requests completed at 80 % of the
// capacity of servers that share their machines.
upstream_load guard::load(time_point now) const
{
    upstream_load result{
        gate_.running() + static_cast<std::uint32_t>(gate_.queued()),
        options_.protection ? gate_.usable_concurrency(now) : published_slots_};
    if (speed_.is_known(now))
    {
        result.slowness = static_cast<float>(speed_.slowness(now));
    }
    return result;
}

} // namespace jujubespan::mesh
