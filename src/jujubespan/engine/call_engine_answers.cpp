// Completion of inbound calls: answers, tickets, reported admission levels and
// decision records.

#include "jujubespan/engine/call_engine.hpp"

#include <algorithm>

namespace jujubespan::engine
{

namespace
{

constexpr duration recovery_report_duration = std::chrono::seconds(2);
constexpr duration base_retry_after = std::chrono::seconds(1);

} // namespace

void call_engine::finish_inbound(std::uint64_t id, answer answer,
                                 time_point now)
{
    const auto found = inbound_.find(id);
    if (found == inbound_.end())
    {
        return;
    }
    const inbound_call call = std::move(found->second);
    inbound_.erase(found);
    call_by_origin_.erase({call.origin.port, call.origin.exchange});
    deadlines_.erase({call.context.deadline, id});
    call_by_token_.erase(call.token);
    gate_.remove(id);
    cancel_children(call, now);
    if (call.current_stage == stage::running)
    {
        if (answer.result == outcome::unknown)
        {
            backend_.cancel(id);
        }
        const duration child_wait_time =
            call.children_wait_time + (call.pending_children > 0
                                           ? now - call.children_wait_started_at
                                           : duration::zero());
        const duration occupancy = now - call.started_at;
        gate_.on_finish(occupancy - child_wait_time, occupancy,
                        answer.result == outcome::answered, now);
    }
    update_ticket(call, answer);
    answer.credits_unspent = call.budget.credits();
    send_answer(call, std::move(answer), now);
    run_queued_calls(now);
}

void call_engine::cancel_children(const inbound_call& call, time_point now)
{
    const std::vector<std::uint64_t> children(call.children.begin(),
                                              call.children.end());
    for (const auto child : children)
    {
        cancel_outbound(child, now);
    }
}

void call_engine::update_ticket(const inbound_call& call, const answer& answer)
{
    if (call.ticket_number == 0)
    {
        return;
    }
    call_by_ticket_.erase(call.ticket_number);
    if (answer.result == outcome::not_run)
    {
        tickets_.release(call.ticket_number);
    }
    else if (answer.result == outcome::answered)
    {
        tickets_.complete(call.ticket_number, answer.response);
    }
    else
    {
        tickets_.complete(call.ticket_number, std::nullopt);
    }
}

void call_engine::send_answer(const inbound_call& call, answer answer,
                              time_point now)
{
    if (!call.from_caller)
    {
        answer.levels = levels_to_report(call.method, now);
    }
    answer.leaving = leaving_;
    answer.load = load(now);
    if (answer.result == outcome::not_run &&
        answer.retry_after == duration::zero())
    {
        answer.retry_after = overload_retry_after();
    }
    if (call.from_caller && call.contract && !leaving_)
    {
        answer.next_ticket =
            to_string(tickets_.issue_ticket(call.context.customer, now));
    }
    record_outcome(call.context, call.method, answer, now);
    if (call.from_caller)
    {
        record_latency(call.context, answer, call.arrived_at, now);
    }
    if (call.origin.port != nullptr)
    {
        call.origin.port->send_reply(call.origin.exchange, answer,
                                     call.context.request_id);
    }
    for (const auto& other : call.joined_origins)
    {
        call_by_origin_.erase({other.port, other.exchange});
        other.port->send_reply(other.exchange, answer, call.context.request_id);
    }
}

std::vector<service_level>
call_engine::levels_to_report(std::string_view method, time_point now) const
{
    auto levels = levels_.report(method, now);
    // Report this node's level while it sheds load and for some time after, so
    // that callers learn that all requests are admitted again.
    if (now - last_shedding_at_ <= recovery_report_duration)
    {
        levels.push_back({options_.service, gate_.level()});
    }
    return levels;
}

void call_engine::record_outcome(const call_context& context,
                                 std::string_view method, const answer& answer,
                                 time_point now)
{
    ++metrics_.outcomes[static_cast<std::size_t>(answer.result)];
    if (answer.result == outcome::answered)
    {
        return;
    }
    ++metrics_.not_answered[static_cast<std::size_t>(answer.reason)];
    decision item;
    item.request_id = context.request_id;
    item.customer = context.customer;
    item.method = method;
    item.result = answer.result;
    item.reason = answer.reason;
    item.key = context.key;
    item.own_level = gate_.level();
    item.downstream_level = levels_.level(method, now);
    item.depth = context.depth;
    item.at = now;
    decisions_.add(std::move(item));
}

void call_engine::record_latency(const call_context& context,
                                 const answer& answer, time_point arrived_at,
                                 time_point now)
{
    if (answer.result == outcome::answered && arrived_at != time_point{})
    {
        metrics_.latency[{context.customer, context.cls}].add(now - arrived_at);
    }
}

duration call_engine::overload_retry_after()
{
    return jittered_retry_after(base_retry_after, random_unit());
}

} // namespace jujubespan::engine
