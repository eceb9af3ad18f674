// Tests of two nodes connected by real sockets: a client of one node calls the
// backend server beside the other.

#include "jujubespan/node/mesh_loop.hpp"

#include "jujubespan/http/client.hpp"
#include "jujubespan/http/testing.hpp"
#include "jujubespan/node/process.hpp"

#include <gtest/gtest.h>

#include <QHostAddress>
#include <QTcpSocket>
#include <QTimer>

#include <algorithm>
#include <atomic>
#include <map>
#include <optional>

namespace jujubespan::node
{
namespace
{

using testing::free_endpoint;
using testing::wait_for;

// Responds to every request after `response_delay`, or never if `unresponsive`
// is set. Its process ends on a request for `crashing_target`.
class fake_backend final : public http::request_handler
{
public:
    explicit fake_backend(const config::endpoint& address)
        : listen_address(address)
    {
        start();
    }

    void start()
    {
        server.emplace(config::resource_limits{}, *this);
        EXPECT_TRUE(server->listen(listen_address).ok());
    }

    void on_request(std::uint64_t exchange, http_request request) override
    {
        requests.push_back(request);
        if (request.target == crashing_target)
        {
            // Not destroyed within its own callback.
            QTimer::singleShot(0, [this] { server.reset(); });
            return;
        }
        if (unresponsive)
        {
            return;
        }
        if (response_delay == std::chrono::milliseconds::zero())
        {
            server->respond(exchange, response);
            return;
        }
        QTimer::singleShot(response_delay, &context_object,
                           [this, exchange]
                           { server->respond(exchange, response); });
    }
    void on_client_disconnected(std::uint64_t /*exchange*/) override
    {
        ++disconnect_count;
    }

    std::vector<http_request> requests;
    http_response response{
        200, {{mesh::header_names{}.signature, "signed"}}, "body"};
    bool unresponsive{false};
    std::chrono::milliseconds response_delay{0};
    std::string crashing_target;
    int disconnect_count{0};
    config::endpoint listen_address;
    std::optional<http::server> server; // empty after its end
    QObject context_object;             // of the delayed responses
};

class recording_client final : public http::response_handler
{
public:
    explicit recording_client(const config::endpoint& node)
        : client(node, http::message_limits{}, 4, *this)
    {
    }

    void on_exchange_end(std::uint64_t exchange, http::exchange_result result,
                         http_response response) override
    {
        results[exchange] = {result, std::move(response)};
    }

    // Status code of the response to an exchange; zero until it arrives.
    [[nodiscard]] unsigned status(std::uint64_t exchange) const
    {
        const auto found = results.find(exchange);
        return found == results.end() ? 0 : found->second.second.status;
    }

    std::map<std::uint64_t, std::pair<http::exchange_result, http_response>>
        results;
    http::client client;
};

config::mesh_settings
make_settings(const std::string& service,
              duration stop_grace = config::mesh_settings{}.stop_grace)
{
    config::mesh_settings settings;
    settings.stop_grace = stop_grace;
    settings.id = service;
    settings.service = service;
    settings.failure_domain = "zone";
    settings.client_address = free_endpoint();
    settings.readiness_address = free_endpoint();
    settings.call_address = free_endpoint();
    settings.backend_address = free_endpoint();
    settings.first_start = true;
    return settings;
}

instance make_instance(const config::mesh_settings& node)
{
    instance result;
    result.id = "i-" + node.service;
    result.service = node.service;
    result.failure_domain = node.failure_domain;
    result.call_address = config::to_string(node.call_address);
    result.backend_address = config::to_string(node.backend_address);
    result.slots = 10;
    result.incarnation = 1;
    return result;
}

class two_nodes : public ::testing::Test
{
protected:
    explicit two_nodes(duration stop_grace = config::mesh_settings{}.stop_grace)
        : caller_settings{make_settings("front", stop_grace)},
          callee_settings{make_settings("deep", stop_grace)}
    {
        list->put(make_instance(caller_settings));
        list->put(make_instance(callee_settings));
        routes->version = 1;
        mesh::route callee_route;
        callee_route.name = "to-deep";
        callee_route.host = "shop.example";
        callee_route.prefix = "/deep/";
        callee_route.timeout = std::chrono::milliseconds(1500);
        callee_route.targets = {{"deep", 1}};
        routes->routes = {callee_route};
        for (auto* node : {&caller_node, &callee_node})
        {
            publish_to(*node);
        }
    }

