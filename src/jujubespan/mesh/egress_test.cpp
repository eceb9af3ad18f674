// Tests of the egress: routing, refusals, retries and the outcome that each
// response reports.

#include "jujubespan/mesh/egress.hpp"

#include <gtest/gtest.h>

#include <map>

namespace jujubespan::mesh
{
namespace
{

using namespace std::chrono_literals;
using engine::outcome;
using engine::reason;

const time_point start{1000s};

class recording_clients final : public client_port
{
public:
    void respond(std::uint64_t exchange, const http_response& response) override
    {
        EXPECT_FALSE(responses.contains(exchange)) << "answered twice";
        responses[exchange] = response;
    }

    std::map<std::uint64_t, http_response> responses;
};

class recording_peers final : public routed_call_port
{
public:
    bool send_call(std::string_view peer, const routed_call& call,
                   time_point /*now*/) override
    {
        if (peer == unreachable_peer)
        {
            return false;
        }
        calls.push_back(call);
        return true;
    }

    void cancel(std::string_view /*peer*/, std::uint64_t call,
                time_point /*now*/) override
    {
        cancelled.push_back(call);
    }

    std::string unreachable_peer;
    std::vector<routed_call> calls;
    std::vector<std::uint64_t> cancelled;
};

route make_route(std::string name, std::string prefix, bool idempotent)
{
    route value;
    value.name = std::move(name);
    value.host = "shop.example";
    value.prefix = std::move(prefix);
    value.kind =
        idempotent ? request_kind::idempotent : request_kind::non_idempotent;
    value.timeout = 800ms;
    value.objective = 1s;
    value.max_attempts = 2;
    value.targets = {{"s", 1}};
    return value;
}

class egress_test : public ::testing::Test
{
protected:
    // Headers with the prefix of the default names never leave a node.
    static header_names make_names()
    {
        header_names names;
        names.key = "Key";
        names.organisation = "Organisation";
        return names;
    }

    explicit egress_test(std::optional<duration> max_configuration_age = {})
        : options{"own", "zone-a", make_names(), max_configuration_age}
    {
        for (const auto* id : {"a", "b", "c"})
        {
            instance item;
            item.id = id;
            item.service = "s";
            item.failure_domain = "zone-a";
            item.call_address = std::string("node-") + id;
            item.slots = 50;
            directory.put(item);
        }
    }

    void configure()
    {
        auto next = std::make_shared<configuration>();
        next->version = 1;
        next->routes = {make_route("read", "/read/", true),
                        make_route("pay", "/pay/", false)};
        target.apply(std::move(next));
        target.apply(directory, now);
    }

    // Requests to /read/ need a key, those to /pay/ do not.
    void configure_keys()
    {
        auto next = std::make_shared<configuration>();
        next->routes = {make_route("read", "/read/", true),
                        make_route("pay", "/pay/", false)};
        next->routes[1].anonymous = true;
        next->organisations.emplace().push_back(
            {"o", {"key"}, std::nullopt, {}});
        target.apply(std::move(next));
        target.apply(directory, now);
    }

    void request(std::uint64_t exchange, const std::string& path,
                 const std::string& id = "id-1",
                 const std::string& deadline = "5000")
    {
        http_request message;
        message.method = "GET";
        message.target = path;
        message.headers = {{"Host", "shop.example"},
                           {options.names.request_id, id},
                           {options.names.deadline, deadline}};
        if (id.find('.') == std::string::npos) // Calls of servers have no key.
        {
            message.headers.push_back({options.names.key, "key"});
        }
        target.on_request(exchange, std::move(message), now);
    }

    void reply(const engine::answer& answer, bool arrived = true)
    {
        routed_reply message;
        message.answer = answer;
        message.reached_backend = arrived;
        target.on_reply(peers.calls.back().id, message, now);
    }

    void reply_that_the_server_ended()
    {
        routed_reply message;
        message.answer = engine::make_unknown_outcome(reason::backend_failed);
        message.reached_backend = true;
        message.backend_ended = true;
        target.on_reply(peers.calls.back().id, message, now);
    }

