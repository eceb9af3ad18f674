// Validation and admission of callers' requests and peers' calls.

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

constexpr std::size_t max_request_id_length = 128;

std::optional<std::uint64_t> parse_unsigned(std::string_view text)
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

std::uint64_t request_fingerprint(const http_request& request)
{
    const auto seed = stable_hash(request.method);
    return stable_hash(request.body, stable_hash(request.target, seed));
}

bool is_caller_retry(const http_request& request)
{
    const auto text = find_header(request.headers, headers::attempt);
    return parse_unsigned(text).value_or(1) > 1;
}

} // namespace

void call_engine::on_caller_request(reply_target origin, http_request request,
                                    time_point now)
{
    handle_process_pause(now);
    inbound_call call;
    call.origin = origin;
    call.from_caller = true;
    call.arrived_at = now;
    if (auto failure = validate_root_request(request, call, now))
    {
        const bool has_key =
            !find_header(request.headers, headers::idempotency_key).empty();
        if (has_key && failure->result == outcome::not_run)
        {
            // Only the owner of the ticket knows whether the request has
            // already run, so this node must not answer "not run".
            failure->result = outcome::unknown;
        }
        send_answer(call, *std::move(failure), now);
        return;
    }
    call.request = std::move(request);
    if (!call.context.idempotent)
    {
        ticket_check checked = check_ticket(call, now);
        switch (checked.next_action)
        {
        case ticket_check::action::run:
            break;
        case ticket_check::action::joined:
            return;
        case ticket_check::action::answer_now:
            send_answer(call, std::move(checked.immediate_answer), now);
            return;
        case ticket_check::action::forward:
            forward_call(std::move(call), std::move(checked.owner_ticket), now);
            return;
        }
    }
    if (leaving_ && call.ticket_number == 0 && options_.protection)
    {
        forward_call(std::move(call), std::nullopt, now);
        return;
    }
    if (auto refusal = admit_root_request(call, now))
    {
        update_ticket(call, *refusal);
        send_answer(call, *std::move(refusal), now);
        return;
    }
    schedule_inbound(std::move(call), now);
}

std::optional<answer>
call_engine::validate_root_request(const http_request& request,
                                   inbound_call& call, time_point now)
{
    auto& context = call.context;
    const auto id = find_header(request.headers, headers::request_id);
    context.request_id = id.empty()
                             ? random_token()
                             : std::string(id.substr(0, max_request_id_length));
    context.customer = find_header(request.headers, headers::customer);
    if (contracts_->revision() == 0)
    {
        return make_refusal(reason::no_configuration, true);
    }
    call.contract = contracts_->find(context.customer);
    if (!call.contract)
    {
        return make_rejection(reason::unknown_customer);
    }
    const auto* rule = call.contract->find_rule(
        options_.service, request.method, path_of(request.target));
    if (rule == nullptr)
    {
        return make_rejection(reason::unknown_method);
    }
    if (!rule->entry)
    {
        return make_rejection(reason::internal_method);
    }
    call.method = rule->id();
    context.cls = rule->cls;
    context.idempotent = rule->idempotent;
    context.credits = options_.protection ? call.contract->retry_credits : 0;
    duration timeout = rule->deadline;
    const auto requested_deadline =
        find_header(request.headers, headers::deadline);
    if (!requested_deadline.empty())
    {
        const auto requested_ms = parse_unsigned(requested_deadline);
        if (!requested_ms)
        {
            return make_rejection(reason::malformed);
        }
        const auto max_ms = static_cast<std::uint64_t>(milliseconds(timeout));
        timeout = std::chrono::milliseconds(std::min(*requested_ms, max_ms));
    }
    context.deadline = now + timeout;
    if (timeout == duration::zero())
    {
        return make_refusal(reason::deadline);
    }
    return std::nullopt;
}

call_engine::ticket_check call_engine::check_ticket(inbound_call& call,
                                                    time_point now)
{
    using action = ticket_check::action;
    const auto key =
        find_header(call.request.headers, headers::idempotency_key);
    if (key.empty())
    {
        if (call.contract->require_ticket)
        {
            return {action::answer_now,
                    make_rejection(reason::ticket_required),
                    {}};
        }
        return {};
    }
    const auto presented = parse_ticket(key);
    if (!presented)
    {
        return {action::answer_now, make_rejection(reason::ticket_invalid), {}};
    }
    call.context.ticket = key;
    if (presented->owner != options_.id)
    {
        return {action::forward, {}, presented};
    }
    return check_own_ticket(call, *presented, now);
}

