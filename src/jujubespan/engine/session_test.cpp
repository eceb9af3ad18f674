// Compares the requests, calls and answers of whole sessions with golden files.
//
// JUJUBESPAN_RENEW_GOLDEN=1 regenerates the files from the actual output.

#include "jujubespan/engine/testing.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace jujubespan::engine
{
namespace
{

using namespace testing;
using namespace std::chrono_literals;

constexpr auto contract_text = R"({
  "customer": "acme", "requests_per_second": 1000, "retry_credits": 2,
  "methods": [
    {"service": "shop", "method": "GET", "path": "/faces/*",
     "class": "sheddable", "idempotent": true, "deadline_ms": 1000},
    {"service": "shop", "method": "POST", "path": "/purchases",
     "class": "critical", "idempotent": false, "deadline_ms": 3000},
    {"service": "stock", "method": "GET", "path": "/items/*",
     "class": "normal", "idempotent": true, "deadline_ms": 800},
    {"service": "stock", "method": "POST", "path": "/orders",
     "class": "critical", "idempotent": false, "entry": false,
     "deadline_ms": 2000}
  ]})";

// Sets up one node of service shop with two upstream instances of service
// stock.
class session : public ::testing::Test
{
protected:
    session()
        : backend(lines), peers(lines), callers("caller", lines),
          outbound("outbound", lines), from_peer("peer-reply", lines),
          now(time_point(1000s)),
          node(make_settings("shop-1", "shop"), 1, 1, backend, peers, now)
    {
        const std::vector<instance> list{make_instance("shop-1", "shop"),
                                         make_instance("stock-1", "stock"),
                                         make_instance("stock-2", "stock")};
        node.apply_contracts(make_table(contract_text));
        node.apply_instances(list, now);
        advance(1500ms); // A new instance gets no share of a rate at once.
        lines.clear();
    }

    void advance(duration length)
    {
        const auto end = now + length;
        while (now < end)
        {
            now += 10ms;
            node.customers().on_contact(now);
            node.on_tick(now);
        }
        lines.push_back(fmt::format("{} ms pass", milliseconds(length)));
    }

    void add_line(const std::string& text) { lines.push_back(text); }

    void caller_sends(http_request request)
    {
        add_line(fmt::format("caller {} -> {} {}", next_caller, request.method,
                             request.target));
        request.headers.push_back(
            {"X-Request-Id", fmt::format("r{}", next_caller)});
        node.on_caller_request({&callers, next_caller++}, std::move(request),
                               now);
    }

    void backend_calls(const std::string& method, const std::string& target,
                       const std::string& key = {})
    {
        add_line(
            fmt::format("outbound {} -> {} {}", next_outbound, method, target));
        http_request request{method, target, {{"Host", "stock"}}, "sub"};
        request.headers.push_back({"Jujubespan-Token", backend.tokens.back()});
        if (!key.empty())
        {
            request.headers.push_back({"Idempotency-Key", key});
        }
        node.on_outbound_request({&outbound, next_outbound++},
                                 std::move(request), now);
    }

    void backend_answers(std::size_t index, unsigned status,
                         const std::string& body)
    {
        add_line(fmt::format("backend answers {} \"{}\"", status, body));
        node.on_backend_exchange_end(backend.calls[index],
                                     backend_end::answered, {status, {}, body},
                                     now);
    }

    void backend_ends(std::size_t index, backend_end end,
                      const std::string& text)
    {
        add_line("backend " + text);
        node.on_backend_exchange_end(backend.calls[index], end, {}, now);
    }

    void peer_replies(std::size_t index, answer answer, const std::string& text)
    {
        const auto sent = peers.sent[index];
        add_line(fmt::format("peer {} replies {}", sent.peer, text));
        node.on_peer_reply(sent.peer, sent.id, std::move(answer), now);
    }

    static answer answered(const std::string& body)
    {
        answer backend_answer;
        backend_answer.response = {200, {}, body};
        return backend_answer;
    }

    void compare_with_golden(const std::string& name)
    {
        const std::string path = std::string(JUJUBESPAN_SOURCE_DIR) +
                                 "/src/jujubespan/engine/golden/" + name +
                                 ".txt";
        std::string actual;
        for (const auto& line : lines)
        {
            actual += line + "\n";
        }
        if (std::getenv("JUJUBESPAN_RENEW_GOLDEN") != nullptr)
        {
            std::ofstream(path) << actual;
        }
        std::ifstream stream(path);
        ASSERT_TRUE(stream) << path;
        std::ostringstream expected;
        expected << stream.rdbuf();
        EXPECT_EQ(expected.str(), actual);
    }

