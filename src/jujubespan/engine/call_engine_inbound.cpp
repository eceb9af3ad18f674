// Requests of callers and calls of peers: checks before admission.

#include "jujubespan/engine/call_engine.hpp"
#include "jujubespan/engine/http_mapping.hpp"
#include "jujubespan/policy/stable_hash.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace jujubespan::engine
{

namespace
{

constexpr std::size_t max_request_id = 128;

std::optional<std::uint64_t> parse_count(std::string_view text)
{
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (text.empty() || error != std::errc{} || stop != end)
    {
        return std::nullopt;
    }
    return value;
}

std::uint64_t fingerprint(const http_request& request)
{
    const auto seed = stable_hash(request.verb);
    return stable_hash(request.body, stable_hash(request.target, seed));
}

bool is_caller_retry(const http_request& request)
{
    const auto text = find_header(request.headers, headers::attempt);
    return parse_count(text).value_or(1) > 1;
}

} // namespace

void call_engine::on_caller_request(reply_to origin, http_request request,
                                    time_point now)
{
    start_of_event(now);
    inbound_call call;
    call.origin = origin;
    call.from_caller = true;
    call.arrived = now;
    if (auto wrong = check_root(request, call, now))
    {
        const bool keyed =
            !find_header(request.headers, headers::idempotency_key).empty();
        if (keyed && wrong->result == outcome::not_run)
        {
            // Only the owner of a ticket knows that its request has not run.
            wrong->result = outcome::unknown;
        }
        send(call, *std::move(wrong), now);
        return;
    }
    call.request = std::move(request);
    if (!call.context.idempotent)
    {
        ticket_step step = check_ticket(call, now);
        switch (step.next)
        {
        case ticket_step::action::run:
            break;
        case ticket_step::action::joined:
            return;
        case ticket_step::action::answer_now:
            send(call, std::move(step.value), now);
            return;
        case ticket_step::action::forward:
            forward(std::move(call), std::move(step.owner), now);
            return;
        }
    }
    if (leaving_ && call.ticket_number == 0 && options_.protection)
    {
        forward(std::move(call), std::nullopt, now);
        return;
    }
    if (auto refusal = admit_root(call, now))
    {
        settle_ticket(call, *refusal);
        send(call, *std::move(refusal), now);
        return;
    }
    enter(std::move(call), now);
}

std::optional<answer> call_engine::check_root(const http_request& request,
                                              inbound_call& call,
                                              time_point now)
{
    auto& context = call.context;
    const auto id = find_header(request.headers, headers::request_id);
    context.request_id =
        id.empty() ? random_token() : std::string(id.substr(0, max_request_id));
    context.customer = find_header(request.headers, headers::customer);
    if (table_->revision() == 0)
    {
        return refuse(reason::no_configuration, true);
    }
    call.terms = table_->find(context.customer);
    if (!call.terms)
    {
        return reject(reason::unknown_customer);
    }
    const auto* rule = call.terms->find_rule(options_.service, request.verb,
                                             path_of(request.target));
    if (rule == nullptr)
    {
        return reject(reason::unknown_method);
    }
    if (!rule->entry)
    {
        return reject(reason::internal_method);
    }
    call.method = rule->id();
    context.cls = rule->cls;
    context.idempotent = rule->idempotent;
    context.credits = options_.protection ? call.terms->retry_credits : 0;
    duration allowed = rule->deadline;
    const auto asked = find_header(request.headers, headers::deadline);
    if (!asked.empty())
    {
        const auto ms = parse_count(asked);
        if (!ms)
        {
            return reject(reason::malformed);
        }
        const auto most = static_cast<std::uint64_t>(milliseconds(allowed));
        allowed = std::chrono::milliseconds(std::min(*ms, most));
    }
    context.deadline = now + allowed;
    if (allowed == duration::zero())
    {
        return refuse(reason::deadline);
    }
    return std::nullopt;
}

call_engine::ticket_step call_engine::check_ticket(inbound_call& call,
                                                   time_point now)
{
    using action = ticket_step::action;
    const auto key =
        find_header(call.request.headers, headers::idempotency_key);
    if (key.empty())
    {
        if (call.terms->require_ticket)
        {
            return {action::answer_now, reject(reason::ticket_required), {}};
        }
        return {};
    }
    const auto presented = parse_ticket(key);
    if (!presented)
    {
        return {action::answer_now, reject(reason::ticket_invalid), {}};
    }
    call.context.ticket = key;
    if (presented->owner != options_.id)
    {
        return {action::forward, {}, presented};
    }
    return judge_own_ticket(call, *presented, now);
}

call_engine::ticket_step call_engine::judge_own_ticket(inbound_call& call,
                                                       const ticket& presented,
                                                       time_point now)
{
    using action = ticket_step::action;
    const auto verdict = tickets_.begin_request(
        presented, call.context.customer, fingerprint(call.request), now);
    switch (verdict)
    {
    case ticket_verdict::run:
        call.ticket_number = presented.number;
        return {};
    case ticket_verdict::join:
    {
        const auto id = ticket_calls_.at(presented.number);
        const auto running = inbound_.find(id);
        if (running == inbound_.end())
        {
            return {action::answer_now,
                    unknown_outcome(reason::ticket_already_run),
                    {}};
        }
        running->second.joined.push_back(call.origin);
        origins_[{call.origin.port, call.origin.exchange}] = id;
        return {action::joined, {}, {}};
    }
    case ticket_verdict::stored:
    {
        answer value;
        value.response = *tickets_.stored_response(presented.number);
        return {action::answer_now, std::move(value), {}};
    }
    case ticket_verdict::already_run:
        return {action::answer_now,
                unknown_outcome(reason::ticket_already_run),
                {}};
    case ticket_verdict::expired:
        return {
            action::answer_now, unknown_outcome(reason::ticket_expired), {}};
    case ticket_verdict::mismatch:
        return {action::answer_now, reject(reason::ticket_mismatch), {}};
    case ticket_verdict::forged:
        return {action::answer_now, reject(reason::ticket_invalid), {}};
    case ticket_verdict::owner_gone:
        return {
            action::answer_now, unknown_outcome(reason::ticket_owner_gone), {}};
    case ticket_verdict::full:
        break;
    }
    return {action::answer_now, refuse(reason::ticket_memory_full, true), {}};
}

std::optional<answer> call_engine::admit_root(inbound_call& call,
                                              time_point now)
{
    if (leaving_)
    {
        return refuse(reason::leaving, true);
    }
    if (inbound_.size() >= options_.limits.max_in_flight)
    {
        return refuse(reason::in_flight_bound);
    }
    auto& context = call.context;
    if (!options_.protection)
    {
        return std::nullopt;
    }
    const auto verdict =
        customers_.admit(*call.terms, is_caller_retry(call.request), now);
    if (verdict != customer_verdict::admit)
    {
        const bool rate = verdict == customer_verdict::rate_exceeded;
        answer refusal =
            refuse(rate ? reason::customer_limit : reason::caller_retries);
        refusal.retry_after =
            rate ? jittered_retry_after(
                       customers_.retry_after(*call.terms, now), random_unit())
                 : overload_retry_after();
        return refusal;
    }
    context.key = make_shed_key(context.cls, context.request_id,
                                customers_.use(*call.terms, now));
    if (context.key >= gate_.level())
    {
        gate_.on_refused(context.key);
        return refuse(reason::overload);
    }
    if (context.key >= levels_.level(call.method, now))
    {
        return refuse(reason::downstream_overload);
    }
    return std::nullopt;
}

std::optional<answer> call_engine::check_peer_call(const inbound_call& call,
                                                   std::string_view service,
                                                   time_point now) const
{
    if (service != options_.service)
    {
        return refuse(reason::unknown_method, true);
    }
    if (call.context.deadline <= now)
    {
        return refuse(reason::deadline);
    }
    if (inbound_.size() >= options_.limits.max_in_flight)
    {
        return refuse(reason::in_flight_bound, true);
    }
    if (leaving_)
    {
        return refuse(reason::leaving, true);
    }
    return std::nullopt;
}

void call_engine::on_peer_call(reply_to origin, peer_call incoming,
                               time_point now)
{
    start_of_event(now);
    inbound_call call;
    call.origin = origin;
    call.arrived = now;
    call.context = std::move(incoming.context);
    call.request = std::move(incoming.request);
    call.forwarded = incoming.forwarded;
    call.budget = retry_budget(call.context.credits);
    const auto refuse_call = [&](answer value)
    {
        value.credits_unspent = call.context.credits;
        settle_ticket(call, value);
        send(call, std::move(value), now);
    };
    call.terms = table_->find(call.context.customer);
    const auto* rule =
        call.terms ? call.terms->find_rule(options_.service, call.request.verb,
                                           path_of(call.request.target))
                   : nullptr;
    call.method = rule != nullptr ? rule->id() : std::string();
    // The ticket first: what follows may say "not run" only of a request that
    // the ledger says has not run.
    const auto presented = parse_ticket(call.context.ticket);
    if (call.forwarded && presented)
    {
        ticket_step step = judge_own_ticket(call, *presented, now);
        if (step.next == ticket_step::action::joined)
        {
            return;
        }
        if (step.next == ticket_step::action::answer_now)
        {
            refuse_call(std::move(step.value));
            return;
        }
    }
    if (auto refusal = check_peer_call(call, incoming.service, now))
    {
        refuse_call(*std::move(refusal));
        return;
    }
    enter(std::move(call), now);
}

} // namespace jujubespan::engine
