// Tests of the guard when the process of its backend server ends: who is
// suspected, what callers and other nodes are notified of, and what is held
// back.

#include "jujubespan/mesh/guard.hpp"

#include <gtest/gtest.h>

#include <map>

namespace jujubespan::mesh
{
namespace
{

using namespace std::chrono_literals;
using engine::backend_end;
using engine::backend_probe_result;
using engine::outcome;
using engine::reason;

const time_point start{1000s};

class probing_backend final : public engine::backend_port
{
public:
    void start(std::uint64_t call, const http_request& request) override
    {
        requests[call] = request;
    }
    void cancel(std::uint64_t /*call*/) override {}
    bool probe() override
    {
        ++probes;
        return true;
    }

    std::map<std::uint64_t, http_request> requests;
    int probes{0};
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

class recording_reports final : public suspicion_port
{
public:
    void send_report(const suspicion_report& report,
                     time_point /*now*/) override
    {
        reports.push_back(report);
    }

    std::vector<suspicion_report> reports;
};

class guard_suspicion_test : public ::testing::Test
{
protected:
    guard_suspicion_test()
    {
        target.set_suspicion_port(&reports);
        list_instance(false);
    }

    static guard_options options()
    {
        guard_options value;
        value.service = "s";
        value.backend_address = "10.0.0.1:8080";
        value.fleet_starting = true;
        return value;
    }

    void list_instance(bool leaving)
    {
        instance item;
        item.id = "i-1";
        item.service = "s";
        item.backend_address = "10.0.0.1:8080";
        item.slots = slots;
        item.leaving = leaving;
        directory.put(item);
        target.apply(directory, now);
    }

    static http_request make_request(const std::string& path)
    {
        return {"GET", path, {{"Host", "shop.example"}}, ""};
    }

    static request_fingerprint fingerprint(const std::string& path)
    {
        return fingerprint_of("caller", make_request(path));
    }

    std::uint64_t call(const std::string& path)
    {
        routed_call message;
        const auto exchange = ++last_exchange;
        message.id = exchange;
        message.request_id = "id-" + std::to_string(message.id);
        message.instance = "i-1";
        message.service = "s";
        message.caller_service = "caller";
        message.route = "r";
        message.deadline = now + 5s;
        message.request = make_request(path);
        target.on_call(exchange, std::move(message), now);
        return exchange;
    }

    void answer(std::uint64_t exchange, unsigned status = 200)
    {
        target.on_backend_exchange_end(
            exchange, backend_end::answered,
            {status, {{names.signature, "x"}}, "body"}, now);
    }

    void fail(std::uint64_t exchange)
    {
        target.on_backend_exchange_end(exchange, backend_end::failed, {}, now);
    }

    void probe_ends(backend_probe_result result)
    {
        now += 1ms;
        target.on_backend_probe_end(result, now);
    }

    // The process ends while it runs the requests of these calls.
    void end_server(const std::vector<std::uint64_t>& calls)
    {
        now += 50ms;
        for (const auto exchange : calls)
        {
            fail(exchange);
        }
        probe_ends(backend_probe_result::refused);
        now += 3s;
    }

    // Reports of other nodes.
    void end_elsewhere(std::uint64_t id, const std::string& path)
    {
        target.on_suspicion_report({{{id, 0s, {fingerprint(path)}}}, {}}, now);
    }

    [[nodiscard]] bool started(std::uint64_t exchange) const
    {
        return backend.requests.contains(exchange);
    }

    [[nodiscard]] const routed_reply& reply(std::uint64_t exchange)
    {
        return replies.replies.at(exchange);
    }

    static constexpr std::uint32_t slots = 3; // two of which are used

