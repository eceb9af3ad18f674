// Completion of requests: responses, refusals, lost nodes and disconnected
// clients.

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
        reply.answer = engine::make_unknown_outcome(reason::peer_lost);
        on_reply(id, reply, now);
    }
}

void egress::for_each_instance_at(
    std::string_view peer,
    const std::function<void(balancer&, std::string_view id)>& action)
{
    for (const auto& [id, address] : call_addresses_)
    {
        if (address != peer)
        {
            continue;
        }
        for (auto& [service, service_balancer] : balancers_)
        {
            action(service_balancer, id);
        }
    }
}

void egress::on_peer_stopping(std::string_view peer, time_point now)
{
    log(log_level::info, "peer_leaving", "peer={}", peer);
    for_each_instance_at(peer, [now](balancer& service, std::string_view id)
                         { service.on_node_stopping(id, now); });
}

void egress::on_peer_seen(std::string_view peer, std::uint64_t incarnation)
{
    bool restarted = false;
    for_each_instance_at(
        peer, [incarnation, &restarted](balancer& service, std::string_view id)
        { restarted = service.on_node_seen(id, incarnation) || restarted; });
    if (restarted)
    {
        log(log_level::info, "peer_restarted", "peer={} incarnation={}", peer,
            incarnation);
    }
}

void egress::on_client_disconnected(std::uint64_t exchange, time_point now)
{
    const auto found = call_ids_.find(exchange);
    if (found == call_ids_.end())
    {
        remove_waiting(exchange, now);
        return;
    }
    const std::uint64_t id = found->second;
    open_call call = remove_call(calls_.find(id));
    cancel_attempt(id, call, now);
    ++shared_.metrics.clients_disconnected;
    log(log_level::info, "client_gone",
        "request={} route={} instance={} attempts={} after_ms={}",
        call.message.request_id, call.message.route, call.instance,
        call.tried_instances.size(), milliseconds(now - call.received_at));
}

void egress::cancel_attempt(std::uint64_t id, open_call& call, time_point now)
{
    peers_.cancel(call.peer, id, now);
    balancer_of(call.message.service)
        .on_attempt_end(call.instance, attempt_outcome::cancelled, {}, now);
}

void egress::on_tick(time_point now)
{
    while (!deadlines_.empty() && deadlines_.begin()->first <= now)
    {
        const std::uint64_t id = deadlines_.begin()->second;
        open_call call = remove_call(calls_.find(id));
        cancel_attempt(id, call, now);
        finish_request(call,
                       engine::make_unknown_outcome(call.uses_route_timeout
                                                        ? reason::timeout
                                                        : reason::deadline),
                       now);
    }
    expire_waiting(now);
    if (now >= next_pressure_update_)
    {
        next_pressure_update_ = now + pressure_interval;
        update_pressures(now);
    }
    shared_.admission.on_tick(now);
    update_staleness(now);
}

bool egress::retries_suspended(std::string_view service, time_point now) const
{
    const auto until = retries_suspended_until_.find(service);
    return until != retries_suspended_until_.end() && now < until->second;
}

void egress::finish_request(open_call& call, const answer& last, time_point now)
{
    // The last attempt was refused, but an earlier one may have run: the
    // request must not be reported as not run.
    const bool earlier_ran =
        last.result == outcome::not_run && call.may_have_run;
    const answer unknown = engine::make_unknown_outcome(last.reason);
    const answer& earlier = call.server_error ? *call.server_error : unknown;
    // References, so that the response is not copied.
    const answer& final_answer = earlier_ran ? earlier : last;
    refund_if_not_run(call, final_answer, now);
    ++shared_.metrics.outcomes[static_cast<std::size_t>(final_answer.result)];
    ++shared_.metrics
          .egress_reasons[static_cast<std::size_t>(final_answer.reason)];
    shared_.metrics.latency[call.matched_route->priority].add(now -
                                                              call.received_at);
    const bool succeeded = final_answer.result == outcome::answered &&
                           final_answer.response.status < first_server_error;
    log(succeeded ? log_level::debug : log_level::info,
        succeeded ? "request_answered" : "request_failed",
        "request={} route={} service={} instance={} version={} outcome={} "
        "reason={} status={} attempts={} after_ms={}",
        call.message.request_id, call.message.route, call.message.service,
        call.instance, configuration_version(), to_string(final_answer.result),
        to_string(final_answer.reason), final_answer.response.status,
        call.tried_instances.size(), milliseconds(now - call.received_at));
    send_response(call, final_answer);
}

void egress::refuse_request(const open_call& call, const answer& answer)
{
    ++shared_.metrics.outcomes[static_cast<std::size_t>(answer.result)];
    ++shared_.metrics.egress_reasons[static_cast<std::size_t>(answer.reason)];
    if (answer.reason != reason::downstream_overload) // Logged as request_shed.
    {
        log(log_level::info, "request_refused",
            "request={} route={} fingerprint={} version={} outcome={} "
            "reason={}{}{}",
            call.message.request_id,
            call.matched_route == nullptr ? std::string("-")
                                          : call.matched_route->name,
            call.fingerprint ? to_text(*call.fingerprint) : "-",
            configuration_version(), to_string(answer.result),
            to_string(answer.reason),
            call.message.organisation.empty() ? "" : " organisation=",
            call.message.organisation);
    }
    send_response(call, answer);
}

void egress::send_response(const open_call& call, const answer& answer)
{
    constexpr double middle = 0.5;
    const double random =
        shared_.mechanisms.enabled(mechanism::retry_after_jitter)
            ? std::uniform_real_distribution<double>(0, 1)(random_)
            : middle;
    const auto objective = call.matched_route == nullptr
                               ? duration::zero()
                               : call.matched_route->objective;
    auto response = make_client_response(answer, objective, random);
    if (answer.result == outcome::answered)
    {
        response.headers.push_back(
            {options_.names.request_id, call.message.request_id});
    }
    clients_.respond(call.exchange, response);
}

} // namespace jujubespan::mesh
