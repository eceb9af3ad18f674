#include "jujubespan/peer/codec.hpp"

#include "jujubespan/peer/peer.pb.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jujubespan::peer
{

namespace
{

constexpr std::uint64_t max_remaining_us = 600'000'000;
constexpr unsigned min_status = 100;
constexpr unsigned max_status = 999;
constexpr int max_suspicion_entries = 16'384; // of each list
constexpr long long max_confirmed_age_ms = 3'600'000;
// Thirty years since the start of a host; larger values could overflow.
constexpr std::uint64_t max_clock_us = 1'000'000'000'000'000;
constexpr int max_allowance_entries = 4096;
constexpr double max_allowance_number = 1e7; // tokens or requests per second
constexpr std::uint32_t max_next_token_ms = 60'000;

std::uint32_t clamped_ms(duration age)
{
    return static_cast<std::uint32_t>(std::clamp<long long>(
        milliseconds(age), 0, std::numeric_limits<std::uint32_t>::max()));
}

// Zero, as for a sender that does not know it, unless the value is usable.
float valid_slowness(float value)
{
    constexpr float min_slowness = 0.25F;
    constexpr float max_slowness = 16;
    return std::isfinite(value) && value > 0
               ? std::clamp(value, min_slowness, max_slowness)
               : 0;
}

void encode_headers(const std::vector<http_header>& headers, auto& out)
{
    for (const auto& header : headers)
    {
        auto* added = out.add_headers();
        added->set_name(header.name);
        added->set_value(header.value);
    }
}

std::vector<http_header> decode_headers(const auto& in)
{
    std::vector<http_header> headers;
    headers.reserve(static_cast<std::size_t>(in.headers_size()));
    for (const auto& header : in.headers())
    {
        headers.push_back({header.name(), header.value()});
    }
    return headers;
}

// False also if the value is not a number.
bool is_allowance_number(double value)
{
    return value >= 0 && value <= max_allowance_number;
}

std::uint64_t remaining_us(time_point deadline, time_point now)
{
    const auto remaining =
        std::chrono::duration_cast<std::chrono::microseconds>(deadline - now);
    return static_cast<std::uint64_t>(
        std::max<long long>(remaining.count(), 0));
}

void encode_changes(const versioned_delta& delta, v1::Delta& out)
{
    out.set_after(delta.after);
    out.set_revision(delta.revision);
    out.set_full(delta.full);
    for (const auto& entry : delta.entries)
    {
        auto* added = out.add_entries();
        added->set_key(entry.key);
        added->set_revision(entry.revision);
        added->set_value(entry.value);
        added->set_removed(entry.removed);
        added->set_created(entry.created_revision);
    }
}

} // namespace

void encode(const engine::peer_call& call, time_point now, v1::Call& out)
{
    const auto& context = call.context;
    out.set_id(call.id);
    out.set_request_id(context.request_id);
    out.set_customer(context.customer);
    out.set_request_class(static_cast<std::uint32_t>(context.cls));
    out.set_remaining_us(remaining_us(context.deadline, now));
    out.set_credits(context.credits);
    out.set_depth(context.depth);
    out.set_idempotent(context.idempotent);
    out.set_shed_key(context.key);
    out.set_ticket(context.ticket);
    out.set_service(call.service);
    out.set_method(call.request.method);
    out.set_target(call.request.target);
    encode_headers(call.request.headers, out);
    out.set_body(call.request.body);
    out.set_forwarded(call.forwarded);
    for (const auto hash : context.path)
    {
        out.add_path(hash);
    }
}

std::optional<engine::peer_call> decode(const v1::Call& in, time_point now)
{
    if (in.request_class() >= request_class_count ||
        in.shed_key() >= admit_all_level ||
        in.remaining_us() > max_remaining_us || in.target().empty() ||
        in.method().empty())
    {
        return std::nullopt;
    }
    engine::peer_call call;
    call.id = in.id();
    call.service = in.service();
    call.forwarded = in.forwarded();
    auto& context = call.context;
    context.request_id = in.request_id();
    context.customer = in.customer();
    context.cls = static_cast<request_class>(in.request_class());
    context.key = in.shed_key();
    context.deadline = now + std::chrono::microseconds(in.remaining_us());
    context.credits = in.credits();
    context.depth = in.depth();
    context.idempotent = in.idempotent();
    context.ticket = in.ticket();
    context.path.assign(in.path().begin(), in.path().end());
    call.request.method = in.method();
    call.request.target = in.target();
    call.request.headers = decode_headers(in);
    call.request.body = in.body();
    return call;
}

void encode(const engine::answer& answer, v1::Reply& out)
{
    out.set_outcome(static_cast<std::uint32_t>(answer.result));
    out.set_reason(static_cast<std::uint32_t>(answer.reason));
    if (answer.result == engine::outcome::answered)
    {
        out.set_status(answer.response.status);
        encode_headers(answer.response.headers, out);
        out.set_body(answer.response.body);
    }
    out.set_credits_unspent(answer.credits_unspent);
    for (const auto& item : answer.levels)
    {
        auto* added = out.add_levels();
        added->set_service(item.service);
        added->set_level(item.level);
    }
    out.set_elsewhere_may_help(answer.elsewhere_may_help);
    out.set_retry_after_ms(
        static_cast<std::uint32_t>(milliseconds(answer.retry_after)));
    out.set_leaving(answer.leaving);
    out.set_in_flight(answer.load.in_flight);
    out.set_limit(answer.load.limit);
    out.set_slowness(answer.load.slowness);
}

std::optional<engine::answer> decode(const v1::Reply& in)
{
    const bool answered =
        in.outcome() == static_cast<std::uint32_t>(engine::outcome::answered);
    const bool status_out_of_range =
        in.status() < min_status || in.status() > max_status;
    if (in.outcome() > static_cast<std::uint32_t>(engine::outcome::rejected) ||
        in.reason() > static_cast<std::uint32_t>(engine::reason::last) ||
        (answered && status_out_of_range))
    {
        return std::nullopt;
    }
    engine::answer answer;
    answer.result = static_cast<engine::outcome>(in.outcome());
    answer.reason = static_cast<engine::reason>(in.reason());
    answer.response.status = in.status();
    answer.response.headers = decode_headers(in);
    answer.response.body = in.body();
    answer.credits_unspent = in.credits_unspent();
    for (const auto& item : in.levels())
    {
        answer.levels.push_back(
            {item.service(), std::min(item.level(), admit_all_level)});
    }
    answer.elsewhere_may_help = in.elsewhere_may_help();
    answer.retry_after = std::chrono::milliseconds(in.retry_after_ms());
    answer.leaving = in.leaving();
    answer.load = {in.in_flight(), in.limit(), valid_slowness(in.slowness())};
    return answer;
}

namespace
{

std::optional<double> valid_rate_limit(double value)
{
    return std::isfinite(value) && value >= 0 ? std::optional(value)
                                              : std::nullopt;
}

// An unknown cause, sent by a newer node, is charged like the retry of an
// attempt.
mesh::retry_cause decode_retry_cause(v1::RepeatCause wire_cause)
{
    switch (wire_cause)
    {
    case v1::REPEAT_CAUSE_NONE:
        return mesh::retry_cause::none;
    case v1::REPEAT_CAUSE_CALLER:
        return mesh::retry_cause::caller;
    default:
        return mesh::retry_cause::attempt;
    }
}

} // namespace

void encode(const mesh::routed_call& call, time_point now, v1::Call& out)
{
    out.set_id(call.id);
    out.set_request_id(call.request_id);
    out.set_instance(call.instance);
    out.set_service(call.service);
    out.set_caller_service(call.caller_service);
    out.set_route(call.route);
    out.set_organisation(call.organisation);
    out.set_remaining_us(remaining_us(call.deadline, now));
    out.set_shed_key(call.key);
    out.set_idempotent(call.idempotent);
    out.set_under_way(call.prioritized);
    out.set_client_request(call.client_request);
    out.set_repeat(static_cast<v1::RepeatCause>(call.retry));
    if (call.known_rate_limit)
    {
        out.set_known_rate_limit(*call.known_rate_limit);
    }
    out.set_method(call.request.method);
    out.set_target(call.request.target);
    encode_headers(call.request.headers, out);
    out.set_body(call.request.body);
}

std::optional<mesh::routed_call> decode_routed(const v1::Call& in,
                                               time_point now)
{
    if (in.shed_key() >= admit_all_level ||
        in.remaining_us() > max_remaining_us || in.target().empty() ||
        in.method().empty() || in.instance().empty())
    {
        return std::nullopt;
    }
    mesh::routed_call call;
    call.id = in.id();
    call.request_id = in.request_id();
    call.instance = in.instance();
    call.service = in.service();
    call.caller_service = in.caller_service();
    call.route = in.route();
    call.organisation = in.organisation();
    call.deadline = now + std::chrono::microseconds(in.remaining_us());
    call.key = in.shed_key();
    call.idempotent = in.idempotent();
    call.prioritized = in.under_way();
    call.client_request = in.client_request();
    call.retry = decode_retry_cause(in.repeat());
    if (in.has_known_rate_limit())
    {
        call.known_rate_limit = valid_rate_limit(in.known_rate_limit());
    }
    call.request.method = in.method();
    call.request.target = in.target();
    call.request.headers = decode_headers(in);
    call.request.body = in.body();
    return call;
}

void encode(const mesh::routed_reply& reply, v1::Reply& out)
{
    encode(reply.answer, out);
    if (reply.answer.reason == engine::reason::rate_limit)
    {
        // Nodes that do not know the reason drop the reply. Those that know it
        // restore it from the limit.
        out.set_reason(static_cast<std::uint32_t>(engine::reason::queue_full));
    }
    if (reply.answer.reason == engine::reason::quarantined)
    {
        out.set_reason(static_cast<std::uint32_t>(engine::reason::queue_full));
        out.set_quarantined(true);
    }
    out.set_backend_ended(reply.backend_ended);
    out.set_arrived(reply.reached_backend);
    if (reply.rate_limit)
    {
        out.set_rate_limit(*reply.rate_limit);
    }
    if (reply.leaving_incarnation)
    {
        out.set_leaving_incarnation(*reply.leaving_incarnation);
    }
    out.set_held_us(static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(
            reply.residence_time)
            .count()));
    for (const auto& item : reply.costs)
    {
        auto* added = out.add_costs();
        added->set_service(item.service);
        added->set_arrivals(static_cast<float>(item.arrivals));
        added->set_busy_seconds(static_cast<float>(item.slot_seconds));
    }
    for (const auto& item : reply.pressures)
    {
        auto* added = out.add_pressures();
        added->set_service(item.service);
        added->set_pressure(static_cast<float>(item.pressure));
    }
}