    static engine::answer answered(unsigned status)
    {
        engine::answer answer;
        answer.response.status = status;
        answer.response.body = "body";
        return answer;
    }

    [[nodiscard]] unsigned status(std::uint64_t exchange = 1) const
    {
        const auto found = clients.responses.find(exchange);
        return found == clients.responses.end() ? 0 : found->second.status;
    }

    time_point now{start};
    mesh_state shared;
    recording_clients clients;
    recording_peers peers;
    instance_directory directory;
    egress_options options;
    egress target{options, shared, clients, peers, 1};
};

class egress_with_strict_revocation : public egress_test
{
protected:
    egress_with_strict_revocation() : egress_test(3500ms) {}
};

TEST_F(egress_test, without_configuration_requests_are_refused_as_not_run)
{
    request(1, "/read/1");
    EXPECT_EQ(status(), 503U);
    EXPECT_FALSE(
        find_header(clients.responses[1].headers, "Retry-After").empty());
}

// A node that is paused or cut off from the source may hold revoked keys.
TEST_F(egress_with_strict_revocation,
       keys_are_refused_while_the_configuration_is_old)
{
    configure_keys();
    request(1, "/read/1");
    EXPECT_EQ(status(1), 503U) << "never confirmed";
    target.confirm_configuration(now, now);
    now += 3500ms;
    request(2, "/read/1");
    EXPECT_EQ(peers.calls.size(), 1U);
    now += 1ms;
    request(3, "/read/1");
    EXPECT_EQ(status(3), 503U);
    const auto& headers = clients.responses[3].headers;
    EXPECT_EQ(find_header(headers, "Jujubespan-Reason"), "stale-configuration");
    EXPECT_LE(std::stod(std::string(find_header(headers, "Retry-After"))), 0.5);
    shared.running.add("parent", {});
    request(4, "/pay/1");
    request(5, "/read/1", "parent.1");
    EXPECT_EQ(peers.calls.size(), 3U) << "anonymous, and of the local server";
    target.confirm_configuration(now - 3s, now);
    target.confirm_configuration(now - 5s, now);
    request(6, "/read/1");
    EXPECT_EQ(peers.calls.size(), 4U);
}

// Without organisations, the age has no effect.
TEST_F(egress_with_strict_revocation, age_has_no_effect_without_organisations)
{
    configure();
    request(1, "/read/1");
    EXPECT_EQ(peers.calls.size(), 1U);
}

TEST_F(egress_test, unknown_route_is_rejected_as_not_found)
{
    configure();
    request(1, "/other/1");
    EXPECT_EQ(status(), 404U);
}

TEST_F(egress_test, call_carries_instance_caller_and_deadline)
{
    configure();
    request(1, "/read/1", "id-1", "300");
    ASSERT_EQ(peers.calls.size(), 1U);
    EXPECT_EQ(peers.calls[0].caller_service, "own");
    EXPECT_EQ(peers.calls[0].deadline, now + 300ms);
    EXPECT_FALSE(peers.calls[0].instance.empty());
    EXPECT_TRUE(
        find_header(peers.calls[0].request.headers, options.names.request_id)
            .empty())
        << "carried as a field of the call";
    reply(answered(200));
    EXPECT_EQ(status(), 200U);
    EXPECT_EQ(
        find_header(clients.responses[1].headers, options.names.request_id),
        "id-1");
}

TEST_F(egress_test, request_is_answered_at_its_routes_timeout)
{
    configure();
    request(1, "/pay/1");
    now += 799ms;
    target.on_tick(now);
    EXPECT_EQ(status(), 0U);
    now += 1ms;
    target.on_tick(now);
    EXPECT_EQ(status(), 504U);
    EXPECT_EQ(peers.cancelled.size(), 1U);
}

TEST_F(egress_test, late_reply_is_dropped)
{
    configure();
    request(1, "/read/1");
    now += 1s;
    target.on_tick(now);
    reply(answered(200));
    EXPECT_EQ(status(), 504U);
    EXPECT_EQ(shared.metrics.late_replies, 1U);
}

TEST_F(egress_test, resend_after_an_unreachable_node_needs_no_budget)
{
    configure();
    peers.unreachable_peer = "node-a";
    for (std::uint64_t i = 1; i <= 100; ++i)
    {
        request(i, "/pay/1", "id-" + std::to_string(i));
    }
    EXPECT_EQ(peers.calls.size(), 100U);
    EXPECT_EQ(shared.metrics.retries, 0U);
}

TEST_F(egress_test, refused_call_goes_to_another_instance)
{
    configure();
    request(1, "/pay/1");
    const auto first = peers.calls[0].instance;
    reply(engine::make_refusal(reason::queue_full, true), false);
    ASSERT_EQ(peers.calls.size(), 2U);
    EXPECT_NE(peers.calls[1].instance, first);
}

// An unknown outcome ends a request that is not idempotent: the first attempt
// may have run.
TEST_F(egress_test, lost_call_that_is_not_idempotent_is_not_retried)
{
    configure();
    request(1, "/pay/1");
    reply(engine::make_unknown_outcome(reason::backend_failed));
    EXPECT_EQ(peers.calls.size(), 1U);
    EXPECT_EQ(status(), 502U);
}

TEST_F(egress_test, lost_peer_leaves_the_outcome_unknown_without_idempotence)
{
    configure();
    request(1, "/pay/1");
    target.on_peer_lost("node-" + peers.calls[0].instance, now);
    EXPECT_EQ(status(), 502U);
}

// Two nodes of a service restart in turn while its third backend server drains.
// The restarted ones were shunned for seconds, and all requests refused.
TEST_F(egress_test, service_of_three_loses_two)
{
    configure();
    for (const auto* node : {"node-a", "node-b", "node-c"})
    {
        target.on_peer_seen(node, 1);
    }
    target.on_peer_stopping("node-a", now);
    target.on_peer_stopping("node-b", now);
    auto draining = *directory.find("c");
    draining.leaving = true;
    directory.put(draining);
    target.apply(directory, now);
    request(1, "/pay/1", "id-1");
    ASSERT_EQ(peers.calls.size(), 1U) << "stopping nodes still serve calls";
    EXPECT_NE(peers.calls[0].instance, "c");
    target.on_peer_seen("node-a", 2);
    for (std::uint64_t i = 2; i <= 20; ++i)
    {
        request(i, "/pay/1", "id-" + std::to_string(i));
        EXPECT_EQ(peers.calls.back().instance, "a");
    }
}

TEST_F(egress_test, idempotent_request_is_retried_once)
{
    configure();
    request(1, "/read/1");
    reply(engine::make_unknown_outcome(reason::backend_failed));
    ASSERT_EQ(peers.calls.size(), 2U);
    reply(engine::make_unknown_outcome(reason::backend_failed));
    EXPECT_EQ(peers.calls.size(), 2U) << "max_attempts of the route";
    EXPECT_EQ(status(), 502U);
}

// The first attempt may have run, so the refusal of the second must not report
// the request as not run.
TEST_F(egress_test, refusal_after_an_unknown_attempt_is_not_reported_as_not_run)
{
    configure();
    request(1, "/read/1");
    reply(engine::make_unknown_outcome(reason::backend_failed));
    ASSERT_EQ(peers.calls.size(), 2U);
    reply(engine::make_refusal(reason::backend_refused, true));
    EXPECT_EQ(status(), 502U);
}

TEST_F(egress_test, refusal_of_every_attempt_is_not_run)
{
    configure();
    request(1, "/pay/1");
    while (status() == 0)
    {
        reply(engine::make_refusal(reason::queue_full, true), false);
    }
    EXPECT_EQ(status(), 503U);
}

TEST_F(egress_test, retries_are_marked_for_the_guard)
{
    configure();
    request(1, "/read/1");
    EXPECT_EQ(peers.calls[0].retry, retry_cause::none);
    EXPECT_TRUE(peers.calls[0].client_request);
    reply(engine::make_unknown_outcome(reason::backend_failed));
    ASSERT_EQ(peers.calls.size(), 2U);
    EXPECT_EQ(peers.calls[1].retry, retry_cause::attempt);
}

TEST_F(egress_test, call_of_a_retried_request_is_a_retry)
{
    configure();
    shared.running.add("id-9", {0, now + 1s, {}, true});
    request(1, "/read/1", "id-9.1");
    EXPECT_EQ(peers.calls[0].retry, retry_cause::caller);
    EXPECT_FALSE(peers.calls[0].client_request);
}

// When most answers of a service are lost and its guards have no budget left,
// further retries only add load.
TEST_F(egress_test, service_without_budget_gets_no_retries)
{
    configure();
    for (std::uint64_t i = 1; i <= 50; ++i)
    {
        request(i, "/read/1", "id-" + std::to_string(i));
        reply(engine::make_unknown_outcome(reason::backend_failed));
        while (status(i) == 0)
        {
            reply(engine::make_refusal(reason::retry_budget, true), false);
        }
        EXPECT_EQ(status(i), 502U) << "the first attempt may have run";
    }
    EXPECT_LE(shared.metrics.retries, 2U);
}

TEST_F(egress_test, server_error_is_delivered_when_its_retry_is_refused)
{
    configure();
    request(1, "/read/1");
    reply(answered(500));
    while (status() == 0)
    {
        reply(engine::make_refusal(reason::retry_budget, true), false);
    }
    EXPECT_EQ(status(), 500U);
    EXPECT_EQ(clients.responses[1].body, "body");
}

TEST_F(egress_test, server_error_is_delivered_when_it_cannot_be_retried)
{
    configure();
    request(1, "/pay/1");
    reply(answered(500));
    EXPECT_EQ(status(), 500U);
    EXPECT_EQ(clients.responses[1].body, "body");
}

TEST_F(egress_test, call_of_a_disconnected_client_is_cancelled)
{
    configure();
    request(1, "/read/1");
    target.on_client_disconnected(1, now);
    EXPECT_EQ(peers.cancelled.size(), 1U);
    reply(answered(200));
    EXPECT_EQ(status(), 0U);
}

TEST_F(egress_test, call_of_a_running_request_inherits_its_priority)
{
    configure();
    shared.running.add("id-1", {7, now + 1s, {}});
    request(1, "/read/1", "id-1.x");
    EXPECT_EQ(peers.calls[0].key, 7U);
    EXPECT_TRUE(peers.calls[0].prioritized);
    routed_reply message;
    message.answer = answered(200);
    message.reached_backend = true;
    message.costs = {{"s", 1, 0.1}, {"deep", 4, 0.2}};
    target.on_reply(peers.calls[0].id, message, now);
    EXPECT_EQ(shared.running.remove("id-1").size(), 2U);
}

// Clients keep sending requests on open connections while the node stops.
TEST_F(egress_test,
       stopping_node_refuses_new_requests_and_completes_those_in_flight)
{
    configure();
    request(1, "/pay/1", "id-1");
    target.stop_admitting();
    request(2, "/pay/2", "id-2");
    EXPECT_EQ(status(2), 503U);
    reply(answered(200));
    EXPECT_EQ(status(1), 200U);
}

// Guards against an attempt being sent so late in a planned stop that its end
// cuts it.
TEST_F(egress_test, stopping_node_makes_no_late_attempt)
{
    configure();
    request(1, "/pay/1", "id-1");
    request(2, "/read/2", "id-2");
    target.stop_admitting();
    target.stop_attempts();
    target.on_reply(peers.calls[0].id,
                    {engine::make_refusal(reason::queue_full, true)}, now);
    EXPECT_EQ(status(1), 503U) << "has not run";
    routed_reply failed;
    failed.answer = engine::make_unknown_outcome(reason::backend_failed);
    failed.reached_backend = true;
    target.on_reply(peers.calls[1].id, failed, now);
    EXPECT_EQ(status(2), 502U) << "may have run";
    EXPECT_EQ(peers.calls.size(), 2U);
}

// A request with an objective of 300 ms misses it when it waits at a full
// guard behind the calls of longer requests of its class.
TEST_F(egress_test,
       request_with_a_short_objective_does_not_wait_for_longer_ones)
{
    auto next = std::make_shared<configuration>();
    next->version = 2;
    next->routes = {make_route("slow", "/slow/", true),
                    make_route("quick", "/quick/", true)};
    next->routes.push_back(make_route("any", "/any/", true));
    next->routes[1].objective = 300ms;
    next->routes[2].objective = 0ms; // None is set.
    target.apply(std::move(next));
    target.apply(directory, now);
    request(1, "/slow/1", "id-1");
    request(2, "/quick/1", "id-2");
    request(3, "/any/1", "id-3");
    EXPECT_FALSE(peers.calls[0].prioritized);
    EXPECT_TRUE(peers.calls[1].prioritized);
    EXPECT_FALSE(peers.calls[2].prioritized);
}

// Guards against retries and repetitions of a request that ends the servers
// which run it.
TEST_F(egress_test, quarantined_request_is_refused_at_the_entry)
{
    configure();
    request(1, "/read/1", "id-1");
    const auto fingerprint =
        fingerprint_of(options.service, peers.calls.back().request);
    for (std::uint64_t id = 1; id <= 3; ++id)
    {
        shared.suspects.merge({{{id, 0s, {fingerprint}}}, {}}, now);
    }
    const auto sent = peers.calls.size();
    request(2, "/read/1", "id-2");
    EXPECT_EQ(peers.calls.size(), sent);
    EXPECT_EQ(clients.responses.at(2).status, 503U);
    EXPECT_EQ(find_header(clients.responses.at(2).headers, "Jujubespan-Reason"),
              "quarantined");
    EXPECT_GE(std::stod(std::string(
                  find_header(clients.responses.at(2).headers, "Retry-After"))),
              600);
    request(3, "/read/2", "id-3");
    EXPECT_EQ(peers.calls.size(), sent + 1);
}

TEST_F(egress_test, request_under_which_two_servers_ended_is_not_sent_again)
{
    configure();
    request(1, "/read/1");
    const auto fingerprint =
        fingerprint_of(options.service, peers.calls.back().request);
    for (std::uint64_t id = 1; id <= 2; ++id)
    {
        shared.suspects.merge({{{id, 0s, {fingerprint}}}, {}}, now);
    }
    reply_that_the_server_ended();
    EXPECT_EQ(peers.calls.size(), 1U);
    EXPECT_EQ(clients.responses.at(1).status, 502U);
}

// An innocent request that ran beside another is worth a second attempt.
TEST_F(egress_test, request_under_which_one_server_ended_is_sent_again)
{
    configure();
    request(1, "/read/1");
    const auto ended_instance = peers.calls.back().instance;
    reply_that_the_server_ended();
    ASSERT_EQ(peers.calls.size(), 2U);
    // The server that ended gets no other requests either.
    for (std::uint64_t exchange = 10; exchange < 40; ++exchange)
    {
        request(exchange, "/read/2", "id-" + std::to_string(exchange));
        EXPECT_NE(peers.calls.back().instance, ended_instance);
    }
}

// Requests with keys. "big" and "small" hold one key each; "big" has a priority
// of its own. The route "open" needs no key.
class egress_organisations : public egress_test
{
protected:
    egress_organisations() { configure({big, small}); }