    std::vector<std::string> lines;
    recording_backend backend;
    recording_peers peers;
    recording_replies callers;
    recording_replies outbound;
    recording_replies from_peer;
    time_point now;
    call_engine node;
    std::uint64_t next_caller{1};
    std::uint64_t next_outbound{1};
};

TEST_F(session, answered_through_two_services)
{
    caller_sends(make_request("GET", "/faces/7?size=2"));
    backend_calls("GET", "/items/7");
    advance(20ms);
    peer_replies(0, answered("item"), "200");
    backend_answers(0, 200, "face");
    compare_with_golden("answered_through_two_services");
}

TEST_F(session, retry_after_explicit_refusal)
{
    caller_sends(make_request("POST", "/purchases", "p"));
    backend_calls("POST", "/orders", "1");
    peer_replies(0, make_refusal(reason::leaving, true), "not run, leaving");
    peer_replies(1, answered("order"), "200");
    backend_calls("POST", "/orders", "1");
    backend_answers(0, 200, "bought");
    compare_with_golden("retry_after_explicit_refusal");
}

TEST_F(session, no_second_attempt_of_a_lost_order)
{
    caller_sends(make_request("POST", "/purchases", "p"));
    backend_calls("POST", "/orders");
    add_line("connection to the peer is lost");
    node.on_peer_lost(peers.sent[0].peer, now);
    peer_replies(0, answered("late"), "200, late");
    backend_answers(0, 500, "no order");
    compare_with_golden("no_second_attempt_of_a_lost_order");
}

TEST_F(session, lost_lookup_is_tried_elsewhere)
{
    caller_sends(make_request("GET", "/faces/7"));
    backend_calls("GET", "/items/7");
    add_line("connection to the peer is lost");
    node.on_peer_lost(peers.sent[0].peer, now);
    peer_replies(0, answered("first"), "200, late");
    peer_replies(1, answered("second"), "200");
    backend_answers(0, 200, "face");
    compare_with_golden("lost_lookup_is_tried_elsewhere");
}

TEST_F(session, ticket_joins_stores_and_tells_mismatch)
{
    caller_sends(make_request("GET", "/faces/7"));
    backend_answers(0, 200, "face");
    const std::string ticket = callers.answers.back().next_ticket;
    auto request = make_request("POST", "/purchases", "p");
    request.headers.push_back({"Idempotency-Key", ticket});
    caller_sends(request);
    caller_sends(request);
    backend_answers(1, 200, "bought");
    caller_sends(request);
    auto other = request;
    other.body = "q";
    caller_sends(other);
    auto forged = request;
    forged.headers.back().value.back() ^= 1;
    caller_sends(forged);
    auto gone = request;
    gone.headers.back().value = "shop-1~99~1~00";
    caller_sends(gone);
    auto elsewhere = request;
    elsewhere.headers.back().value = "shop-9~1~1~00";
    caller_sends(elsewhere);
    compare_with_golden("ticket_joins_stores_and_tells_mismatch");
}

TEST_F(session, deadline_cancels_everything_below)
{
    caller_sends(make_request("GET", "/faces/7"));
    backend_calls("GET", "/items/7");
    advance(1100ms);
    peer_replies(0, answered("late"), "200, late");
    backend_answers(0, 200, "late");
    compare_with_golden("deadline_cancels_everything_below");
}

TEST_F(session, caller_gone_cancels_reads_but_not_purchases)
{
    caller_sends(make_request("GET", "/faces/7"));
    backend_calls("GET", "/items/7");
    add_line("caller 1 is gone");
    node.on_origin_disconnected({&callers, 1}, now);
    caller_sends(make_request("POST", "/purchases", "p"));
    add_line("caller 2 is gone");
    node.on_origin_disconnected({&callers, 2}, now);
    backend_answers(1, 200, "bought");
    add_line(node.is_idle() ? "idle" : "busy");
    compare_with_golden("caller_gone_cancels_reads_but_not_purchases");
}

