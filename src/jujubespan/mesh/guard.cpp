#include "jujubespan/mesh/guard.hpp"

#include "jujubespan/engine/http_mapping.hpp"
#include "jujubespan/metrics/log.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace jujubespan::mesh
{

namespace
{

using engine::answer;
using engine::outcome;
using engine::reason;

// Part of the published slots that is used; some backend servers slow down
// when the last ones are taken, and new connections hold a slot briefly.
constexpr double used_slots = 0.95;
// Limit while the published slots are not known.
constexpr std::uint32_t unknown_slots = 16;
// A request with less time than this left is not started.
constexpr duration shortest_run = std::chrono::milliseconds(5);

constexpr unsigned request_timeout = 408;
constexpr unsigned misdirected = 421;
constexpr unsigned too_many_requests = 429;
constexpr unsigned service_unavailable = 503;

std::unique_ptr<concurrency_limit> limit_for(std::uint32_t slots,
                                             bool protection)
{
    if (!protection)
    {
        return nullptr;
    }
    const auto used = static_cast<std::uint32_t>(
        std::floor(std::max(1U, slots) * used_slots));
    return make_fixed_limit(used);
}

// Statuses by which only a request that has not run may be answered.
bool promises_not_run(unsigned status)
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

bool may_help_elsewhere(reason why)
{
    return why != reason::deadline && why != reason::cancelled;
}

} // namespace

guard::guard(guard_options options, shared_state& shared,
             engine::backend_port& backend, routed_reply_port& replies,
             time_point now)
    : options_(std::move(options)), shared_(shared), backend_(backend),
      replies_(replies), gate_(limit_for(unknown_slots, options_.protection),
                               options_.queue_wait, options_.max_queue),
      repeats_(options_.repeats, options_.fresh_fleet, now)
{
}

void guard::apply(const instance_directory& list, time_point now)
{
    instances_ = &list;
    const auto all = list.all();
    repeats_.on_guards(static_cast<std::size_t>(std::count_if(
                           all.begin(), all.end(),
                           [this](const instance& item)
                           { return item.service == options_.service; })),
                       now);
    const auto* own = list.at_address(options_.backend_address);
    if (own == nullptr || own->slots == slots_)
    {
        return;
    }
    slots_ = own->slots;
    gate_.replace_limit(limit_for(slots_, options_.protection));
    log(log_level::info, "backend_known", "instance={} slots={} limit={}",
        own->id, slots_, gate_.limit(now));
}

std::optional<reason> guard::reason_to_refuse(const routed_call& call,
                                              time_point now) const
{
    if (closed_)
    {
        return reason::leaving;
    }
    if (call.service != options_.service)
    {
        return reason::wrong_instance;
    }
    if (call.deadline <= now + shortest_run)
    {
        return reason::deadline;
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
    case instance_state::unknown: // Listed at the sender first.
    case instance_state::usable:
        break;
    }
    return std::nullopt;
}

bool guard::pay_for_repeat(const routed_call& call, time_point now)
{
    return call.repeat == repeat_cause::none ||
           repeats_.spend(call.repeat, now);
}

void guard::on_call(std::uint64_t exchange, routed_call call, time_point now)
{
    auto why = reason_to_refuse(call, now);
    if (!why && !pay_for_repeat(call, now))
    {
        why = reason::retry_budget;
        ++shared_.metrics.repeats_denied;
    }
    const auto added =
        calls_.emplace(exchange, open_call{std::move(call), now, {}, false});
    auto& entry = added.first->second;
    deadlines_.insert({entry.message.deadline, exchange});
    if (why)
    {
        refuse(exchange, *why, now);
        return;
    }
    const auto& message = entry.message;
    const queued_call offered{exchange, message.key, message.under_way, now,
                              message.deadline};
    const auto result = gate_.offer(offered, now);
    if (result.evicted)
    {
        refuse(*result.evicted, reason::queue_full, now);
    }
    switch (result.verdict)
    {
    case engine::gate_verdict::run:
        run(exchange, now);
        return;
    case engine::gate_verdict::queued:
        return;
    case engine::gate_verdict::refused:
        refuse(exchange, reason::queue_full, now);
        return;
    }
}

void guard::run(std::uint64_t id, time_point now)
{
    auto& call = calls_.at(id);
    call.running = true;
    call.started = now;
    const auto& message = call.message;
    // Not before: what is refused here may be counted by another guard.
    if (message.client_request && message.repeat == repeat_cause::none)
    {
        repeats_.on_client_request(now);
    }
    shared_.running.begin(message.request_id,
                          {message.key,
                           message.deadline,
                           {},
                           message.repeat != repeat_cause::none});
    auto request = message.request;
    request.repeatable = message.idempotent;
    const auto& names = options_.names;
    std::erase_if(
        request.headers,
        [&](const http_header& header)
        {
            return same_header_name(header.name, names.deadline) ||
                   same_header_name(header.name, names.caller_service) ||
                   same_header_name(header.name, names.expected_instance);
        });
    request.headers.push_back({names.request_id, message.request_id});
    request.headers.push_back(
        {names.deadline,
         fmt::format("{}", milliseconds(message.deadline - now))});
    request.headers.push_back({names.caller_service, message.caller_service});
    request.headers.push_back({names.expected_instance, message.instance});
    ++shared_.metrics.backend_starts;
    backend_.start(id, request);
}

void guard::pump(time_point now)
{
    const auto released = gate_.dequeue_ready(now);
    for (const auto id : released.expired)
    {
        refuse(id, reason::deadline, now);
    }
    for (const auto id : released.run)
    {
        run(id, now);
    }
}

void guard::refuse(std::uint64_t id, reason why, time_point now)
{
    const auto found = calls_.find(id);
    if (found == calls_.end())
    {
        return;
    }
    routed_reply reply;
    reply.value = engine::make_refusal(why, may_help_elsewhere(why));
    log(log_level::info, "call_refused",
        "request={} route={} instance={} reason={} running={} queued={} "
        "limit={}",
        found->second.message.request_id, found->second.message.route,
        found->second.message.instance, to_string(why), gate_.running(),
        gate_.queued(), gate_.limit(now));
    finish(found, std::move(reply), now);
}

answer guard::judge(http_response response) const
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
    if (promises_not_run(response.status))
    {
        return engine::make_unknown_outcome(reason::backend_failed);
    }
    answer value;
    value.response = std::move(response);
    engine::strip_response_headers(value.response);
    // The caller's node knows it.
    std::erase_if(value.response.headers, [&](const http_header& header)
                  { return same_header_name(header.name, names.request_id); });
    return value;
}