    void publish_to(traffic_thread<mesh_loop>& node)
    {
        EXPECT_TRUE(node.status().ok()) << node.status();
        auto& loop = node.loop();
        loop.run_and_wait(
            [&]
            {
                loop.apply_configuration(routes);
                loop.apply_instances(list);
            });
    }

    static std::size_t quarantined_count(traffic_thread<mesh_loop>& node)
    {
        std::size_t count = 0;
        auto& loop = node.loop();
        loop.run_and_wait([&]
                          { count = loop.make_report().quarantined_requests; });
        return count;
    }

    static http_request request(const std::string& id)
    {
        return {"GET",
                "/deep/1?q=2",
                {{"Host", "shop.example"},
                 {mesh::header_names{}.request_id, id},
                 {mesh::header_names{}.deadline, "3000"}},
                ""};
    }

    std::unique_ptr<mesh_loop> make_loop(const config::mesh_settings& settings)
    {
        return std::make_unique<mesh_loop>(settings, mesh::header_names{},
                                           ++incarnation, context);
    }

    std::shared_ptr<mesh::instance_directory> list{
        std::make_shared<mesh::instance_directory>()};
    std::shared_ptr<mesh::configuration> routes{
        std::make_shared<mesh::configuration>()};
    zmq::context_t context{1};
    std::uint64_t incarnation{0};
    config::mesh_settings caller_settings;
    config::mesh_settings callee_settings;
    fake_backend backend{callee_settings.backend_address};
    traffic_thread<mesh_loop> caller_node{
        [this] { return make_loop(caller_settings); }};
    traffic_thread<mesh_loop> callee_node{
        [this] { return make_loop(callee_settings); }};
    recording_client client{caller_settings.client_address};
};

TEST_F(two_nodes, request_and_response_are_forwarded_unchanged)
{
    client.client.start(1, request("id-1"));
    ASSERT_TRUE(wait_for([&] { return client.status(1) != 0; }));
    EXPECT_EQ(client.status(1), 200U);
    EXPECT_EQ(client.results[1].second.body, "body");
    ASSERT_EQ(backend.requests.size(), 1U);
    const auto& seen = backend.requests[0];
    const mesh::header_names names;
    EXPECT_EQ(seen.target, "/deep/1?q=2");
    EXPECT_EQ(find_header(seen.headers, names.request_id), "id-1");
    EXPECT_EQ(find_header(seen.headers, names.caller_service), "front");
    EXPECT_EQ(find_header(seen.headers, names.expected_instance), "i-deep");
}

TEST_F(two_nodes, client_disconnect_cancels_the_request_at_the_backend_server)
{
    backend.unresponsive = true;
    client.client.start(1, request("id-1"));
    ASSERT_TRUE(wait_for([&] { return backend.requests.size() == 1; }));
    client.client.cancel(1);
    EXPECT_TRUE(wait_for([&] { return backend.disconnect_count == 1; }, 500));
}

TEST_F(two_nodes, unresponsive_backend_server_yields_504_at_the_timeout)
{
    backend.unresponsive = true;
    client.client.start(1, request("id-1"));
    ASSERT_TRUE(wait_for([&] { return client.status(1) != 0; }, 2500));
    EXPECT_EQ(client.status(1), 504U);
}

class recording_updates final : public mesh::discovery_update_handler
{
public:
    void on_update(std::string_view peer,
                   const mesh::discovery_update& update) override
    {
        sender = peer;
        last = update;
        confirmed = update.confirmed_at.has_value();
        ++update_count;
    }
    void on_revision_seen(std::uint64_t seen) override { revision = seen; }