void remove_response(v1::Reply& reply)
{
    reply.set_outcome(static_cast<std::uint32_t>(engine::outcome::unknown));
    reply.set_reason(
        static_cast<std::uint32_t>(engine::reason::in_flight_bound));
    reply.clear_status();
    reply.clear_headers();
    reply.clear_body();
}

std::optional<mesh::routed_reply> decode_routed(const v1::Reply& in)
{
    auto answer = decode(in);
    if (!answer)
    {
        return std::nullopt;
    }
    mesh::routed_reply reply;
    reply.answer = *std::move(answer);
    reply.reached_backend = in.arrived();
    if (in.has_rate_limit())
    {
        reply.rate_limit = valid_rate_limit(in.rate_limit());
    }
    if (in.has_leaving_incarnation())
    {
        reply.leaving_incarnation = in.leaving_incarnation();
    }
    reply.backend_ended = in.backend_ended();
    if (in.quarantined())
    {
        reply.answer.reason = engine::reason::quarantined;
    }
    else if (reply.rate_limit &&
             reply.answer.reason == engine::reason::queue_full)
    {
        reply.answer.reason = engine::reason::rate_limit;
    }
    reply.residence_time =
        std::chrono::microseconds(std::min(in.held_us(), max_remaining_us));
    for (const auto& item : in.costs())
    {
        reply.costs.push_back(
            {item.service(), item.arrivals(), item.busy_seconds()});
    }
    for (const auto& item : in.pressures())
    {
        reply.pressures.push_back({item.service(), item.pressure()});
    }
    return reply;
}