    void configure(std::vector<organisation> organisations)
    {
        auto next = std::make_shared<configuration>();
        next->version = ++version;
        next->routes = {make_route("read", "/read/", true),
                        make_route("open", "/open/", true),
                        make_route("urgent", "/urgent/", true)};
        next->routes[0].priority = 2;
        next->routes[1].anonymous = true;
        next->organisations = std::move(organisations);
        target.apply(std::move(next));
        target.apply(directory, now);
    }

    void send(std::uint64_t exchange, std::vector<http_header> headers,
              const std::string& path = "/read/1", const std::string& id = "")
    {
        headers.insert(headers.begin(),
                       {{"Host", "shop.example"},
                        {options.names.request_id,
                         id.empty() ? "id-" + std::to_string(exchange) : id}});
        target.on_request(exchange, {"GET", path, std::move(headers), ""}, now);
    }

    [[nodiscard]] http_header key(std::string value) const
    {
        return {options.names.key, std::move(value)};
    }

    // Neither the key nor a header of the organisation leaves the node.
    void expect_stripped(const routed_call& call) const
    {
        for (const auto& header : call.request.headers)
        {
            EXPECT_FALSE(same_header_name(header.name, options.names.key));
            EXPECT_FALSE(
                same_header_name(header.name, options.names.organisation));
        }
    }

