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

// Name of the service in the Host header, without a port.
std::string service_name(const http_request& request)
{
    const auto host = find_header(request.headers, "Host");
    return std::string(host.substr(0, host.find(':')));
}

bool is_overload(reason why)
{
    return why == reason::queue_full || why == reason::overload ||
           why == reason::in_flight_bound;
}

attempt_result health_of(const answer& value)
{
    if (value.result == outcome::answered || value.result == outcome::rejected)
    {
        return attempt_result::success;
    }
    const bool broken = value.reason == reason::backend_unreachable ||
                        value.reason == reason::backend_failed ||
                        value.reason == reason::no_upstream;
    return broken ? attempt_result::failure : attempt_result::refused;
}

} // namespace

void call_engine::on_outbound_request(reply_to origin, http_request request,
                                      time_point now)
{
    start_of_event(now);
    const auto refuse_call = [&](const answer& value)
    { origin.port->reply(origin.exchange, value, {}); };
    const auto token = find_header(request.headers, headers::token);
    std::string service = service_name(request);
    if (token.empty())
    {
        root_outbound(origin, std::move(request), std::move(service), now);
        return;
    }
    const auto found = tokens_.find(token);
    if (found == tokens_.end())
    {
        refuse_call(refuse(reason::unknown_token));
        return;
    }
    const std::uint64_t parent_id = found->second;
    auto& parent = inbound_.at(parent_id);
    outbound_call call;
    call.origin = origin;
    call.parent = parent_id;
    call.service = std::move(service);
    if (auto wrong = check_child(parent, request, call, now))
    {
        refuse_call(*wrong);
        return;
    }
    if (!call.context.idempotent && join_keyed(parent, origin, request))
    {
        return;
    }
    if (!call.context.idempotent)
    {
        call.key = find_header(request.headers, headers::idempotency_key);
    }
    call.request = for_backend(std::move(request));
    launch(std::move(call), now);
}

std::optional<answer> call_engine::check_child(const inbound_call& parent,
                                               const http_request& request,
                                               outbound_call& call,
                                               time_point now)
{
    if (!parent.terms)
    {
        return reject(reason::unknown_customer);
    }
    const auto* rule = parent.terms->find_rule(call.service, request.verb,
                                               path_of(request.target));
    if (rule == nullptr)
    {
        return reject(reason::unknown_method);
    }
    if (parent.context.idempotent && !rule->idempotent)
    {
        return reject(reason::repeatable_parent);
    }
    if (parent.context.deadline <= now)
    {
        return refuse(reason::deadline);
    }
    auto& context = call.context;
    context = parent.context;
    context.idempotent = rule->idempotent;
    context.ticket.clear();
    context.deadline = std::min(context.deadline, now + rule->deadline);
    ++context.depth;
    if (context.depth > parent.terms->max_depth)
    {
        return reject(reason::depth);
    }
    const auto hash = call_hash(call.service, request);
    if (std::find(context.path.begin(), context.path.end(), hash) !=
        context.path.end())
    {
        return reject(reason::loop);
    }
    context.path.push_back(hash);
    call.method = rule->id();
    call.root_method = parent.method;
    return std::nullopt;
}

void call_engine::root_outbound(reply_to origin, http_request request,
                                std::string service, time_point now)
{
    inbound_call root;
    root.origin = origin;
    const auto refuse_call = [&](const answer& value)
    {
        note(root.context, root.method, value, now);
        origin.port->reply(origin.exchange, value, root.context.request_id);
    };
    const auto customer = find_header(request.headers, headers::customer);
    root.terms = table_->find(customer);
    if (!root.terms)
    {
        refuse_call(table_->revision() == 0
                        ? refuse(reason::no_configuration, true)
                        : reject(reason::unknown_customer));
        return;
    }
    const auto* rule =
        root.terms->find_rule(service, request.verb, path_of(request.target));
    if (rule == nullptr)
    {
        refuse_call(reject(reason::unknown_method));
        return;
    }
    root.method = rule->id();
    auto& context = root.context;
    context.customer = customer;
    context.request_id = random_token();
    context.cls = rule->cls;
    context.idempotent = rule->idempotent;
    context.credits = root.terms->retry_credits;
    context.deadline = now + rule->deadline;
    root.request = request;
    if (auto refusal = admit_root(root, now))
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
    call.request = for_backend(std::move(request));
    launch(std::move(call), now);
}

