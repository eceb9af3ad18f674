#include "jujubespan/peer/codec.hpp"

#include "jujubespan/peer/peer.pb.h"

#include <algorithm>

namespace jujubespan::peer
{

namespace
{

constexpr std::uint64_t max_remaining_us = 600'000'000;
constexpr unsigned min_status = 100;
constexpr unsigned max_status = 999;

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

std::uint64_t remaining_us(time_point deadline, time_point now)
{
    const auto remaining =
        std::chrono::duration_cast<std::chrono::microseconds>(deadline - now);
    return static_cast<std::uint64_t>(
        std::max<long long>(remaining.count(), 0));
}

} // namespace

void encode(const engine::peer_call& value, time_point now, v1::Call& out)
{
    const auto& context = value.context;
    out.set_id(value.id);
    out.set_request_id(context.request_id);
    out.set_customer(context.customer);
    out.set_request_class(static_cast<std::uint32_t>(context.cls));
    out.set_remaining_us(remaining_us(context.deadline, now));
    out.set_credits(context.credits);
    out.set_depth(context.depth);
    out.set_idempotent(context.idempotent);
    out.set_shed_key(context.key);
    out.set_ticket(context.ticket);
    out.set_service(value.service);
    out.set_method(value.request.method);
    out.set_target(value.request.target);
    encode_headers(value.request.headers, out);
    out.set_body(value.request.body);
    out.set_forwarded(value.forwarded);
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
    engine::peer_call value;
    value.id = in.id();
    value.service = in.service();
    value.forwarded = in.forwarded();
    auto& context = value.context;
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
    value.request.method = in.method();
    value.request.target = in.target();
    value.request.headers = decode_headers(in);
    value.request.body = in.body();
    return value;
}

void encode(const engine::answer& value, v1::Reply& out)
{
    out.set_outcome(static_cast<std::uint32_t>(value.result));
    out.set_reason(static_cast<std::uint32_t>(value.reason));
    if (value.result == engine::outcome::answered)
    {
        out.set_status(value.response.status);
        encode_headers(value.response.headers, out);
        out.set_body(value.response.body);
    }
    out.set_credits_unspent(value.credits_unspent);
    for (const auto& item : value.levels)
    {
        auto* added = out.add_levels();
        added->set_service(item.service);
        added->set_level(item.level);
    }
    out.set_elsewhere_may_help(value.elsewhere_may_help);
    out.set_retry_after_ms(
        static_cast<std::uint32_t>(milliseconds(value.retry_after)));
    out.set_leaving(value.leaving);
    out.set_in_flight(value.load.in_flight);
    out.set_limit(value.load.limit);
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
    engine::answer value;
    value.result = static_cast<engine::outcome>(in.outcome());
    value.reason = static_cast<engine::reason>(in.reason());
    value.response.status = in.status();
    value.response.headers = decode_headers(in);
    value.response.body = in.body();
    value.credits_unspent = in.credits_unspent();
    for (const auto& item : in.levels())
    {
        value.levels.push_back(
            {item.service(), std::min(item.level(), admit_all_level)});
    }
    value.elsewhere_may_help = in.elsewhere_may_help();
    value.retry_after = std::chrono::milliseconds(in.retry_after_ms());
    value.leaving = in.leaving();
    value.load = {in.in_flight(), in.limit()};
    return value;
}

namespace
{

// An unknown cause, sent by a newer node, is charged like the retry of an
// attempt.
mesh::retry_cause decode_retry_cause(v1::RepeatCause value)
{
    switch (value)
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

void encode(const mesh::routed_call& value, time_point now, v1::Call& out)
{
    out.set_id(value.id);
    out.set_request_id(value.request_id);
    out.set_instance(value.instance);
    out.set_service(value.service);
    out.set_caller_service(value.caller_service);
    out.set_route(value.route);
    out.set_remaining_us(remaining_us(value.deadline, now));
    out.set_shed_key(value.key);
    out.set_idempotent(value.idempotent);
    out.set_under_way(value.prioritized);
    out.set_client_request(value.client_request);
    out.set_repeat(static_cast<v1::RepeatCause>(value.retry));
    out.set_method(value.request.method);
    out.set_target(value.request.target);
    encode_headers(value.request.headers, out);
    out.set_body(value.request.body);
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
    mesh::routed_call value;
    value.id = in.id();
    value.request_id = in.request_id();
    value.instance = in.instance();
    value.service = in.service();
    value.caller_service = in.caller_service();
    value.route = in.route();
    value.deadline = now + std::chrono::microseconds(in.remaining_us());
    value.key = in.shed_key();
    value.idempotent = in.idempotent();
    value.prioritized = in.under_way();
    value.client_request = in.client_request();
    value.retry = decode_retry_cause(in.repeat());
    value.request.method = in.method();
    value.request.target = in.target();
    value.request.headers = decode_headers(in);
    value.request.body = in.body();
    return value;
}

void encode(const mesh::routed_reply& value, v1::Reply& out)
{
    encode(value.value, out);
    out.set_arrived(value.reached_backend);
    out.set_held_us(static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(
            value.residence_time)
            .count()));
    for (const auto& item : value.costs)
    {
        auto* added = out.add_costs();
        added->set_service(item.service);
        added->set_arrivals(static_cast<float>(item.arrivals));
        added->set_busy_seconds(static_cast<float>(item.slot_seconds));
    }
    for (const auto& item : value.pressures)
    {
        auto* added = out.add_pressures();
        added->set_service(item.service);
        added->set_pressure(static_cast<float>(item.pressure));
    }
}

std::optional<mesh::routed_reply> decode_routed(const v1::Reply& in)
{
    auto answer = decode(in);
    if (!answer)
    {
        return std::nullopt;
    }
    mesh::routed_reply value;
    value.value = *std::move(answer);
    value.reached_backend = in.arrived();
    value.residence_time = std::chrono::microseconds(in.held_us());
    for (const auto& item : in.costs())
    {
        value.costs.push_back(
            {item.service(), item.arrivals(), item.busy_seconds()});
    }
    for (const auto& item : in.pressures())
    {
        value.pressures.push_back({item.service(), item.pressure()});
    }
    return value;
}

void encode(topic which, const versioned_delta& value, v1::Delta& out)
{
    out.set_topic(which == topic::contracts ? v1::TOPIC_CONTRACTS
                                            : v1::TOPIC_INSTANCES);
    out.set_after(value.after);
    out.set_revision(value.revision);
    out.set_full(value.full);
    for (const auto& entry : value.entries)
    {
        auto* added = out.add_entries();
        added->set_key(entry.key);
        added->set_revision(entry.revision);
        added->set_value(entry.value);
        added->set_removed(entry.removed);
    }
}

versioned_delta decode(const v1::Delta& in)
{
    versioned_delta value;
    value.after = in.after();
    value.revision = in.revision();
    value.full = in.full();
    for (const auto& entry : in.entries())
    {
        value.entries.push_back(
            {entry.key(), entry.revision(), entry.value(), entry.removed()});
    }
    return value;
}

} // namespace jujubespan::peer