    std::string sender;
    mesh::discovery_update last;
    std::atomic<int> update_count{0};
    std::atomic<bool> confirmed{false};
    std::atomic<std::uint64_t> revision{0};
};

TEST_F(two_nodes, discovery_update_reaches_the_other_node)
{
    recording_updates received;
    auto& callee = callee_node.loop();
    callee.run_and_wait([&] { callee.set_update_handler(&received); });
    mesh::discovery_update update;
    update.changes = {
        5, 7, false, {{"a", 6, "value", false, 3}, {"b", 7, "", true, 0}}};
    update.age = std::chrono::milliseconds(250);
    const auto confirmed_at = boot_clock::now() - std::chrono::seconds(2);
    update.confirmed_at = confirmed_at;
    auto& caller = caller_node.loop();
    caller.run_and_wait(
        [&]
        {
            const std::vector<std::string> peers{
                config::to_string(callee_settings.call_address)};
            caller.send_update(peers, update);
        });
    EXPECT_TRUE(wait_for([&] { return received.update_count == 1; }));
    EXPECT_FALSE(received.last.confirmed_at) << "the transit time is not known";
    EXPECT_TRUE(wait_for(
        [&]
        {
            caller.run_and_wait(
                [&]
                {
                    caller.send_update(std::vector{config::to_string(
                                           callee_settings.call_address)},
                                       update);
                });
            return received.confirmed.load();
        }));
    callee.run_and_wait([&] { callee.set_update_handler(nullptr); });
    EXPECT_LE(*received.last.confirmed_at, confirmed_at);
    EXPECT_GT(*received.last.confirmed_at,
              confirmed_at - std::chrono::milliseconds(500));
    EXPECT_EQ(received.sender, config::to_string(caller_settings.call_address));
    EXPECT_EQ(received.last.changes.after, 5U);
    EXPECT_EQ(received.last.changes.revision, 7U);
    EXPECT_EQ(received.last.changes.entries, update.changes.entries);
    EXPECT_EQ(received.last.age, update.age);
}

// A node that misses a change learns so from any call.
TEST_F(two_nodes, call_carries_the_discovery_revision_of_its_sender)
{
    recording_updates received;
    auto& callee = callee_node.loop();
    auto& caller = caller_node.loop();
    callee.run_and_wait([&] { callee.set_update_handler(&received); });
    caller.run_and_wait([&] { caller.set_discovery_revision(42); });
    client.client.start(1, request("id-1"));
    EXPECT_TRUE(wait_for([&] { return client.status(1) == 200; }));
    EXPECT_EQ(received.revision, 42U);
    callee.run_and_wait([&] { callee.set_update_handler(nullptr); });
}

TEST_F(two_nodes, draining_node_fails_readiness_and_still_serves_requests)
{
    recording_client readiness_client(caller_settings.readiness_address);
    readiness_client.client.start(1, {"GET", "/ready", {}, ""});
    ASSERT_TRUE(wait_for([&] { return readiness_client.status(1) != 0; }));
    EXPECT_EQ(readiness_client.status(1), 200U);

    std::atomic<bool> drained{false};
    auto& loop = caller_node.loop();
    loop.run_and_wait([&] { loop.begin_drain([&] { drained = true; }); });
    readiness_client.client.start(2, {"GET", "/ready", {}, ""});
    client.client.start(1, request("id-1"));
    ASSERT_TRUE(wait_for(
        [&]
        { return readiness_client.status(2) != 0 && client.status(1) != 0; }));
    EXPECT_EQ(readiness_client.status(2), 503U);
    EXPECT_EQ(client.status(1), 200U);
    EXPECT_EQ(find_header(client.results[1].second.headers, "Connection"),
              "close");
    EXPECT_TRUE(wait_for([&] { return drained.load(); }));
}

// Guards against the last replies of a stopping node being dropped, because the
// thread that sends them ends with the process.
TEST_F(two_nodes, draining_node_ends_some_time_after_its_last_reply)
{
    using clock = std::chrono::steady_clock;
    backend.unresponsive = true;
    std::atomic<bool> drained{false};
    auto& loop = callee_node.loop();
    loop.run_and_wait([&] { loop.begin_drain([&] { drained = true; }); });
    wait_for([] { return false; }, 2500);
    client.client.start(1, request("id-1"));
    ASSERT_TRUE(wait_for([&] { return backend.requests.size() == 1; }));
    wait_for([] { return false; }, 700);
    EXPECT_FALSE(drained);
    backend.server->respond(1, backend.response);
    ASSERT_TRUE(wait_for([&] { return client.status(1) == 200; }));
    const auto answered_at = clock::now();
    EXPECT_TRUE(wait_for([&] { return drained.load(); }, 1000));
    EXPECT_GE(clock::now() - answered_at, std::chrono::milliseconds(70));
}

// Guards against a planned stop cutting off a response that a slow client is
// still reading.
TEST_F(two_nodes, draining_node_waits_until_its_responses_are_sent)
{
    constexpr std::size_t body_bytes = 24U << 20U; // more than sockets buffer
    backend.response.body = std::string(body_bytes, 'x');
    QTcpSocket slow_client;
    slow_client.setReadBufferSize(1024);
    slow_client.connectToHost(QHostAddress(QString::fromStdString(
                                  caller_settings.client_address.host)),
                              caller_settings.client_address.port);
    slow_client.write(http::serialize(request("id-1")));
    ASSERT_TRUE(wait_for([&] { return slow_client.bytesAvailable() > 0; }));

    std::atomic<bool> drained{false};
    auto& loop = caller_node.loop();
    loop.run_and_wait([&] { loop.begin_drain([&] { drained = true; }); });
    EXPECT_FALSE(wait_for([&] { return drained.load(); }, 3500));
    slow_client.setReadBufferSize(0);
    std::size_t received = 0;
    EXPECT_TRUE(wait_for(
        [&]
        {
            received += static_cast<std::size_t>(slow_client.readAll().size());
            return received > body_bytes;
        }));
    EXPECT_TRUE(wait_for([&] { return drained.load(); }, 1000));
}

class two_nodes_with_a_short_grace : public two_nodes
{
protected:
    two_nodes_with_a_short_grace() : two_nodes(std::chrono::seconds(2)) {}