    std::uint64_t version{0};
    organisation big{"big", {"key-of-big"}, 0, {}};
    organisation small{"small", {"key-of-small"}, {}, {}};
};

TEST_F(egress_organisations, request_without_a_known_key_does_not_run)
{
    std::uint64_t exchange = 0;
    const std::vector<std::vector<http_header>> cases{
        {},
        {key("")},
        {key("key-of-nobody")},
        {key("key-of-big"), key("key-of-big")},
        {key("key-of-big"), key("key-of-small")},
        {key("key-of-big "), key("")},
        {key(std::string(64U << 10U, 'k'))},
        {key(std::string("key-of-big\0", 11))},
        {key("key-of-big\r\nX: y\x7f")},
        {key("KEY-OF-BIG")},
        {{options.names.organisation, "big"}}};
    ::testing::internal::CaptureStdout();
    for (const auto& headers : cases)
    {
        send(++exchange, headers);
        EXPECT_EQ(status(exchange), 401U) << "case " << exchange;
    }
    const auto log_text = ::testing::internal::GetCapturedStdout();
    EXPECT_EQ(log_text.find("key-of"), std::string::npos) << log_text;
    EXPECT_EQ(log_text.find("kkkk"), std::string::npos) << log_text;
    EXPECT_TRUE(peers.calls.empty());
}

// A key of 257 bytes is refused even if the configuration lists it.
TEST_F(egress_organisations, key_of_more_than_256_bytes_is_unknown)
{
    configure(
        {{"long", {std::string(256, 'a'), std::string(257, 'a')}, {}, {}}});
    send(1, {key(std::string(256, 'a'))});
    EXPECT_EQ(peers.calls.size(), 1U);
    send(2, {key(std::string(257, 'a'))});
    EXPECT_EQ(status(2), 401U);
}

TEST_F(egress_organisations, anonymous_route_needs_no_key_and_removes_it)
{
    send(1, {}, "/open/1");
    send(2, {key("key-of-big"), {options.names.organisation, "big"}},
         "/open/1");
    send(3, {key("key-of-nobody")}, "/open/1");
    ASSERT_EQ(peers.calls.size(), 3U);
    for (const auto& call : peers.calls)
    {
        EXPECT_EQ(call.organisation, "");
        expect_stripped(call);
    }
}

// The stripped request is the one that a retry sends.
TEST_F(egress_organisations, key_and_forged_organisation_reach_no_attempt)
{
    send(1, {{"KEY", "key-of-small"},
             {options.names.organisation, "big"},
             {"organisation", "big"}});
    reply(engine::make_refusal(reason::queue_full, true), false);
    reply(answered(500));
    ASSERT_EQ(peers.calls.size(), 3U);
    for (const auto& call : peers.calls)
    {
        EXPECT_EQ(call.organisation, "small");
        expect_stripped(call);
    }
}

// The sender's name must not be read from a configuration that was replaced.
TEST_F(egress_organisations, request_in_progress_outlives_its_key)
{
    send(1, {key("key-of-small")});
    configure({big});
    reply(engine::make_refusal(reason::queue_full, true), false);
    ASSERT_EQ(peers.calls.size(), 2U);
    EXPECT_EQ(peers.calls[1].organisation, "small");
    reply(answered(200));
    EXPECT_EQ(status(1), 200U);
    send(2, {key("key-of-small")});
    EXPECT_EQ(status(2), 401U);
}

// Of requests of equal organisations, those on a route that matters less are
// refused first.
TEST_F(egress_organisations, priority_of_the_organisation_precedes_the_routes)
{
    const organisation ordinary{"ordinary", {"key-of-ordinary"}, 1U, {}};
    configure({big, small, ordinary});
    send(1, {key("key-of-big")}, "/urgent/1");
    send(2, {key("key-of-big")}); // on a route of priority 2
    send(3, {key("key-of-ordinary")}, "/urgent/1");
    send(4, {key("key-of-ordinary")});
    for (std::size_t i = 0; i < 4; ++i)
    {
        EXPECT_EQ(class_of(peers.calls.at(i).key), all_request_classes[i]);
    }
    send(5, {key("key-of-small")}); // has no priority of its own
    EXPECT_EQ(class_of(peers.calls.at(4).key), all_request_classes[2]);
}

TEST_F(egress_organisations,
       call_of_a_running_request_inherits_its_organisation)
{
    shared.running.add("id-7", {7, now + 1s, {}, false, "small"});
    send(1, {{options.names.organisation, "big"}}, "/read/1", "id-7.x");
    ASSERT_EQ(peers.calls.size(), 1U);
    EXPECT_EQ(peers.calls[0].organisation, "small");
    EXPECT_FALSE(peers.calls[0].client_request);
    expect_stripped(peers.calls[0]);
}

// A revoked key must not run under the id of a running request.
TEST_F(egress_organisations, id_of_a_running_request_does_not_replace_a_key)
{
    shared.running.add("id-7", {7, now + 1s, {}, false, "small"});
    send(1, {key("key-of-nobody")}, "/read/1", "id-7.x");
    EXPECT_EQ(status(1), 401U);
    send(2, {key("key-of-big")}, "/read/1", "id-7.y");
    ASSERT_EQ(peers.calls.size(), 1U);
    EXPECT_EQ(peers.calls[0].organisation, "big");
}

// The organisation must be passed to the admission control.
TEST_F(egress_organisations, heavy_organisation_is_refused_first)
{
    big.priority.reset(); // The same class as the other.
    configure({big, small});
    std::uint64_t exchange = 0;
    std::map<std::string, int> refused;
    for (const auto end = now + 10s; now < end; now += 10ms)
    {
        int admitted = 0;
        for (const auto* sender : {"small", "big", "big", "big", "big", "big"})
        {
            send(++exchange, {key(std::string("key-of-") + sender)});
            if (status(exchange) == 503U)
            {
                ++refused[sender];
                continue;
            }
            ++admitted;
            routed_reply message;
            message.answer = answered(200);
            message.costs = {{"s", 1, 0.1}};
            target.on_reply(peers.calls.back().id, message, now);
        }
        shared.admission.on_pressure("s", admitted / 3.0, now); // room for 3
        target.on_tick(now);
    }
    EXPECT_GT(refused["big"], 1000);
    EXPECT_LT(refused["small"], 10); // of 1,000
}

// Without organisations the headers mean nothing, but still stay at the entry.
TEST_F(egress_test, configuration_without_organisations_needs_no_key)
{
    configure();
    request(1, "/read/1");
    ASSERT_EQ(peers.calls.size(), 1U);
    EXPECT_EQ(peers.calls[0].organisation, "");
}

} // namespace
} // namespace jujubespan::mesh