bool call_engine::join_keyed(inbound_call& parent, reply_to origin,
                             const http_request& request)
{
    const auto key = find_header(request.headers, headers::idempotency_key);
    const auto known = parent.keyed.find(key);
    if (key.empty() || known == parent.keyed.end())
    {
        return false;
    }
    if (known->second.done)
    {
        origin.port->reply(origin.exchange, *known->second.done, {});
        return true;
    }
    auto& running = outbound_.at(known->second.call);
    running.joined.push_back(origin);
    origins_[{origin.port, origin.exchange}] = known->second.call;
    return true;
}

void call_engine::forward(inbound_call&& call, std::optional<ticket> owner,
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
    out.owner = std::move(owner);
    launch(std::move(out), now);
}

void call_engine::launch(outbound_call&& call, time_point now)
{
    const std::uint64_t id = next_id_++;
    origins_[{call.origin.port, call.origin.exchange}] = id;
    deadlines_.insert({call.context.deadline, id});
    const auto parent = inbound_.find(call.parent);
    if (parent != inbound_.end())
    {
        parent->second.children.insert(id);
        if (!call.key.empty())
        {
            parent->second.keyed[call.key].call = id;
        }
        if (parent->second.open_children++ == 0)
        {
            parent->second.children_since = now;
        }
    }
    // Only its owner knows whether a ticketed request has run.
    answer unsent = call.owner ? unknown_outcome(reason::ticket_owner_gone)
                               : refuse(reason::no_upstream, true);
    outbound_.emplace(id, std::move(call));
    if (!send_attempt(id, now))
    {
        finish_outbound(id, std::move(unsent), now);
    }
}

retry_budget& call_engine::budget_of(outbound_call& call)
{
    const auto parent = inbound_.find(call.parent);
    return parent == inbound_.end() ? call.budget : parent->second.budget;
}

bool call_engine::send_attempt(std::uint64_t id, time_point now)
{
    auto& call = outbound_.at(id);
    auto& set = upstreams(call.service);
    auto& budget = budget_of(call);
    while (true)
    {
        const auto chosen = call.owner ? std::optional(call.owner->owner)
                                       : set.pick(random(), call.tried, now);
        const bool again =
            chosen && std::find(call.tried.begin(), call.tried.end(),
                                *chosen) != call.tried.end();
        if (!chosen || again)
        {
            return false;
        }
        peer_call message;
        message.id = next_id_++;
        message.service = call.service;
        message.context = call.context;
        message.request = call.request;
        message.forwarded = call.forwarded;
        call.lent = budget.lend();
        message.context.credits = call.lent;
        call.tried.push_back(*chosen);
        set.on_start(*chosen, now);
        if (!peers_.call(*chosen, message, now))
        {
            set.on_finish(*chosen, attempt_result::failure, now);
            budget.give_back(call.lent, call.lent);
            continue;
        }
        ++metrics_.attempts;
        call.peer = *chosen;
        call.attempt = message.id;
        attempts_[message.id] = id;
        const duration remaining = call.context.deadline - now;
        const bool may_retry = call.context.idempotent && budget.credits() > 0;
        call.attempt_started = now;
        call.attempt_deadline =
            may_retry ? now + remaining / 2 : call.context.deadline;
        if (may_retry)
        {
            attempt_deadlines_.insert({call.attempt_deadline, id});
        }
        return true;
    }
}

void call_engine::drop_attempt(outbound_call& call, attempt_result result,
                               time_point now)
{
    if (call.attempt == 0)
    {
        return;
    }
    peers_.cancel(call.peer, call.attempt);
    upstreams(call.service).on_finish(call.peer, result, now);
    attempts_.erase(call.attempt);
    call.attempt = 0;
}