TEST_F(session, backend_server_that_closes_after_reading)
{
    caller_sends(make_request("POST", "/purchases", "p"));
    backend_ends(0, backend_end::failed, "closes after reading");
    caller_sends(make_request("POST", "/purchases", "p2"));
    backend_ends(1, backend_end::unreachable, "cannot be reached");
    compare_with_golden("backend_server_that_closes_after_reading");
}

TEST_F(session, wrong_requests)
{
    caller_sends({"GET", "/faces/7", {{"Jujubespan-Customer", "who"}}, ""});
    caller_sends({"GET", "/faces/7", {}, ""});
    caller_sends(make_request("GET", "/nothing"));
    caller_sends(make_request("DELETE", "/faces/7"));
    auto keyed = make_request("POST", "/purchases", "p");
    keyed.headers.push_back({"Idempotency-Key", "a-uuid"});
    caller_sends(keyed);
    auto malformed = make_request("GET", "/faces/7");
    malformed.headers.push_back({"Jujubespan-Deadline-Ms", "soon"});
    caller_sends(malformed);
    caller_sends(make_request("GET", "/faces/7"));
    backend_calls("POST", "/orders");
    backend_calls("GET", "/unknown");
    compare_with_golden("wrong_requests");
}

TEST_F(session, leaving_forwards_once_and_refuses_peers)
{
    caller_sends(make_request("POST", "/purchases", "in flight"));
    node.begin_drain();
    add_line("the node is leaving");
    caller_sends(make_request("GET", "/faces/7"));
    peer_call call;
    call.service = "shop";
    call.request = make_request("GET", "/faces/7");
    call.context.customer = "acme";
    call.context.deadline = now + 1s;
    call.forwarded = true;
    add_line("peer -> GET /faces/7, forwarded");
    node.on_peer_call({&from_peer, 1}, call, now);
    backend_answers(0, 200, "bought");
    add_line(node.is_idle() ? "idle" : "busy");
    compare_with_golden("leaving_forwards_once_and_refuses_peers");
}

TEST_F(session, loops_and_depth)
{
    peer_call call;
    call.service = "shop";
    call.request = make_request("GET", "/faces/7");
    call.context.customer = "acme";
    call.context.idempotent = true;
    call.context.deadline = now + 1s;
    call.context.depth = 25;
    add_line("peer -> GET /faces/7 at depth 25");
    node.on_peer_call({&from_peer, 1}, call, now);
    backend_calls("GET", "/items/7");
    call.context.depth = 1;
    add_line("peer -> GET /faces/7");
    node.on_peer_call({&from_peer, 2}, call, now);
    backend_calls("GET", "/items/7");
    // The path already contains the same call, as when a service calls itself.
    call.context.path = {hash_call("stock", {"GET", "/items/7", {}, "sub"})};
    add_line("peer -> GET /faces/7, below a call of GET /items/7");
    node.on_peer_call({&from_peer, 3}, call, now);
    backend_calls("GET", "/items/7");
    compare_with_golden("loops_and_depth");
}

TEST_F(session, pause_expires_what_was_learned)
{
    caller_sends(make_request("GET", "/faces/7"));
    add_line("the process is stopped for 5 s");
    now += 5s;
    caller_sends(make_request("GET", "/faces/8"));
    node.customers().on_contact(now);
    advance(1500ms);
    caller_sends(make_request("GET", "/faces/9"));
    EXPECT_EQ(node.metrics().pauses, 1U);
    compare_with_golden("pause_expires_what_was_learned");
}

TEST_F(session, stray_headers_of_the_backend_server_are_removed)
{
    caller_sends(make_request("GET", "/faces/7"));
    node.on_backend_exchange_end(backend.calls[0], backend_end::answered,
                                 {503,
                                  {{"jujubespan-outcome", "not-run"},
                                   {"Transfer-Encoding", "chunked"},
                                   {"X-Kept", "1"}},
                                  "busy"},
                                 now);
    const auto response = to_http_response(callers.answers.back(), "r1");
    EXPECT_EQ(find_header(response.headers, headers::outcome), "answered");
    EXPECT_EQ(find_header(response.headers, "X-Kept"), "1");
    EXPECT_EQ(find_header(response.headers, "Transfer-Encoding"), "");
}

} // namespace
} // namespace jujubespan::engine
