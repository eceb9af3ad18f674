// How requests end: answers, refusals, lost nodes and clients that left.

#include "jujubespan/mesh/egress.hpp"

#include "egress_limits.hpp"

#include "jujubespan/mesh/client_response.hpp"
#include "jujubespan/metrics/log.hpp"

namespace jujubespan::mesh
{

namespace
{

using engine::answer;
using engine::outcome;
using engine::reason;

constexpr duration pressure_interval = std::chrono::milliseconds(20);

} // namespace

void egress::on_peer_lost(std::string_view peer, time_point now)
{
    std::vector<std::uint64_t> lost;
    for (const auto& [id, call] : calls_)
    {
        if (call.peer == peer)
        {
            lost.push_back(id);
        }
    }
    if (!lost.empty())
    {
        log(log_level::warn, "calls_lost", "peer={} calls={}", peer,
            lost.size());
    }
    for (const auto id : lost)
    {
        routed_reply reply;
        reply.value = engine::make_unknown_outcome(reason::peer_lost);
        on_reply(id, reply, now);
    }
}

void egress::on_peer_leaving(std::string_view peer, time_point now)
{
    log(log_level::info, "peer_leaving", "peer={}", peer);
    for (const auto& [id, address] : peer_of_)
    {
        if (address != peer)
        {
            continue;
        }
        for (auto& [service, targets] : balancers_)
        {
            targets.on_leaving(id, now);
        }
    }
}

void egress::on_gone(std::uint64_t exchange, time_point now)
{
    const auto known = by_exchange_.find(exchange);
    if (known == by_exchange_.end())
    {
        return;
    }
    const std::uint64_t id = known->second;
    open_call call = take(calls_.find(id));
    withdraw(id, call, now);
    ++shared_.metrics.clients_gone;
    log(log_level::info, "client_gone", "request={} route={} after_ms={}",
        call.message.request_id, call.message.route,
        milliseconds(now - call.arrived));
}

void egress::withdraw(std::uint64_t id, open_call& call, time_point now)
{
    peers_.cancel(call.peer, id, now);
    balancer_of(call.message.service)
        .on_end(call.instance, attempt_end::withdrawn, {}, now);
}

void egress::on_tick(time_point now)
{
    while (!deadlines_.empty() && deadlines_.begin()->first <= now)
    {
        const std::uint64_t id = deadlines_.begin()->second;
        open_call call = take(calls_.find(id));
        withdraw(id, call, now);
        finish(call,
               engine::make_unknown_outcome(
                   call.timeout_is_routes ? reason::timeout : reason::deadline),
               now);
    }
    if (now >= next_pressure_)
    {
        next_pressure_ = now + pressure_interval;
        observe_pressure(now);
    }
    shared_.admission.on_tick(now);
}

bool egress::no_repeats(std::string_view service, time_point now) const
{
    const auto until = no_repeats_until_.find(service);
    return until != no_repeats_until_.end() && now < until->second;
}

void egress::finish(open_call& call, const answer& last, time_point now)
{
    // The last attempt was refused, but an earlier one may have run.
    const bool earlier_ran =
        last.result == outcome::not_run && call.may_have_run;
    const answer unknown = engine::make_unknown_outcome(last.reason);
    const answer& earlier = call.error ? *call.error : unknown;
    const answer& value = earlier_ran ? earlier : last; // Not a copy.
    ++shared_.metrics.outcomes[static_cast<std::size_t>(value.result)];
    ++shared_.metrics.egress_reasons[static_cast<std::size_t>(value.reason)];
    shared_.metrics.latency[call.path->priority].add(now - call.arrived);
    const bool good = value.result == outcome::answered &&
                      value.response.status < first_server_error;
    log(good ? log_level::debug : log_level::info,
        good ? "request_answered" : "request_failed",
        "request={} route={} service={} instance={} version={} outcome={} "
        "reason={} status={} attempts={} after_ms={}",
        call.message.request_id, call.message.route, call.message.service,
        call.instance, version(), to_string(value.result),
        to_string(value.reason), value.response.status, call.tried.size(),
        milliseconds(now - call.arrived));
    respond(call, value);
}

void egress::refuse(const open_call& call, const answer& value)
{
    ++shared_.metrics.outcomes[static_cast<std::size_t>(value.result)];
    ++shared_.metrics.egress_reasons[static_cast<std::size_t>(value.reason)];
    if (value.reason != reason::downstream_overload) // Logged with its inputs.
    {
        log(log_level::info, "request_refused",
            "request={} route={} version={} outcome={} reason={}",
            call.message.request_id,
            call.path == nullptr ? std::string("-") : call.path->name,
            version(), to_string(value.result), to_string(value.reason));
    }
    respond(call, value);
}

void egress::respond(const open_call& call, const answer& value)
{
    const double random = std::uniform_real_distribution<double>(0, 1)(random_);
    const auto objective =
        call.path == nullptr ? duration::zero() : call.path->objective;
    auto response = client_response(value, objective, random);
    if (value.result == outcome::answered)
    {
        response.headers.push_back(
            {options_.names.request_id, call.message.request_id});
    }
    clients_.respond(call.exchange, response);
}

} // namespace jujubespan::mesh