void encode(topic topic_id, const versioned_delta& delta, v1::Delta& out)
{
    out.set_topic(topic_id == topic::contracts ? v1::TOPIC_CONTRACTS
                                               : v1::TOPIC_INSTANCES);
    encode_changes(delta, out);
}

versioned_delta decode(const v1::Delta& in)
{
    versioned_delta delta;
    delta.after = in.after();
    delta.revision = in.revision();
    delta.full = in.full();
    for (const auto& entry : in.entries())
    {
        delta.entries.push_back({entry.key(), entry.revision(), entry.value(),
                                 entry.removed(), entry.created()});
    }
    return delta;
}

void encode(const mesh::discovery_update& update, time_point now,
            v1::Delta& out)
{
    out.set_topic(v1::TOPIC_DISCOVERY);
    out.set_age_ms(static_cast<std::uint32_t>(milliseconds(update.age)));
    if (update.confirmed_at)
    {
        // Rounded so that the configuration never appears more recent.
        out.set_sent_at_us(static_cast<std::uint64_t>(
            std::chrono::floor<std::chrono::microseconds>(
                now.time_since_epoch())
                .count()));
        const auto age = std::chrono::ceil<std::chrono::milliseconds>(
            std::max(now - *update.confirmed_at, duration::zero()));
        out.set_confirmed_age_ms(static_cast<std::uint32_t>(
            std::min<long long>(age.count(), max_confirmed_age_ms)));
    }
    encode_changes(update.changes, out);
}