void guard::on_backend_end(std::uint64_t id, engine::backend_end end,
                           http_response response, time_point now)
{
    const auto found = calls_.find(id);
    if (found == calls_.end())
    {
        return;
    }
    routed_reply reply;
    reply.arrived = end != engine::backend_end::unreachable;
    switch (end)
    {
    case engine::backend_end::answered:
        reply.value = judge(std::move(response));
        break;
    case engine::backend_end::unreachable:
        reply.value = engine::make_refusal(reason::backend_unreachable, true);
        break;
    case engine::backend_end::failed:
        reply.value = engine::make_unknown_outcome(reason::backend_failed);
        break;
    }
    if (reply.value.result != outcome::answered)
    {
        const auto& call = found->second;
        log(log_level::info, "backend_failed",
            "request={} route={} instance={} outcome={} reason={} "
            "after_ms={} running={}",
            call.message.request_id, call.message.route, call.message.instance,
            to_string(reply.value.result), to_string(reply.value.reason),
            milliseconds(now - call.started), gate_.running());
    }
    if (reply.value.reason == reason::backend_refused)
    {
        gate_.on_backend_refusal(now);
    }
    finish(found, std::move(reply), now);
    pump(now);
}

void guard::leave_gate(const open_call& call, bool completed, time_point now)
{
    if (!call.running)
    {
        return;
    }
    const duration held = now - call.started;
    gate_.on_finish(held, held, completed, now);
}

void guard::finish(call_map::iterator found, routed_reply reply, time_point now)
{
    const std::uint64_t id = found->first;
    const open_call call = std::move(found->second);
    calls_.erase(found);
    deadlines_.erase({call.message.deadline, id});
    const bool answered = reply.value.result == outcome::answered;
    leave_gate(call, answered, now);
    if (call.running)
    {
        reply.costs = shared_.running.end(call.message.request_id);
        if (reply.arrived)
        {
            add_cost(reply.costs,
                     {options_.service, 1, seconds(now - call.started)});
        }
        reply.held = now - call.arrived;
        if (answered)
        {
            shared_.metrics.backend.add(now - call.started);
        }
    }
    else
    {
        gate_.remove(id);
    }
    ++shared_.metrics
          .guard_reasons[static_cast<std::size_t>(reply.value.reason)];
    send(id, std::move(reply), now);
}

void guard::send(std::uint64_t exchange, routed_reply reply, time_point now)
{
    reply.value.load = load(now);
    reply.value.leaving = leaving_;
    reply.pressures = shared_.admission.report(now);
    replies_.reply(exchange, reply);
}

void guard::on_withdrawn(std::uint64_t exchange, time_point now)
{
    const auto found = calls_.find(exchange);
    if (found == calls_.end())
    {
        return;
    }
    const open_call call = std::move(found->second);
    calls_.erase(found);
    deadlines_.erase({call.message.deadline, exchange});
    if (call.running)
    {
        backend_.cancel(exchange);
        shared_.running.end(call.message.request_id);
        leave_gate(call, false, now);
        pump(now);
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
            refuse(id, reason::deadline, now);
            continue;
        }
        backend_.cancel(id);
        routed_reply reply;
        reply.arrived = true;
        reply.value = engine::make_unknown_outcome(reason::deadline);
        finish(found, std::move(reply), now);
    }
    for (const auto id : gate_.update_level(now))
    {
        refuse(id, reason::deadline, now);
    }
    pump(now);
}

upstream_load guard::load(time_point now) const
{
    return {gate_.running() + static_cast<std::uint32_t>(gate_.queued()),
            options_.protection ? gate_.limit(now) : slots_};
}

} // namespace jujubespan::mesh