    // Sends requests, as clients do that keep their connections, until a node
    // has drained. Returns the ids of those that have run without an answer.
    std::vector<std::string> cut_by_drain(traffic_thread<mesh_loop>& node)
    {
        constexpr int request_interval_ms = 80;
        std::atomic<bool> drained{false};
        auto& loop = node.loop();
        loop.run_and_wait([&] { loop.begin_drain([&] { drained = true; }); });
        std::uint64_t exchange = 0;
        while (!drained && exchange < 100)
        {
            ++exchange;
            client.client.start(exchange,
                                request("id-" + std::to_string(exchange)));
            wait_for([&] { return drained.load(); }, request_interval_ms);
        }
        EXPECT_TRUE(drained);
        std::vector<std::string> cut;
        for (std::uint64_t i = 1; i <= exchange; ++i)
        {
            const auto id = "id-" + std::to_string(i);
            const bool has_run = std::any_of(
                backend.requests.begin(), backend.requests.end(),
                [&](const http_request& seen) {
                    return find_header(seen.headers,
                                       mesh::header_names{}.request_id) == id;
                });
            served += client.status(i) == 200 ? 1 : 0;
            refused += client.status(i) == 503 ? 1 : 0;
            if (has_run && client.status(i) != 200)
            {
                cut.push_back(id);
            }
        }
        return cut;
    }

