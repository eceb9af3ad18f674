#include "jujubespan/engine/call_engine.hpp"

#include "jujubespan/engine/http_mapping.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace jujubespan::engine
{

namespace
{

constexpr duration process_pause_threshold = std::chrono::milliseconds(500);
constexpr duration housekeeping_interval = std::chrono::seconds(1);
constexpr std::size_t decision_log_capacity = 4096;

std::unique_ptr<concurrency_limit> make_limit(const config::settings& options)
{
    if (!options.protection)
    {
        return nullptr;
    }
    return make_adaptive_limit(options.slots, options.cold_start);
}

std::string random_hex_key(std::mt19937_64& random)
{
    return fmt::format("{:016x}{:016x}", random(), random());
}

} // namespace

call_engine::call_engine(const config::settings& options,
                         std::uint64_t incarnation, std::uint64_t seed,
                         backend_port& backend, peer_port& peers,
                         time_point now)
    : options_(options), backend_(backend), peers_(peers), random_(seed),
      pause_detector_(process_pause_threshold),
      gate_(make_limit(options), options.queue_wait, options.limits.max_queue),
      customers_(options.id, options.failure_domain,
                 options.failure_domains.size(), options.list_lag),
      tickets_(options.id, incarnation, random_hex_key(random_),
               ticket_options{}, now),
      decisions_(decision_log_capacity),
      contracts_(std::make_shared<const contract_table>())
{
}

void call_engine::handle_process_pause(time_point now)
{
    const auto pause_length = pause_detector_.detect_pause(now);
    if (!pause_length)
    {
        return;
    }
    ++metrics_.pauses;
    levels_.clear();
    gate_.reset(now);
    customers_.on_pause(*pause_length, now);
    for (auto& [service, set] : upstreams_)
    {
        set->reset_observations();
    }
    expire_deadlines(now);
}

void call_engine::on_tick(time_point now)
{
    handle_process_pause(now);
    expire_deadlines(now);
    if (gate_.level() < admit_all_level)
    {
        last_shedding_at_ = now;
    }
    for (const auto id : gate_.update_level(now))
    {
        finish_inbound(id, make_refusal(reason::deadline), now);
    }
    run_queued_calls(now);
    if (now >= next_housekeeping_at_)
    {
        next_housekeeping_at_ = now + housekeeping_interval;
        levels_.expire(now);
        tickets_.expire(now);
    }
}

void call_engine::apply_contracts(std::shared_ptr<const contract_table> table)
{
    for (const auto& [customer, contract] : table->contracts())
    {
        if (contracts_->find(customer) != contract)
        {
            customers_.on_contract_changed(*contract);
        }
    }
    customers_.retain([&](const std::string& customer)
                      { return table->find(customer) != nullptr; });
    contracts_ = std::move(table);
}

void call_engine::apply_instances(std::span<const instance> list,
                                  time_point now)
{
    handle_process_pause(now);
    string_map<std::vector<instance>> by_service;
    for (const auto& [service, set] : upstreams_)
    {
        by_service[service];
    }
    service_by_instance_.clear();
    for (const auto& item : list)
    {
        if (item.id != options_.id)
        {
            by_service[item.service].push_back(item);
            service_by_instance_[item.id] = item.service;
        }
    }
    for (const auto& [service, members] : by_service)
    {
        upstreams(service).apply(members, instances_applied_, now);
    }
    instances_applied_ = true;
    customers_.apply(list, now);
}

upstream_set& call_engine::upstreams(std::string_view service)
{
    auto& set = upstreams_[std::string(service)];
    if (!set)
    {
        routing_options options;
        options.subset_size = options_.subset_size;
        set = std::make_unique<upstream_set>(options_.id,
                                             options_.failure_domain, options);
    }
    return *set;
}

upstream_set* call_engine::upstreams_of(std::string_view peer)
{
    const auto found = service_by_instance_.find(peer);
    return found == service_by_instance_.end() ? nullptr
                                               : &upstreams(found->second);
}

void call_engine::on_peer_leaving(std::string_view peer)
{
    if (auto* set = upstreams_of(peer))
    {
        set->on_leaving(peer);
    }
}

void call_engine::on_peer_restart(std::string_view peer, time_point now)
{
    if (auto* set = upstreams_of(peer))
    {
        set->on_restart(peer, now);
    }
}

void call_engine::on_peer_load(std::string_view peer, upstream_load load,
                               time_point now)
{
    if (auto* set = upstreams_of(peer))
    {
        set->on_load(peer, load, now);
    }
}

void call_engine::schedule_inbound(inbound_call call, time_point now)
{
    const std::uint64_t id = next_id_++;
    queued_call entry;
    entry.id = id;
    entry.key = call.context.key;
    entry.prioritized = call.context.depth > 0;
    entry.arrived = now;
    entry.deadline = call.context.deadline;
    call.arrived_at = now;
    call.budget = retry_budget(call.context.credits);
    if (call.ticket_number != 0)
    {
        call_by_ticket_[call.ticket_number] = id;
    }
    call_by_origin_[{call.origin.port, call.origin.exchange}] = id;
    deadlines_.insert({call.context.deadline, id});
    inbound_.emplace(id, std::move(call));

    const gate_result result = gate_.offer(entry, now);
    if (result.evicted)
    {
        finish_inbound(*result.evicted, make_refusal(reason::queue_full), now);
    }
    switch (result.verdict)
    {
    case gate_verdict::run:
        start_backend_call(id, now);
        return;
    case gate_verdict::queued:
        run_queued_calls(now);
        return;
    case gate_verdict::refused:
        finish_inbound(id, make_refusal(reason::queue_full), now);
        return;
    }
}

void call_engine::run_queued_calls(time_point now)
{
    const dequeued_calls dequeued = gate_.dequeue_ready(now);
    for (const auto id : dequeued.expired)
    {
        finish_inbound(id, make_refusal(reason::deadline), now);
    }
    for (const auto id : dequeued.run)
    {
        start_backend_call(id, now);
    }
}

void call_engine::start_backend_call(std::uint64_t id, time_point now)
{
    auto& call = inbound_.at(id);
    call.current_stage = stage::running;
    call.started_at = now;
    call.token = random_token();
    call_by_token_[call.token] = id;
    ++metrics_.backend_starts;

    http_request request = to_backend_request(call.request);
    std::erase_if(request.headers,
                  [](const auto& header) {
                      return same_header_name(header.name, headers::request_id);
                  });
    const auto remaining = milliseconds(call.context.deadline - now);
    request.headers.push_back(
        {std::string(headers::request_id), call.context.request_id});
    request.headers.push_back({std::string(headers::token), call.token});
    request.headers.push_back(
        {std::string(headers::deadline), fmt::format("{}", remaining)});
    call.request = {};
    backend_.start(id, request);
}

void call_engine::on_backend_exchange_end(std::uint64_t id, backend_end end,
                                          http_response response,
                                          time_point now)
{
    handle_process_pause(now);
    const auto found = inbound_.find(id);
    if (found == inbound_.end())
    {
        return;
    }
    switch (end)
    {
    case backend_end::unreachable:
        finish_inbound(id, make_refusal(reason::backend_unreachable, true),
                       now);
        return;
    case backend_end::failed:
        finish_inbound(id, make_unknown_outcome(reason::backend_failed), now);
        return;
    case backend_end::answered:
        break;
    }
    constexpr unsigned service_unavailable = 503;
    if (response.status == service_unavailable)
    {
        gate_.on_backend_refusal(now);
    }
    answer backend_answer;
    backend_answer.response = std::move(response);
    strip_response_headers(backend_answer.response);
    finish_inbound(id, std::move(backend_answer), now);
}

void call_engine::on_origin_disconnected(reply_target origin, time_point now)
{
    handle_process_pause(now);
    const auto found = call_by_origin_.find({origin.port, origin.exchange});
    if (found == call_by_origin_.end())
    {
        return;
    }
    const std::uint64_t id = found->second;
    call_by_origin_.erase(found);
    const auto out = outbound_.find(id);
    if (out != outbound_.end())
    {
        out->second.origin =
            out->second.origin == origin ? reply_target{} : out->second.origin;
        std::erase(out->second.joined_origins, origin);
        if (out->second.context.idempotent)
        {
            cancel_outbound(id, now);
        }
        return;
    }
    auto& call = inbound_.at(id);
    call.origin = call.origin == origin ? reply_target{} : call.origin;
    std::erase(call.joined_origins, origin);
    const bool has_receiver =
        call.origin.port != nullptr || !call.joined_origins.empty();
    if (has_receiver)
    {
        return;
    }
    if (call.current_stage == stage::queued)
    {
        finish_inbound(id, make_refusal(reason::cancelled), now);
    }
    else if (call.context.idempotent)
    {
        finish_inbound(id, make_unknown_outcome(reason::cancelled), now);
    }
}

void call_engine::expire_deadlines(time_point now)
{
    while (!deadlines_.empty() && deadlines_.begin()->first <= now)
    {
        const std::uint64_t id = deadlines_.begin()->second;
        const auto call = inbound_.find(id);
        if (call != inbound_.end())
        {
            const bool ran = call->second.current_stage == stage::running;
            finish_inbound(id,
                           ran ? make_unknown_outcome(reason::deadline)
                               : make_refusal(reason::deadline),
                           now);
            continue;
        }
        auto& out = outbound_.at(id);
        cancel_attempt(out, attempt_result::refused, now);
        finish_outbound(id, make_unknown_outcome(reason::deadline), now);
    }
    while (!attempt_deadlines_.empty() &&
           attempt_deadlines_.begin()->first <= now)
    {
        const std::uint64_t id = attempt_deadlines_.begin()->second;
        auto& out = outbound_.at(id);
        attempt_deadlines_.erase(attempt_deadlines_.begin());
        if (upstreams(out.service)
                .has_reported_since(out.peer, out.attempt_started_at))
        {
            continue; // The peer is alive; a retry would only add load.
        }
        peers_.cancel(out.peer, out.attempt_id);
        end_attempt(id, make_unknown_outcome(reason::peer_lost),
                    attempt_result::failure, now);
    }
}

upstream_load call_engine::load(time_point now) const
{
    upstream_load value;
    value.in_flight =
        gate_.running() + static_cast<std::uint32_t>(gate_.queued());
    value.limit = options_.protection ? gate_.limit(now) : 0;
    return value;
}

node_status call_engine::status(time_point now) const
{
    node_status value;
    value.contracts_revision = contracts_->revision();
    value.customers = contracts_->size();
    value.level = gate_.level();
    value.running = gate_.running();
    value.queued = gate_.queued();
    value.limit = options_.protection ? gate_.limit(now) : 0;
    value.inbound = inbound_.size();
    value.outbound = outbound_.size();
    value.tickets = tickets_.record_count();
    value.leaving = leaving_;
    for (const auto& [service, set] : upstreams_)
    {
        value.upstreams[service] = set->size();
        value.ejected[service] = set->ejected_count(now);
    }
    return value;
}

std::uint64_t call_engine::random()
{
    return random_();
}

double call_engine::random_unit()
{
    return std::uniform_real_distribution<double>(0, 1)(random_);
}

std::string call_engine::random_token()
{
    return random_hex_key(random_);
}

} // namespace jujubespan::engine