    time_point now{start};
    std::uint64_t last_exchange{0};
    header_names names;
    mesh_state shared;
    probing_backend backend;
    recording_replies replies;
    recording_reports reports;
    instance_directory directory;
    guard target{options(), shared, backend, replies, start};
};

TEST_F(guard_suspicion_test, caller_is_told_that_the_server_ended)
{
    const auto first = call("/1");
    const auto second = call("/2");
    now += 50ms;
    fail(first);
    fail(second);
    EXPECT_EQ(backend.probes, 1);
    EXPECT_TRUE(replies.replies.empty());
    probe_ends(backend_probe_result::refused);
    for (const auto exchange : {first, second})
    {
        EXPECT_TRUE(reply(exchange).backend_ended);
        EXPECT_TRUE(reply(exchange).reached_backend);
        EXPECT_EQ(reply(exchange).answer.result, outcome::unknown);
    }
    ASSERT_EQ(reports.reports.size(), 1U);
    ASSERT_EQ(reports.reports[0].ends.size(), 1U);
    EXPECT_EQ(reports.reports[0].ends[0].running.size(), 2U);
    EXPECT_EQ(shared.metrics.backend_ends, 1U);
}

TEST_F(guard_suspicion_test, server_that_only_failed_a_request_has_not_ended)
{
    for (const auto result :
         {backend_probe_result::accepted, backend_probe_result::unknown})
    {
        const auto exchange = call("/1");
        fail(exchange);
        probe_ends(result);
        EXPECT_FALSE(reply(exchange).backend_ended);
        EXPECT_EQ(reply(exchange).answer.result, outcome::unknown);
    }
    EXPECT_TRUE(reports.reports.empty());
    EXPECT_TRUE(shared.suspects.empty());
}

TEST_F(guard_suspicion_test, reply_does_not_wait_for_an_overdue_probe)
{
    const auto exchange = call("/1");
    fail(exchange);
    now += 100ms;
    target.on_tick(now);
    EXPECT_FALSE(reply(exchange).backend_ended);
}

TEST_F(guard_suspicion_test, planned_end_raises_no_suspicion)
{
    const auto exchange = call("/1");
    list_instance(true);
    fail(exchange);
    probe_ends(backend_probe_result::refused);
    EXPECT_TRUE(reply(exchange).backend_ended);
    EXPECT_TRUE(shared.suspects.empty());
}

// Popular requests are often in progress beside the one that ends the server.
TEST_F(guard_suspicion_test, recently_completed_request_is_not_suspected)
{
    answer(call("/popular"));
    end_server({call("/popular"), call("/poison")});
    ASSERT_EQ(reports.reports.size(), 1U);
    EXPECT_EQ(reports.reports[0].ends[0].running,
              std::vector{fingerprint("/poison")});
}

// Guards against a request that has begun to end servers being trusted for
// what it did long before.
TEST_F(guard_suspicion_test, request_completed_long_ago_is_suspected)
{
    answer(call("/popular"));
    for (int i = 0; i < 2; ++i)
    {
        now += 5s;
        target.on_tick(now);
    }
    end_server({call("/popular")});
    ASSERT_EQ(reports.reports.size(), 1U);
    EXPECT_EQ(reports.reports[0].ends[0].running,
              std::vector{fingerprint("/popular")});
}

TEST_F(guard_suspicion_test, request_cancelled_just_before_the_end_is_suspected)
{
    const auto cancelled = call("/cancelled");
    const auto other = call("/other");
    target.on_cancelled(cancelled, now);
    end_server({other});
    EXPECT_EQ(reports.reports.at(0).ends[0].running.size(), 2U);
}

TEST_F(guard_suspicion_test, end_before_the_first_response_counts_as_another)
{
    for (int i = 0; i < 3; ++i)
    {
        end_server({call("/poison")});
    }
    EXPECT_EQ(backend.probes, 3);
    const auto refused = call("/poison");
    EXPECT_FALSE(started(refused));
    EXPECT_EQ(reply(refused).answer.reason, reason::quarantined);
}

TEST_F(guard_suspicion_test, quarantined_call_is_refused_as_not_run)
{
    for (std::uint64_t id = 1; id <= 3; ++id)
    {
        end_elsewhere(id, "/poison");
    }
    const auto refused = call("/poison");
    EXPECT_FALSE(started(refused));
    EXPECT_EQ(reply(refused).answer.result, outcome::not_run);
    EXPECT_EQ(reply(refused).answer.reason, reason::quarantined);
    EXPECT_FALSE(reply(refused).answer.elsewhere_may_help);
    EXPECT_EQ(reply(refused).answer.retry_after, 10min);
    EXPECT_TRUE(started(call("/other")));
}

TEST_F(guard_suspicion_test, queued_call_does_not_start_once_it_is_quarantined)
{
    const auto first = call("/1");
    const auto second = call("/2");
    const auto queued = call("/poison");
    EXPECT_FALSE(started(queued));
    for (std::uint64_t id = 1; id <= 3; ++id)
    {
        end_elsewhere(id, "/poison");
    }
    answer(first);
    answer(second);
    EXPECT_FALSE(started(queued));
    EXPECT_EQ(reply(queued).answer.result, outcome::not_run);
    EXPECT_TRUE(started(call("/3")));
    EXPECT_TRUE(started(call("/4"))); // No slot is lost.
}

// Several clients may send the request that ends servers at the same time.
TEST_F(guard_suspicion_test, suspected_request_runs_once_at_a_time)
{
    end_elsewhere(1, "/poison");
    const auto first = call("/poison");
    EXPECT_TRUE(started(first));
    const auto second = call("/poison");
    EXPECT_FALSE(started(second));
    EXPECT_EQ(reply(second).answer.result, outcome::not_run);
    EXPECT_TRUE(started(call("/other")));
    target.on_cancelled(first, now);
    EXPECT_TRUE(started(call("/poison")));
}

TEST_F(guard_suspicion_test, requests_with_two_ends_run_one_at_a_time)
{
    for (const auto* path : {"/1", "/2"})
    {
        end_elsewhere(fingerprint(path), path);
        end_elsewhere(fingerprint(path) + 1, path);
    }
    EXPECT_FALSE(started(call("/1"))); // Held at first.
    now += 2s;
    const auto first = call("/1");
    EXPECT_TRUE(started(first));
    EXPECT_FALSE(started(call("/2")));
    EXPECT_TRUE(started(call("/other")));
    answer(first);
    EXPECT_TRUE(started(call("/2")));
}

TEST_F(guard_suspicion_test, completed_suspect_is_reported)
{
    end_server({call("/1"), call("/2")});
    answer(call("/1"), 500); // Shows nothing: a call of it may have failed.
    target.on_tick(now);
    const auto sent = reports.reports.size();
    answer(call("/2"));
    for (int i = 0; i < 20; ++i)
    {
        target.on_tick(now);
        now += 20ms;
    }
    ASSERT_EQ(reports.reports.size(), sent + 1);
    ASSERT_EQ(reports.reports.back().completions.size(), 1U);
    EXPECT_EQ(reports.reports.back().completions[0].age, 200ms);
    EXPECT_EQ(reports.reports.back().completions[0].request, fingerprint("/2"));
}

// A report may be lost with the connection to a node.
TEST_F(guard_suspicion_test, end_is_reported_three_times)
{
    const auto exchange = call("/1");
    fail(exchange);
    probe_ends(backend_probe_result::refused);
    const auto ended_at = now;
    for (; now < ended_at + 10s; now += 20ms)
    {
        target.on_tick(now);
    }
    ASSERT_EQ(reports.reports.size(), 3U);
    EXPECT_EQ(reports.reports[0].ends[0].age, 0s);
    EXPECT_EQ(reports.reports[1].ends[0].age, 1s);
    EXPECT_EQ(reports.reports[2].ends[0].age, 4s);
    EXPECT_EQ(reports.reports[2].ends[0].id, reports.reports[0].ends[0].id);
}

} // namespace
} // namespace jujubespan::mesh