call_engine::ticket_check call_engine::check_own_ticket(inbound_call& call,
                                                        const ticket& presented,
                                                        time_point now)
{
    using action = ticket_check::action;
    const auto verdict =
        tickets_.begin_request(presented, call.context.customer,
                               request_fingerprint(call.request), now);
    switch (verdict)
    {
    case ticket_verdict::run:
        call.ticket_number = presented.number;
        return {};
    case ticket_verdict::join:
    {
        const auto id = call_by_ticket_.at(presented.number);
        const auto running = inbound_.find(id);
        if (running == inbound_.end())
        {
            return {action::answer_now,
                    make_unknown_outcome(reason::ticket_already_run),
                    {}};
        }
        running->second.joined_origins.push_back(call.origin);
        call_by_origin_[{call.origin.port, call.origin.exchange}] = id;
        return {action::joined, {}, {}};
    }
    case ticket_verdict::stored:
    {
        answer stored_answer;
        stored_answer.response = *tickets_.stored_response(presented.number);
        return {action::answer_now, std::move(stored_answer), {}};
    }
    case ticket_verdict::already_run:
        return {action::answer_now,
                make_unknown_outcome(reason::ticket_already_run),
                {}};
    case ticket_verdict::expired:
        return {action::answer_now,
                make_unknown_outcome(reason::ticket_expired),
                {}};
    case ticket_verdict::mismatch:
        return {
            action::answer_now, make_rejection(reason::ticket_mismatch), {}};
    case ticket_verdict::forged:
        return {action::answer_now, make_rejection(reason::ticket_invalid), {}};
    case ticket_verdict::owner_gone:
        return {action::answer_now,
                make_unknown_outcome(reason::ticket_owner_gone),
                {}};
    case ticket_verdict::full:
        break;
    }
    return {
        action::answer_now, make_refusal(reason::ticket_memory_full, true), {}};
}

std::optional<answer> call_engine::admit_root_request(inbound_call& call,
                                                      time_point now)
{
    if (leaving_)
    {
        return make_refusal(reason::leaving, true);
    }
    if (inbound_.size() >= options_.limits.max_in_flight)
    {
        return make_refusal(reason::in_flight_bound);
    }
    auto& context = call.context;
    if (!options_.protection)
    {
        return std::nullopt;
    }
    const auto verdict =
        customers_.admit(*call.contract, is_caller_retry(call.request), now);
    if (verdict != customer_verdict::admit)
    {
        const bool over_rate = verdict == customer_verdict::rate_exceeded;
        answer refusal = make_refusal(over_rate ? reason::customer_limit
                                                : reason::caller_retries);
        refusal.retry_after =
            over_rate ? jittered_retry_after(
                            customers_.retry_after(*call.contract, now),
                            random_unit())
                      : overload_retry_after();
        return refusal;
    }
    context.key = make_shed_key(context.cls, context.request_id,
                                customers_.utilisation(*call.contract, now));
    if (context.key >= gate_.level())
    {
        gate_.count_refused(context.key);
        return make_refusal(reason::overload);
    }
    if (context.key >= levels_.level(call.method, now))
    {
        return make_refusal(reason::downstream_overload);
    }
    return std::nullopt;
}

std::optional<answer> call_engine::check_peer_call(const inbound_call& call,
                                                   std::string_view service,
                                                   time_point now) const
{
    if (service != options_.service)
    {
        return make_refusal(reason::unknown_method, true);
    }
    if (call.context.deadline <= now)
    {
        return make_refusal(reason::deadline);
    }
    if (inbound_.size() >= options_.limits.max_in_flight)
    {
        return make_refusal(reason::in_flight_bound, true);
    }
    if (leaving_)
    {
        return make_refusal(reason::leaving, true);
    }
    return std::nullopt;
}

void call_engine::on_peer_call(reply_target origin, peer_call incoming,
                               time_point now)
{
    handle_process_pause(now);
    inbound_call call;
    call.origin = origin;
    call.arrived_at = now;
    call.context = std::move(incoming.context);
    call.request = std::move(incoming.request);
    call.forwarded = incoming.forwarded;
    call.budget = retry_budget(call.context.credits);
    const auto refuse_call = [&](answer answer)
    {
        answer.credits_unspent = call.context.credits;
        update_ticket(call, answer);
        send_answer(call, std::move(answer), now);
    };
    call.contract = contracts_->find(call.context.customer);
    const auto* rule =
        call.contract
            ? call.contract->find_rule(options_.service, call.request.method,
                                       path_of(call.request.target))
            : nullptr;
    call.method = rule != nullptr ? rule->id() : std::string();
    // Check the ticket before anything else: the checks below may answer "not
    // run" only if the ticket ledger confirms that the request has not run.
    const auto presented = parse_ticket(call.context.ticket);
    if (call.forwarded && presented)
    {
        ticket_check checked = check_own_ticket(call, *presented, now);
        if (checked.next_action == ticket_check::action::joined)
        {
            return;
        }
        if (checked.next_action == ticket_check::action::answer_now)
        {
            refuse_call(std::move(checked.immediate_answer));
            return;
        }
    }
    if (auto refusal = check_peer_call(call, incoming.service, now))
    {
        refuse_call(*std::move(refusal));
        return;
    }
    schedule_inbound(std::move(call), now);
}

} // namespace jujubespan::engine