    int served{0};
    int refused{0};
};

// Guards against requests that arrive late in a planned stop being passed on
// and cut at its end. The time to admit requests did not depend on the grace.
TEST_F(two_nodes_with_a_short_grace, stop_cuts_no_request_of_its_clients)
{
    backend.response_delay = std::chrono::milliseconds(400);
    EXPECT_EQ(cut_by_drain(caller_node), std::vector<std::string>{});
    EXPECT_GT(served, 5);
    EXPECT_GT(refused, 0) << "requests that came too late";
}

// The same for the calls of other nodes.
TEST_F(two_nodes_with_a_short_grace, stop_cuts_no_request_of_another_node)
{
    backend.response_delay = std::chrono::milliseconds(400);
    EXPECT_EQ(cut_by_drain(callee_node), std::vector<std::string>{});
    EXPECT_GT(served, 5);
    EXPECT_GT(refused, 0) << "requests that came too late";
}

// Guards against the end of a server not being told to other nodes, and against
// a node that starts later never learning of it.
TEST_F(two_nodes, crashing_request_is_quarantined_at_all_nodes)
{
    backend.crashing_target = request("").target;
    for (std::uint64_t i = 1; i <= 3; ++i)
    {
        client.client.start(i, request("id-" + std::to_string(i)));
        ASSERT_TRUE(wait_for([&] { return client.status(i) != 0; }, 3000));
        EXPECT_EQ(client.status(i), 502U);
        EXPECT_EQ(backend.requests.size(), i);
        ASSERT_TRUE(wait_for([&] { return !backend.server; }));
        backend.start();
        wait_for([] { return false; }, 2200); // Held after the second end.
    }
    EXPECT_EQ(quarantined_count(caller_node), 1U);
    EXPECT_EQ(quarantined_count(callee_node), 1U);

    auto late_settings = make_settings("front");
    traffic_thread<mesh_loop> late_node{[&]
                                        { return make_loop(late_settings); }};
    auto extended = std::make_shared<mesh::instance_directory>(*list);
    auto late_instance = make_instance(late_settings);
    late_instance.id = "i-late";
    extended->put(late_instance);
    list = extended;
    for (auto* node : {&caller_node, &callee_node, &late_node})
    {
        publish_to(*node);
    }
    recording_client late_client(late_settings.client_address);
    std::uint64_t exchange = 0;
    EXPECT_TRUE(wait_for(
        [&]
        {
            late_client.client.start(++exchange, request("late"));
            wait_for([&] { return late_client.status(exchange) != 0; }, 500);
            EXPECT_EQ(late_client.status(exchange), 503U);
            return quarantined_count(late_node) == 1;
        },
        3000));
    EXPECT_EQ(backend.requests.size(), 3U);
}

// One of the nodes grants the tokens of both.
TEST_F(two_nodes, allowance_is_shared_by_the_nodes)
{
    auto next = std::make_shared<mesh::configuration>(*routes);
    next->version = 2;
    next->organisations = {{"shop", {"k"}, {}, {10, 6}}};
    routes = next;
    for (auto* node : {&caller_node, &callee_node})
    {
        publish_to(*node);
    }
    wait_for([] { return false; }, 1000);
    recording_client other_client(callee_settings.client_address);
    std::uint64_t exchange = 0;
    const auto send = [&](recording_client& from)
    {
        auto message = request("id-" + std::to_string(++exchange));
        message.headers.push_back({mesh::header_names{}.key, "k"});
        from.client.start(exchange, message);
        EXPECT_TRUE(wait_for([&] { return from.status(exchange) != 0; }));
        return from.status(exchange);
    };
    EXPECT_EQ(send(client), 200U);
    EXPECT_EQ(send(other_client), 200U);
    unsigned last = 0;
    for (int i = 0; i < 100 && last != 429; ++i)
    {
        last = send(i % 2 == 0 ? client : other_client);
    }
    EXPECT_EQ(last, 429U);
    const auto admitted = backend.requests.size();
    std::uint64_t granted = 0;
    for (auto* node : {&caller_node, &callee_node})
    {
        auto& loop = node->loop();
        loop.run_and_wait(
            [&]
            {
                const auto counts = loop.make_report().metrics;
                granted += counts.allowance_tokens_granted;
            });
    }
    EXPECT_GE(granted, admitted);
}

} // namespace
} // namespace jujubespan::node