void call_engine::on_peer_reply(std::string_view peer, std::uint64_t attempt,
                                answer value, time_point now)
{
    start_of_event(now);
    if (value.leaving)
    {
        on_peer_leaving(peer);
    }
    on_peer_load(peer, value.load, now);
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end() || outbound_.at(found->second).peer != peer)
    {
        ++metrics_.late_replies;
        return;
    }
    const std::uint64_t id = found->second;
    auto& call = outbound_.at(id);
    if (!call.forwarded && options_.protection)
    {
        levels_.learn(call.root_method, value.levels, now);
    }
    budget_of(call).give_back(value.credits_unspent, call.lent);
    const auto health = health_of(value);
    if (call.owner && value.reason == reason::no_upstream)
    {
        // Unsent; only its owner knows whether a ticketed request has run.
        value = unknown_outcome(reason::ticket_owner_gone);
    }
    end_attempt(id, std::move(value), health, now);
}

void call_engine::end_attempt(std::uint64_t id, answer value,
                              attempt_result result, time_point now)
{
    auto& call = outbound_.at(id);
    upstreams(call.service).on_finish(call.peer, result, now);
    attempts_.erase(call.attempt);
    call.attempt = 0;
    attempt_deadlines_.erase({call.attempt_deadline, id});
    if (should_retry(call, value, now))
    {
        ++metrics_.retries;
        if (send_attempt(id, now))
        {
            return;
        }
    }
    finish_outbound(id, std::move(value), now);
}

bool call_engine::should_retry(outbound_call& call, const answer& value,
                               time_point now)
{
    if (!options_.protection || call.owner || call.context.deadline <= now)
    {
        return false;
    }
    const auto& set = upstreams(call.service);
    const bool refused_here =
        value.result == outcome::not_run &&
        (value.elsewhere_may_help || (is_overload(value.reason) &&
                                      set.has_spare_capacity(call.tried, now)));
    const bool unanswered = value.result == outcome::unknown &&
                            value.reason != reason::deadline &&
                            value.reason != reason::cancelled;
    const bool shed = value.result == outcome::answered &&
                      value.response.status == service_unavailable;
    const bool repeatable = call.context.idempotent && (unanswered || shed);
    return (refused_here || repeatable) && budget_of(call).spend();
}

void call_engine::finish_outbound(std::uint64_t id, answer value,
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
        if (--parent->second.open_children == 0)
        {
            parent->second.children_time += now - parent->second.children_since;
        }
        if (!call.key.empty())
        {
            parent->second.keyed[call.key].done = value;
        }
    }
    if (call.forwarded)
    {
        value.leaving = leaving_;
        if (value.result == outcome::not_run &&
            value.retry_after == duration::zero())
        {
            value.retry_after = overload_retry_after();
        }
    }
    note(call.context, call.method, value, now);
    std::vector<reply_to> receivers = call.joined;
    if (call.origin.port != nullptr)
    {
        receivers.push_back(call.origin);
    }
    for (const auto& receiver : receivers)
    {
        origins_.erase({receiver.port, receiver.exchange});
        receiver.port->reply(receiver.exchange, value, call.context.request_id);
    }
}

void call_engine::cancel_outbound(std::uint64_t id, time_point now)
{
    const auto found = outbound_.find(id);
    if (found == outbound_.end())
    {
        return;
    }
    drop_attempt(found->second, attempt_result::refused, now);
    finish_outbound(id, unknown_outcome(reason::cancelled), now);
}

void call_engine::on_peer_lost(std::string_view peer, time_point now)
{
    start_of_event(now);
    std::vector<std::uint64_t> lost;
    for (const auto& [id, call] : outbound_)
    {
        if (call.attempt != 0 && call.peer == peer)
        {
            lost.push_back(id);
        }
    }
    std::sort(lost.begin(), lost.end());
    for (const auto id : lost)
    {
        if (outbound_.contains(id))
        {
            end_attempt(id, unknown_outcome(reason::peer_lost),
                        attempt_result::failure, now);
        }
    }
}

} // namespace jujubespan::engine