std::optional<mesh::discovery_update> decode_discovery(const v1::Delta& in)
{
    if (in.topic() != v1::TOPIC_DISCOVERY || in.full() ||
        in.after() > in.revision())
    {
        return std::nullopt;
    }
    return mesh::discovery_update{
        decode(in), std::chrono::milliseconds(in.age_ms()), std::nullopt};
}

std::optional<sent_confirmation> decode_confirmation(const v1::Delta& in)
{
    if (!in.has_confirmed_age_ms() || in.sent_at_us() == 0 ||
        in.sent_at_us() > max_clock_us)
    {
        return std::nullopt;
    }
    return sent_confirmation{std::chrono::microseconds(in.sent_at_us()),
                             std::chrono::milliseconds(in.confirmed_age_ms())};
}

void encode(const mesh::suspicion_report& report, v1::SuspicionReport& out)
{
    for (const auto& end : report.ends)
    {
        auto* added = out.add_ends();
        added->set_id(end.id);
        added->set_age_ms(clamped_ms(end.age));
        added->mutable_running()->Add(end.running.begin(), end.running.end());
    }
    for (const auto& item : report.completions)
    {
        auto* added = out.add_completions();
        added->set_request(item.request);
        added->set_age_ms(clamped_ms(item.age));
    }
}

std::optional<mesh::suspicion_report>
decode_suspicion(const v1::SuspicionReport& in)
{
    if (in.ends_size() > max_suspicion_entries ||
        in.completions_size() > max_suspicion_entries)
    {
        return std::nullopt;
    }
    mesh::suspicion_report report;
    for (const auto& end : in.ends())
    {
        if (end.running_size() > max_suspicion_entries)
        {
            return std::nullopt;
        }
        report.ends.push_back({end.id(),
                               std::chrono::milliseconds(end.age_ms()),
                               {end.running().begin(), end.running().end()}});
    }
    for (const auto& item : in.completions())
    {
        report.completions.push_back(
            {item.request(), std::chrono::milliseconds(item.age_ms())});
    }
    return report;
}

void encode(const mesh::allowance_request& request, v1::AllowanceRequest& out)
{
    out.set_sequence(request.sequence);
    for (const auto& item : request.demands)
    {
        auto* added = out.add_demands();
        added->set_organisation(item.organisation);
        added->set_wanted(static_cast<float>(item.wanted));
        added->set_held(static_cast<float>(item.held));
        added->set_offered_rate(static_cast<float>(item.offered_rate));
    }
}

std::optional<mesh::allowance_request> decode(const v1::AllowanceRequest& in)
{
    if (in.demands_size() > max_allowance_entries)
    {
        return std::nullopt;
    }
    mesh::allowance_request request;
    request.sequence = in.sequence();
    for (const auto& item : in.demands())
    {
        if (!is_allowance_number(item.wanted()) ||
            !is_allowance_number(item.held()) ||
            !is_allowance_number(item.offered_rate()))
        {
            return std::nullopt;
        }
        request.demands.push_back({item.organisation(), item.wanted(),
                                   item.held(), item.offered_rate()});
    }
    return request;
}

void encode(const mesh::allowance_grant& grant, v1::AllowanceGrant& out)
{
    out.set_sequence(grant.sequence);
    for (const auto& item : grant.shares)
    {
        auto* added = out.add_shares();
        added->set_organisation(item.organisation);
        added->set_tokens(static_cast<float>(item.tokens));
        const auto wait =
            std::chrono::ceil<std::chrono::milliseconds>(item.next_token);
        added->set_next_token_ms(clamped_ms(wait));
    }
}

std::optional<mesh::allowance_grant> decode(const v1::AllowanceGrant& in)
{
    if (in.shares_size() > max_allowance_entries)
    {
        return std::nullopt;
    }
    mesh::allowance_grant grant;
    grant.sequence = in.sequence();
    for (const auto& item : in.shares())
    {
        if (!is_allowance_number(item.tokens()) ||
            item.next_token_ms() > max_next_token_ms)
        {
            return std::nullopt;
        }
        grant.shares.push_back(
            {item.organisation(), item.tokens(),
             std::chrono::milliseconds(item.next_token_ms())});
    }
    return grant;
}

} // namespace jujubespan::peer
