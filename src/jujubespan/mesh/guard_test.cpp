// Tests of the guard: which calls reach the backend server and which outcome
// follows from its response.

#include "jujubespan/mesh/guard.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace jujubespan::mesh
{
namespace
{

using namespace std::chrono_literals;
using engine::backend_end;
using engine::outcome;
using engine::reason;

const time_point start{1000s};

class recording_backend final : public engine::backend_port
{
public:
    void start(std::uint64_t call, const http_request& request) override
    {
        requests[call] = request;
    }
    void cancel(std::uint64_t call) override { cancelled.push_back(call); }

    std::map<std::uint64_t, http_request> requests;
    std::vector<std::uint64_t> cancelled;
};

class recording_replies final : public routed_reply_port
{
public:
    void send_reply(std::uint64_t exchange, const routed_reply& reply) override
    {
        EXPECT_FALSE(replies.contains(exchange)) << "answered twice";
        replies[exchange] = reply;
    }

    std::map<std::uint64_t, routed_reply> replies;
};

class guard_test : public ::testing::Test
{
protected:
    guard_test()
    {
        names.server_load = options().names.server_load;
        list_instance(false);
        target.apply(directory, now);
    }

    guard_options options() const
    {
        guard_options value;
        value.memory = memory;
        value.service = "s";
        value.backend_address = "10.0.0.1:8080";
        value.retry_budget = {0.2, 10, 10s};
        value.fleet_starting = true;
        value.max_body_bytes = 2500;
        // Headers with the prefix of the nodes' own are not passed on.
        value.names.server_load = "Server-Load";
        return value;
    }

    void list_instance(bool leaving)
    {
        instance item;
        item.id = "i-1";
        item.service = "s";
        item.backend_address = "10.0.0.1:8080";
        item.slots = 3;
        item.leaving = leaving;
        directory.put(item);
    }

    void call(std::uint64_t exchange, shed_key key = 0,
              bool prioritized = false, duration remaining_time = 1s,
              retry_cause retry = retry_cause::none,
              bool client_request = false)
    {
        routed_call message;
        message.id = exchange;
        message.request_id = "id-" + std::to_string(exchange);
        message.instance = "i-1";
        message.service = "s";
        message.caller_service = "caller";
        message.route = "r";
        message.deadline = now + remaining_time;
        message.key = key;
        message.prioritized = prioritized;
        message.retry = retry;
        message.client_request = client_request;
        message.request.method = "GET";
        message.request.target = "/r/1";
        message.request.body = body;
        message.organisation = organisation;
        message.request.headers = {{names.caller_service, "forged"},
                                   {names.organisation, "forged"},
                                   {names.key, "secret"}};
        target.on_call(exchange, std::move(message), now);
    }

    void answer(std::uint64_t exchange, unsigned status,
                std::vector<http_header> headers)
    {
        target.on_backend_exchange_end(exchange, backend_end::answered,
                                       {status, std::move(headers), "body"},
                                       now);
    }

    // Offers 60 retries and answers those that reach the backend server.
    std::size_t count_retries_that_run(std::uint64_t first)
    {
        constexpr std::uint64_t retries = 60;
        const auto before = backend.requests.size();
        for (std::uint64_t i = first; i < first + retries; ++i)
        {
            call(i, 0, false, 1s, retry_cause::attempt);
            if (backend.requests.contains(i))
            {
                answer(i, 200, {{names.signature, "x"}});
            }
        }
        return backend.requests.size() - before;
    }

    [[nodiscard]] const engine::answer& reply(std::uint64_t exchange)
    {
        return replies.replies[exchange].answer;
    }

    time_point now{start};
    std::string body;         // of the requests of further calls
    std::string organisation; // of further calls
    header_names names;
    std::shared_ptr<memory_account> memory{
        std::make_shared<memory_account>(1U << 20U)};
    mesh_state shared;
    recording_backend backend;
    recording_replies replies;
    instance_directory directory;
    guard target{options(), shared, backend, replies, start};
};

TEST_F(guard_test, request_carries_instance_caller_and_remaining_time)
{
    call(1, 0, false, 700ms);
    const auto& headers = backend.requests.at(1).headers;
    EXPECT_EQ(find_header(headers, names.expected_instance), "i-1");
    EXPECT_EQ(find_header(headers, names.caller_service), "caller");
    EXPECT_EQ(find_header(headers, names.deadline), "700");
    EXPECT_EQ(find_header(headers, names.request_id), "id-1");
}

// A node of an earlier version may have forwarded a client's headers.
TEST_F(guard_test, backend_server_gets_the_organisation_and_no_key)
{
    target.set_keys_required(true);
    organisation = "big";
    call(1);
    organisation.clear();
    call(2);
    const auto count = [this](std::uint64_t exchange, const std::string& name)
    {
        const auto& headers = backend.requests.at(exchange).headers;
        return std::count_if(headers.begin(), headers.end(),
                             [&name](const http_header& header)
                             { return same_header_name(header.name, name); });
    };
    EXPECT_EQ(find_header(backend.requests.at(1).headers, names.organisation),
              "big");
    EXPECT_EQ(count(1, names.organisation), 1);
    EXPECT_EQ(count(2, names.organisation), 0);
    EXPECT_EQ(count(1, names.key) + count(2, names.key), 0);
    EXPECT_EQ(shared.running.find_parent("id-1.x")->organisation, "big");
    EXPECT_EQ(shared.running.find_parent("id-2.x")->organisation, "");
}

// Without organisations the headers may have a meaning for the servers.
TEST_F(guard_test, key_headers_are_forwarded_where_no_keys_are_required)
{
    call(1);
    const auto& headers = backend.requests.at(1).headers;
    EXPECT_FALSE(find_header(headers, names.key).empty());
    EXPECT_EQ(find_header(headers, names.organisation), "forged");
}

TEST_F(guard_test, signed_response_is_forwarded)
{
    call(1);
    answer(1, 200, {{names.signature, "x"}});
    EXPECT_EQ(reply(1).result, outcome::answered);
    EXPECT_EQ(reply(1).response.body, "body");
}

TEST_F(guard_test, success_without_signature_is_an_unknown_outcome)
{
    call(1);
    answer(1, 200, {});
    EXPECT_EQ(reply(1).result, outcome::unknown);
}

TEST_F(guard_test, encoded_body_is_an_unknown_outcome)
{
    call(1);
    answer(1, 200, {{names.signature, "x"}, {"Content-Encoding", "gzip"}});
    EXPECT_EQ(reply(1).result, outcome::unknown);
}

TEST_F(guard_test, overload_status_alone_does_not_prove_that_nothing_ran)
{
    call(1);
    answer(1, 503, {});
    EXPECT_EQ(reply(1).result, outcome::unknown);
    call(2);
    answer(2, 503, {{names.not_run, "1"}});
    EXPECT_EQ(reply(2).result, outcome::not_run);
}

TEST_F(guard_test, another_backend_server_at_the_address_did_not_run_it)
{
    call(1);
    answer(1, 421, {});
    EXPECT_EQ(reply(1).result, outcome::not_run);
    EXPECT_EQ(reply(1).reason, reason::wrong_instance);
}

TEST_F(guard_test, connection_that_never_opened_is_not_run)
{
    call(1);
    target.on_backend_exchange_end(1, backend_end::unreachable, {}, now);
    EXPECT_EQ(reply(1).result, outcome::not_run);
    EXPECT_FALSE(replies.replies[1].reached_backend);
}

TEST_F(guard_test, lost_connection_leaves_the_outcome_unknown)
{
    call(1);
    target.on_backend_exchange_end(1, backend_end::failed, {}, now);
    EXPECT_EQ(reply(1).result, outcome::unknown);
}

TEST_F(guard_test, leaving_backend_server_gets_no_new_calls)
{
    list_instance(true);
    target.apply(directory, now);
    call(1);
    EXPECT_TRUE(backend.requests.empty());
    EXPECT_EQ(reply(1).reason, reason::leaving);
    EXPECT_TRUE(reply(1).elsewhere_may_help);
}

TEST_F(guard_test, removed_backend_server_gets_no_new_calls)
{
    directory.remove("i-1", now);
    call(1);
    EXPECT_TRUE(backend.requests.empty());
}

TEST_F(guard_test, calls_beyond_the_slots_are_queued_by_priority)
{
    call(1);
    call(2); // 0.95 of three slots, rounded down, is two
    call(3, 3000);
    call(4, 10);
    EXPECT_EQ(backend.requests.size(), 2U);
    answer(1, 200, {{names.signature, "x"}});
    EXPECT_TRUE(backend.requests.contains(4));
    EXPECT_FALSE(backend.requests.contains(3));
}

TEST_F(guard_test, call_whose_deadline_passes_in_the_queue_is_not_run)
{
    call(1);
    call(2);
    call(3, 0, false, 50ms);
    now += 60ms;
    target.on_tick(now);
    EXPECT_EQ(reply(3).result, outcome::not_run);
    EXPECT_FALSE(backend.requests.contains(3));
}

TEST_F(guard_test, call_whose_deadline_passes_while_running_is_cancelled)
{
    call(1, 0, false, 50ms);
    now += 60ms;
    target.on_tick(now);
    EXPECT_EQ(reply(1).result, outcome::unknown);
    EXPECT_EQ(backend.cancelled, std::vector<std::uint64_t>{1});
}

TEST_F(guard_test, cancelled_call_frees_its_slot)
{
    call(1);
    call(2);
    call(3);
    target.on_cancelled(1, now);
    EXPECT_EQ(backend.cancelled, std::vector<std::uint64_t>{1});
    EXPECT_TRUE(backend.requests.contains(3));
    EXPECT_FALSE(replies.replies.contains(1));
}

// Waiting calls were counted by the size of their bodies only, and each guard,
// client and connection had a limit of its own.
TEST_F(guard_test, calls_beyond_the_memory_of_the_process_are_refused)
{
    const auto before = memory->used();
    for (std::uint64_t i = 1; i <= 3; ++i) // The last one waits for a slot.
    {
        call(i);
    }
    EXPECT_TRUE(backend.requests.contains(1));
    EXPECT_GT(memory->used(), before);
    memory_charge others(*memory);
    others.set(memory->limit());
    call(4);
    EXPECT_EQ(reply(4).result, outcome::not_run);
    EXPECT_EQ(reply(4).reason, reason::in_flight_bound);
    others.set(0);
    answer(1, 200, {{names.signature, "x"}});
    EXPECT_TRUE(backend.requests.contains(3));
    EXPECT_EQ(memory->used(), before);
}

// A queue of hundreds of uploads would not fit into the memory of the node.
TEST_F(guard_test, bodies_beyond_the_limit_are_refused_as_not_run)
{
    body = std::string(1000, 'x');
    call(1);
    call(2);
    call(3);
    EXPECT_EQ(reply(3).result, outcome::not_run);
    EXPECT_EQ(reply(3).reason, reason::in_flight_bound);
    EXPECT_TRUE(reply(3).elsewhere_may_help);
    EXPECT_FALSE(backend.requests.contains(3));
    EXPECT_EQ(backend.requests.at(1).body, body);
    target.on_cancelled(1, now);
    answer(2, 200, {{names.signature, "x"}});
    EXPECT_EQ(target.body_bytes(), 0U);
    call(4);
    EXPECT_TRUE(backend.requests.contains(4));
}

TEST_F(guard_test, replies_say_that_the_node_is_stopping)
{
    target.begin_drain();
    call(1);
    answer(1, 200, {{names.signature, "x"}});
    EXPECT_TRUE(reply(1).leaving);
    EXPECT_EQ(reply(1).result, outcome::answered) << "still served";
}

TEST_F(guard_test, stopping_node_admits_no_new_calls)
{
    call(1);
    target.stop_admitting();
    call(2);
    EXPECT_EQ(reply(2).result, outcome::not_run);
    answer(1, 200, {{names.signature, "x"}});
    EXPECT_EQ(reply(1).result, outcome::answered);
}

// Guards against a queued call being started so late in a planned stop that its
// end cuts it.
TEST_F(guard_test, stopping_node_returns_calls_that_have_not_started)
{
    call(1);
    call(2);
    call(3);
    ASSERT_EQ(replies.replies.size(), 0U) << "two running, one queued";
    target.stop_admitting();
    target.stop_starting(now);
    EXPECT_EQ(reply(3).result, outcome::not_run);
    EXPECT_TRUE(reply(3).elsewhere_may_help);
    answer(1, 200, {{names.signature, "x"}});
    EXPECT_EQ(reply(1).result, outcome::answered);
    EXPECT_FALSE(backend.requests.contains(3));
}

TEST_F(guard_test, reply_carries_the_slowness_and_the_header)
{
    call(1);
    answer(1, 200, {{names.signature, "x"}, {names.server_load, "1,0,3,250"}});
    EXPECT_EQ(reply(1).load.slowness, 2.5F);
    EXPECT_EQ(reply(1).load.limit, 2U) << "not divided";
    EXPECT_EQ(find_header(reply(1).response.headers, names.server_load),
              "1,0,3,250");
    now += 1s;
    EXPECT_EQ(target.load(now).slowness, 0);
    EXPECT_EQ(shared.metrics.ignored_load_headers, 0U);
}

// Guards against changes for servers that send an earlier form or no header.
TEST_F(guard_test, header_without_a_factor_changes_nothing)
{
    call(1);
    answer(1, 200, {{names.signature, "x"}, {names.server_load, "1,0,3"}});
    EXPECT_EQ(reply(1).load.slowness, 0);
    EXPECT_EQ(shared.metrics.ignored_load_headers, 0U);
}

// Guards against a faulty header that makes a server appear fast, or that
// costs the response.
TEST_F(guard_test, faulty_load_header_is_counted)
{
    call(1);
    answer(1, 200, {{names.signature, "x"}, {names.server_load, "1,0,3,-5"}});
    EXPECT_EQ(reply(1).result, outcome::answered);
    EXPECT_EQ(reply(1).load.slowness, 0);
    EXPECT_EQ(shared.metrics.ignored_load_headers, 1U);
}

TEST_F(guard_test, load_header_of_another_server_is_not_read)
{
    call(1);
    answer(1, 421, {{names.server_load, "1,0,3,250"}});
    EXPECT_EQ(reply(1).load.slowness, 0);
}

// Guards against calls that wait at a slow server while others are idle.
TEST_F(guard_test, queued_calls_that_would_start_late_are_returned)
{
    const auto run = [&](std::uint64_t id, const std::string& percent)
    {
        now += 100ms;
        answer(
            id, 200,
            {{names.signature, "x"}, {names.server_load, "1,0,3," + percent}});
    };
    for (std::uint64_t id = 1; id <= 30; ++id)
    {
        call(id);
        run(id, "100");
    }
    for (std::uint64_t id = 31; id <= 42; ++id)
    {
        call(id);
    }
    run(31, "100");
    EXPECT_EQ(replies.replies.size(), 31U) << "none returned at usual speed";
    run(32, "300"); // Two slots, 300 ms a call: one starts within 100 ms.
    EXPECT_EQ(reply(42).result, outcome::not_run);
    EXPECT_EQ(reply(42).reason, reason::queue_full);
    EXPECT_TRUE(reply(42).elsewhere_may_help);
    EXPECT_FALSE(backend.requests.contains(42));
    EXPECT_EQ(target.in_flight(), 3U) << "two running, one queued";
}

// Callers that lose answers retry every call.
TEST_F(guard_test, retries_beyond_the_budget_are_refused_as_not_run)
{
    constexpr std::uint64_t calls = 40;
    for (std::uint64_t i = 1; i <= calls; ++i)
    {
        call(i, 0, false, 1s, retry_cause::attempt);
        if (backend.requests.contains(i))
        {
            answer(i, 200, {{names.signature, "x"}});
        }
    }
    EXPECT_LE(backend.requests.size(), 10U);
    EXPECT_GE(backend.requests.size(), 5U);
    EXPECT_EQ(reply(calls).result, outcome::not_run);
    EXPECT_EQ(reply(calls).reason, reason::retry_budget);
    call(calls + 1);
    EXPECT_TRUE(backend.requests.contains(calls + 1)) << "not a retry";
}

// A request that an overloaded guard refuses is sent to other guards. If each
// of them counted it, the service would allow more retries than its budget.
TEST_F(guard_test, refused_client_requests_add_no_retry_budget)
{
    constexpr std::uint64_t offered = 400;
    for (std::uint64_t i = 1; i <= offered; ++i)
    {
        call(i, 0, false, 1s, retry_cause::none, true);
    }
    EXPECT_EQ(reply(offered).reason, reason::queue_full);
    for (std::uint64_t i = 1; i <= offered; ++i)
    {
        target.on_cancelled(i, now);
    }
    const auto ran = backend.requests.size();
    const auto retries = count_retries_that_run(offered + 1);
    EXPECT_LE(static_cast<double>(retries),
              10 + 0.2 * static_cast<double>(ran));
}

// Guards against calls of a retried request that are not charged, since the
// guard has cancelled its exchange and the backend server goes on with it.
TEST_F(guard_test, calls_of_a_cancelled_request_still_count_as_its_calls)
{
    call(1, 7, false, 800ms, retry_cause::attempt);
    target.on_cancelled(1, now);
    const auto* parent = shared.running.find_parent("id-1.a");
    ASSERT_NE(parent, nullptr);
    EXPECT_TRUE(parent->is_retry);
    now += 700ms;
    target.on_tick(now);
    EXPECT_NE(shared.running.find_parent("id-1.b"), nullptr);
    now += 200ms;
    target.on_tick(now);
    EXPECT_EQ(shared.running.find_parent("id-1.c"), nullptr)
        << "the deadline has passed";
}

// The same when the connection to the backend server fails.
TEST_F(guard_test, calls_of_a_request_without_a_response_count_as_its_calls)
{
    call(1);
    target.on_backend_exchange_end(1, backend_end::failed, {}, now);
    target.on_backend_probe_end(engine::backend_probe_result::accepted, now);
    ASSERT_TRUE(replies.replies.contains(1));
    EXPECT_NE(shared.running.find_parent("id-1.a"), nullptr);
    call(2);
    answer(2, 200, {{names.signature, "x"}});
    EXPECT_EQ(shared.running.find_parent("id-2.a"), nullptr);
}

// Guards against a request that fails to connect earning budget at each guard
// that tries to start it.
TEST_F(guard_test, client_requests_that_fail_to_connect_add_no_retry_budget)
{
    constexpr std::uint64_t requests = 200;
    for (std::uint64_t i = 1; i <= requests; ++i)
    {
        now += 10ms;
        call(i, 0, false, 1s, retry_cause::none, true);
        target.on_backend_exchange_end(i, engine::backend_end::unreachable, {},
                                       now);
    }
    EXPECT_LE(count_retries_that_run(requests + 1), 10U) << "only the slack";
}

TEST_F(guard_test, client_requests_that_run_add_retry_budget)
{
    constexpr std::uint64_t requests = 200;
    for (std::uint64_t i = 1; i <= requests; ++i)
    {
        now += 10ms;
        call(i, 0, false, 1s, retry_cause::none, true);
        answer(i, 200, {{names.signature, "x"}});
    }
    const auto retries = count_retries_that_run(requests + 1);
    EXPECT_GE(retries, 30U);
    EXPECT_LE(retries, 50U);
}

} // namespace
} // namespace jujubespan::mesh
