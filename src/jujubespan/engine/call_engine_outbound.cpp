// Calls to other services: routing, attempts and retries.

#include "jujubespan/engine/call_engine.hpp"
#include "jujubespan/engine/http_mapping.hpp"
#include "jujubespan/policy/stable_hash.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace jujubespan::engine
{

namespace
{

constexpr unsigned service_unavailable = 503;

// Returns the service name from the Host header, without the port.
std::string service_name(const http_request& request)
{
    const auto host = find_header(request.headers, "Host");
    return std::string(host.substr(0, host.find(':')));
}

bool is_overload(reason cause)
{
    return cause == reason::queue_full || cause == reason::overload ||
           cause == reason::in_flight_bound;
}

attempt_result attempt_result_of(const answer& answer)
{
    if (answer.result == outcome::answered ||
        answer.result == outcome::rejected)
    {
        return attempt_result::success;
    }
    const bool is_failure = answer.reason == reason::backend_unreachable ||
                            answer.reason == reason::backend_failed ||
                            answer.reason == reason::no_upstream;
    return is_failure ? attempt_result::failure : attempt_result::refused;
}

} // namespace

void call_engine::on_outbound_request(reply_target origin, http_request request,
                                      time_point now)
{
    handle_process_pause(now);
    const auto refuse_call = [&](const answer& answer)
    { origin.port->send_reply(origin.exchange, answer, {}); };
    const auto token = find_header(request.headers, headers::token);
    std::string service = service_name(request);
    if (token.empty())
    {
        start_root_outbound(origin, std::move(request), std::move(service),
                            now);
        return;
    }
    const auto found = call_by_token_.find(token);
    if (found == call_by_token_.end())
    {
        refuse_call(make_refusal(reason::unknown_token));
        return;
    }
    const std::uint64_t parent_id = found->second;
    auto& parent = inbound_.at(parent_id);
    outbound_call call;
    call.origin = origin;
    call.parent = parent_id;
    call.service = std::move(service);
    if (auto failure = check_child(parent, request, call, now))
    {
        refuse_call(*failure);
        return;
    }
    if (!call.context.idempotent && join_keyed_call(parent, origin, request))
    {
        return;
    }
    if (!call.context.idempotent)
    {
        call.key = find_header(request.headers, headers::idempotency_key);
    }
    call.request = to_backend_request(std::move(request));
    start_outbound(std::move(call), now);
}

std::optional<answer> call_engine::check_child(const inbound_call& parent,
                                               const http_request& request,
                                               outbound_call& call,
                                               time_point now)
{
    if (!parent.contract)
    {
        return make_rejection(reason::unknown_customer);
    }
    const auto* rule = parent.contract->find_rule(call.service, request.method,
                                                  path_of(request.target));
    if (rule == nullptr)
    {
        return make_rejection(reason::unknown_method);
    }
    if (parent.context.idempotent && !rule->idempotent)
    {
        return make_rejection(reason::repeatable_parent);
    }
    if (parent.context.deadline <= now)
    {
        return make_refusal(reason::deadline);
    }
    auto& context = call.context;
    context = parent.context;
    context.idempotent = rule->idempotent;
    context.ticket.clear();
    context.deadline = std::min(context.deadline, now + rule->deadline);
    ++context.depth;
    if (context.depth > parent.contract->max_depth)
    {
        return make_rejection(reason::depth);
    }
    const auto hash = hash_call(call.service, request);
    if (std::find(context.path.begin(), context.path.end(), hash) !=
        context.path.end())
    {
        return make_rejection(reason::loop);
    }
    context.path.push_back(hash);
    call.method = rule->id();
    call.root_method = parent.method;
    return std::nullopt;
}

void call_engine::start_root_outbound(reply_target origin, http_request request,
                                      std::string service, time_point now)
{
    inbound_call root;
    root.origin = origin;
    const auto refuse_call = [&](const answer& answer)
    {
        record_outcome(root.context, root.method, answer, now);
        origin.port->send_reply(origin.exchange, answer,
                                root.context.request_id);
    };
    const auto customer = find_header(request.headers, headers::customer);
    root.contract = contracts_->find(customer);
    if (!root.contract)
    {
        refuse_call(contracts_->revision() == 0
                        ? make_refusal(reason::no_configuration, true)
                        : make_rejection(reason::unknown_customer));
        return;
    }
    const auto* rule = root.contract->find_rule(service, request.method,
                                                path_of(request.target));
    if (rule == nullptr)
    {
        refuse_call(make_rejection(reason::unknown_method));
        return;
    }
    root.method = rule->id();
    auto& context = root.context;
    context.customer = customer;
    context.request_id = random_token();
    context.cls = rule->cls;
    context.idempotent = rule->idempotent;
    context.credits = root.contract->retry_credits;
    context.deadline = now + rule->deadline;
    root.request = request;
    if (auto refusal = admit_root_request(root, now))
    {
        refuse_call(*refusal);
        return;
    }
    outbound_call call;
    call.origin = origin;
    call.context = context;
    call.budget = retry_budget(context.credits);
    call.service = std::move(service);
    call.method = root.method;
    call.root_method = root.method;
    call.request = to_backend_request(std::move(request));
    start_outbound(std::move(call), now);
}

bool call_engine::join_keyed_call(inbound_call& parent, reply_target origin,
                                  const http_request& request)
{
    const auto key = find_header(request.headers, headers::idempotency_key);
    const auto known = parent.keyed_children.find(key);
    if (key.empty() || known == parent.keyed_children.end())
    {
        return false;
    }
    if (known->second.final_answer)
    {
        origin.port->send_reply(origin.exchange, *known->second.final_answer,
                                {});
        return true;
    }
    auto& running = outbound_.at(known->second.call_id);
    running.joined_origins.push_back(origin);
    call_by_origin_[{origin.port, origin.exchange}] = known->second.call_id;
    return true;
}

void call_engine::forward_call(inbound_call&& call,
                               std::optional<ticket> owner_ticket,
                               time_point now)
{
    outbound_call out;
    out.origin = call.origin;
    out.context = std::move(call.context);
    out.budget = retry_budget(out.context.credits);
    out.request = std::move(call.request);
    out.service = options_.service;
    out.method = call.method;
    out.root_method = std::move(call.method);
    out.forwarded = true;
    out.owner_ticket = std::move(owner_ticket);
    start_outbound(std::move(out), now);
}

void call_engine::start_outbound(outbound_call&& call, time_point now)
{
    const std::uint64_t id = next_id_++;
    call_by_origin_[{call.origin.port, call.origin.exchange}] = id;
    deadlines_.insert({call.context.deadline, id});
    const auto parent = inbound_.find(call.parent);
    if (parent != inbound_.end())
    {
        parent->second.children.insert(id);
        if (!call.key.empty())
        {
            parent->second.keyed_children[call.key].call_id = id;
        }
        if (parent->second.pending_children++ == 0)
        {
            parent->second.children_wait_started_at = now;
        }
    }
    // Only the owner of the ticket knows whether the request has already run,
    // so an unsent request with a ticket has an unknown outcome.
    answer not_sent = call.owner_ticket
                          ? make_unknown_outcome(reason::ticket_owner_gone)
                          : make_refusal(reason::no_upstream, true);
    outbound_.emplace(id, std::move(call));
    if (!send_attempt(id, now))
    {
        finish_outbound(id, std::move(not_sent), now);
    }
}

retry_budget& call_engine::retry_budget_of(outbound_call& call)
{
    const auto parent = inbound_.find(call.parent);
    return parent == inbound_.end() ? call.budget : parent->second.budget;
}

bool call_engine::send_attempt(std::uint64_t id, time_point now)
{
    auto& call = outbound_.at(id);
    auto& set = upstreams(call.service);
    auto& budget = retry_budget_of(call);
    while (true)
    {
        const auto chosen = call.owner_ticket
                                ? std::optional(call.owner_ticket->owner)
                                : set.pick(random(), call.tried_peers, now);
        const bool already_tried =
            chosen &&
            std::find(call.tried_peers.begin(), call.tried_peers.end(),
                      *chosen) != call.tried_peers.end();
        if (!chosen || already_tried)
        {
            return false;
        }
        peer_call message;
        message.id = next_id_++;
        message.service = call.service;
        message.context = call.context;
        message.request = call.request;
        message.forwarded = call.forwarded;
        call.allocated_credits = budget.allocate_credits();
        message.context.credits = call.allocated_credits;
        call.tried_peers.push_back(*chosen);
        set.on_start(*chosen, now);
        if (!peers_.send_call(*chosen, message, now))
        {
            set.on_finish(*chosen, attempt_result::failure, now);
            budget.return_credits(call.allocated_credits,
                                  call.allocated_credits);
            continue;
        }
        ++metrics_.attempts;
        call.peer = *chosen;
        call.attempt_id = message.id;
        call_by_attempt_[message.id] = id;
        const duration remaining = call.context.deadline - now;
        const bool may_retry = call.context.idempotent && budget.credits() > 0;
        call.attempt_started_at = now;
        call.attempt_deadline =
            may_retry ? now + remaining / 2 : call.context.deadline;
        if (may_retry)
        {
            attempt_deadlines_.insert({call.attempt_deadline, id});
        }
        return true;
    }
}

void call_engine::cancel_attempt(outbound_call& call, attempt_result result,
                                 time_point now)
{
    if (call.attempt_id == 0)
    {
        return;
    }
    peers_.cancel(call.peer, call.attempt_id);
    upstreams(call.service).on_finish(call.peer, result, now);
    call_by_attempt_.erase(call.attempt_id);
    call.attempt_id = 0;
}

void call_engine::on_peer_reply(std::string_view peer, std::uint64_t attempt_id,
                                answer answer, time_point now)
{
    handle_process_pause(now);
    if (answer.leaving)
    {
        on_peer_leaving(peer);
    }
    on_peer_load(peer, answer.load, now);
    const auto found = call_by_attempt_.find(attempt_id);
    if (found == call_by_attempt_.end() ||
        outbound_.at(found->second).peer != peer)
    {
        ++metrics_.late_replies;
        return;
    }
    const std::uint64_t id = found->second;
    auto& call = outbound_.at(id);
    if (!call.forwarded && options_.protection)
    {
        levels_.record_levels(call.root_method, answer.levels, now);
    }
    retry_budget_of(call).return_credits(answer.credits_unspent,
                                         call.allocated_credits);
    const auto attempt_health = attempt_result_of(answer);
    if (call.owner_ticket && answer.reason == reason::no_upstream)
    {
        // The call was not sent; only the owner of the ticket knows whether the
        // request has already run.
        answer = make_unknown_outcome(reason::ticket_owner_gone);
    }
    end_attempt(id, std::move(answer), attempt_health, now);
}

void call_engine::end_attempt(std::uint64_t id, answer answer,
                              attempt_result result, time_point now)
{
    auto& call = outbound_.at(id);
    upstreams(call.service).on_finish(call.peer, result, now);
    call_by_attempt_.erase(call.attempt_id);
    call.attempt_id = 0;
    attempt_deadlines_.erase({call.attempt_deadline, id});
    if (should_retry(call, answer, now))
    {
        ++metrics_.retries;
        if (send_attempt(id, now))
        {
            return;
        }
    }
    finish_outbound(id, std::move(answer), now);
}

bool call_engine::should_retry(outbound_call& call, const answer& answer,
                               time_point now)
{
    if (!options_.protection || call.owner_ticket ||
        call.context.deadline <= now)
    {
        return false;
    }
    const auto& set = upstreams(call.service);
    const bool retry_elsewhere =
        answer.result == outcome::not_run &&
        (answer.elsewhere_may_help ||
         (is_overload(answer.reason) &&
          set.has_spare_capacity(call.tried_peers, now)));
    const bool unanswered = answer.result == outcome::unknown &&
                            answer.reason != reason::deadline &&
                            answer.reason != reason::cancelled;
    const bool shed = answer.result == outcome::answered &&
                      answer.response.status == service_unavailable;
    const bool is_retryable = call.context.idempotent && (unanswered || shed);
    return (retry_elsewhere || is_retryable) &&
           retry_budget_of(call).try_spend();
}

void call_engine::finish_outbound(std::uint64_t id, answer answer,
                                  time_point now)
{
    const auto found = outbound_.find(id);
    const outbound_call call = std::move(found->second);
    outbound_.erase(found);
    deadlines_.erase({call.context.deadline, id});
    attempt_deadlines_.erase({call.attempt_deadline, id});
    const auto parent = inbound_.find(call.parent);
    if (parent != inbound_.end())
    {
        parent->second.children.erase(id);
        if (--parent->second.pending_children == 0)
        {
            parent->second.children_wait_time +=
                now - parent->second.children_wait_started_at;
        }
        if (!call.key.empty())
        {
            parent->second.keyed_children[call.key].final_answer = answer;
        }
    }
    if (call.forwarded)
    {
        answer.leaving = leaving_;
        if (answer.result == outcome::not_run &&
            answer.retry_after == duration::zero())
        {
            answer.retry_after = overload_retry_after();
        }
    }
    record_outcome(call.context, call.method, answer, now);
    std::vector<reply_target> receivers = call.joined_origins;
    if (call.origin.port != nullptr)
    {
        receivers.push_back(call.origin);
    }
    for (const auto& receiver : receivers)
    {
        call_by_origin_.erase({receiver.port, receiver.exchange});
        receiver.port->send_reply(receiver.exchange, answer,
                                  call.context.request_id);
    }
}

void call_engine::cancel_outbound(std::uint64_t id, time_point now)
{
    const auto found = outbound_.find(id);
    if (found == outbound_.end())
    {
        return;
    }
    cancel_attempt(found->second, attempt_result::refused, now);
    finish_outbound(id, make_unknown_outcome(reason::cancelled), now);
}

void call_engine::on_peer_lost(std::string_view peer, time_point now)
{
    handle_process_pause(now);
    std::vector<std::uint64_t> lost;
    for (const auto& [id, call] : outbound_)
    {
        if (call.attempt_id != 0 && call.peer == peer)
        {
            lost.push_back(id);
        }
    }
    std::sort(lost.begin(), lost.end());
    for (const auto id : lost)
    {
        if (outbound_.contains(id))
        {
            end_attempt(id, make_unknown_outcome(reason::peer_lost),
                        attempt_result::failure, now);
        }
    }
}

} // namespace jujubespan::engine
