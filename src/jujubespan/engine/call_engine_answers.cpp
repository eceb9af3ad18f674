// Ends of inbound calls: answers, tickets, levels on replies and records.

#include "jujubespan/engine/call_engine.hpp"

#include <algorithm>

namespace jujubespan::engine
{

namespace
{

constexpr duration report_open_level_for = std::chrono::seconds(2);
constexpr duration retry_after_base = std::chrono::seconds(1);

} // namespace

void call_engine::finish(std::uint64_t id, answer value, time_point now)
{
    const auto found = inbound_.find(id);
    if (found == inbound_.end())
    {
        return;
    }
    const inbound_call call = std::move(found->second);
    inbound_.erase(found);
    origins_.erase({call.origin.port, call.origin.exchange});
    deadlines_.erase({call.context.deadline, id});
    tokens_.erase(call.token);
    gate_.remove(id);
    release_children(call, now);
    if (call.at == stage::running)
    {
        if (value.result == outcome::unknown)
        {
            backend_.cancel(id);
        }
        const duration waiting =
            call.children_time + (call.open_children > 0
                                      ? now - call.children_since
                                      : duration::zero());
        const duration held = now - call.started;
        gate_.on_finish(held - waiting, held, value.result == outcome::answered,
                        now);
    }
    settle_ticket(call, value);
    value.credits_unspent = call.budget.held();
    send(call, std::move(value), now);
    pump(now);
}

void call_engine::release_children(const inbound_call& call, time_point now)
{
    const std::vector<std::uint64_t> children(call.children.begin(),
                                              call.children.end());
    for (const auto child : children)
    {
        cancel_outbound(child, now);
    }
}

void call_engine::settle_ticket(const inbound_call& call, const answer& value)
{
    if (call.ticket_number == 0)
    {
        return;
    }
    ticket_calls_.erase(call.ticket_number);
    if (value.result == outcome::not_run)
    {
        tickets_.release(call.ticket_number);
    }
    else if (value.result == outcome::answered)
    {
        tickets_.complete(call.ticket_number, value.response);
    }
    else
    {
        tickets_.complete(call.ticket_number, std::nullopt);
    }
}

void call_engine::send(const inbound_call& call, answer value, time_point now)
{
    if (!call.from_caller)
    {
        value.levels = levels_to_report(call.method, now);
    }
    value.leaving = leaving_;
    value.load = load(now);
    if (value.result == outcome::not_run &&
        value.retry_after == duration::zero())
    {
        value.retry_after = overload_retry_after();
    }
    if (call.from_caller && call.terms && !leaving_)
    {
        value.next_ticket =
            to_string(tickets_.mint(call.context.customer, now));
    }
    note(call.context, call.method, value, now);
    if (call.from_caller)
    {
        count(call.context, value, call.arrived, now);
    }
    if (call.origin.port != nullptr)
    {
        call.origin.port->reply(call.origin.exchange, value,
                                call.context.request_id);
    }
    for (const auto& other : call.joined)
    {
        origins_.erase({other.port, other.exchange});
        other.port->reply(other.exchange, value, call.context.request_id);
    }
}

std::vector<service_level>
call_engine::levels_to_report(std::string_view method, time_point now) const
{
    auto levels = levels_.report(method, now);
    // An opened level is reported for a while, so that callers learn of it.
    if (now - last_closed_ <= report_open_level_for)
    {
        levels.push_back({options_.service, gate_.level()});
    }
    return levels;
}

void call_engine::note(const call_context& context, std::string_view method,
                       const answer& value, time_point now)
{
    ++metrics_.outcomes[static_cast<std::size_t>(value.result)];
    if (value.result == outcome::answered)
    {
        return;
    }
    ++metrics_.not_answered[static_cast<std::size_t>(value.reason)];
    decision item;
    item.request_id = context.request_id;
    item.customer = context.customer;
    item.method = method;
    item.result = value.result;
    item.reason = value.reason;
    item.key = context.key;
    item.own_level = gate_.level();
    item.downstream_level = levels_.level(method, now);
    item.depth = context.depth;
    item.at = now;
    decisions_.add(std::move(item));
}

void call_engine::count(const call_context& context, const answer& value,
                        time_point arrived, time_point now)
{
    if (value.result == outcome::answered && arrived != time_point{})
    {
        metrics_.latency[{context.customer, context.cls}].add(now - arrived);
    }
}

duration call_engine::overload_retry_after()
{
    return jittered_retry_after(retry_after_base, random_unit());
}

} // namespace jujubespan::engine
