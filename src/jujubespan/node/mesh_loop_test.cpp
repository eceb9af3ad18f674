// Two nodes with real sockets: a request from a client of one to the backend
// server beside the other.

#include "jujubespan/node/mesh_loop.hpp"

#include "jujubespan/http/client.hpp"
#include "jujubespan/http/testing.hpp"
#include "jujubespan/node/process.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <map>

namespace jujubespan::node
{
namespace
{

using testing::free_endpoint;
using testing::wait_for;

// Answers every request at once, or never.
class standin_backend final : public http::request_handler
{
public:
    explicit standin_backend(const config::endpoint& address)
    {
        EXPECT_TRUE(server.listen(address).ok());
    }

    void on_request(std::uint64_t exchange, http_request request) override
    {
        requests.push_back(request);
        if (!silent)
        {
            server.respond(exchange, response);
        }
    }
    void on_gone(std::uint64_t /*exchange*/) override { ++gone; }

    std::vector<http_request> requests;
    http_response response{
        200, {{mesh::header_names{}.signature, "signed"}}, "body"};
    bool silent{false};
    int gone{0};
    http::server server{config::resource_limits{}, *this};
};

class recording_client final : public http::response_handler
{
public:
    explicit recording_client(const config::endpoint& node)
        : client(node, http::message_limits{}, 4, *this)
    {
    }

    void on_end(std::uint64_t exchange, http::exchange_result end,
                http_response response) override
    {
        ends[exchange] = {end, std::move(response)};
    }

    // Status of an answered exchange; zero while there is none.
    [[nodiscard]] unsigned status(std::uint64_t exchange) const
    {
        const auto found = ends.find(exchange);
        return found == ends.end() ? 0 : found->second.second.status;
    }

    std::map<std::uint64_t, std::pair<http::exchange_result, http_response>>
        ends;
    http::client client;
};

config::mesh_settings make_settings(const std::string& service)
{
    config::mesh_settings value;
    value.id = service;
    value.service = service;
    value.failure_domain = "zone";
    value.client_address = free_endpoint();
    value.readiness_address = free_endpoint();
    value.call_address = free_endpoint();
    value.backend_address = free_endpoint();
    value.first_start = true;
    return value;
}

instance make_instance(const config::mesh_settings& node)
{
    instance value;
    value.id = "i-" + node.service;
    value.service = node.service;
    value.failure_domain = node.failure_domain;
    value.call_address = config::to_string(node.call_address);
    value.backend_address = config::to_string(node.backend_address);
    value.slots = 10;
    value.incarnation = 1;
    return value;
}

class two_nodes : public ::testing::Test
{
protected:
    two_nodes()
    {
        auto list = std::make_shared<mesh::instance_directory>();
        list->put(make_instance(front));
        list->put(make_instance(deep));
        auto routes = std::make_shared<mesh::configuration>();
        routes->version = 1;
        mesh::route to_deep;
        to_deep.name = "to-deep";
        to_deep.host = "shop.example";
        to_deep.prefix = "/deep/";
        to_deep.timeout = std::chrono::milliseconds(1500);
        to_deep.targets = {{"deep", 1}};
        routes->routes = {to_deep};
        for (auto* node : {&front_node, &deep_node})
        {
            EXPECT_TRUE(node->status().ok()) << node->status();
            auto& loop = node->loop();
            loop.run(
                [&]
                {
                    loop.apply(routes);
                    loop.apply(list);
                });
        }
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

    std::unique_ptr<mesh_loop> make_loop(const config::mesh_settings& options)
    {
        return std::make_unique<mesh_loop>(options, mesh::header_names{},
                                           ++incarnation, context);
    }

    zmq::context_t context{1};
    std::uint64_t incarnation{0};
    config::mesh_settings front{make_settings("front")};
    config::mesh_settings deep{make_settings("deep")};
    standin_backend backend{deep.backend_address};
    traffic_thread<mesh_loop> front_node{[this] { return make_loop(front); }};
    traffic_thread<mesh_loop> deep_node{[this] { return make_loop(deep); }};
    recording_client client{front.client_address};
};

TEST_F(two_nodes, request_and_answer_pass_unchanged)
{
    client.client.start(1, request("id-1"));
    ASSERT_TRUE(wait_for([&] { return client.status(1) != 0; }));
    EXPECT_EQ(client.status(1), 200U);
    EXPECT_EQ(client.ends[1].second.body, "body");
    ASSERT_EQ(backend.requests.size(), 1U);
    const auto& seen = backend.requests[0];
    const mesh::header_names names;
    EXPECT_EQ(seen.target, "/deep/1?q=2");
    EXPECT_EQ(find_header(seen.headers, names.request_id), "id-1");
    EXPECT_EQ(find_header(seen.headers, names.caller_service), "front");
    EXPECT_EQ(find_header(seen.headers, names.expected_instance), "i-deep");
}

TEST_F(two_nodes, client_that_leaves_ends_the_work_behind_both_nodes)
{
    backend.silent = true;
    client.client.start(1, request("id-1"));
    ASSERT_TRUE(wait_for([&] { return backend.requests.size() == 1; }));
    client.client.cancel(1);
    EXPECT_TRUE(wait_for([&] { return backend.gone == 1; }, 500));
}

TEST_F(two_nodes, silent_backend_server_is_answered_at_the_timeout)
{
    backend.silent = true;
    client.client.start(1, request("id-1"));
    ASSERT_TRUE(wait_for([&] { return client.status(1) != 0; }, 2500));
    EXPECT_EQ(client.status(1), 504U);
}

TEST_F(two_nodes, readiness_ends_with_the_stop_and_requests_are_still_served)
{
    recording_client checker(front.readiness_address);
    checker.client.start(1, {"GET", "/ready", {}, ""});
    ASSERT_TRUE(wait_for([&] { return checker.status(1) != 0; }));
    EXPECT_EQ(checker.status(1), 200U);

    std::atomic<bool> stopped{false};
    auto& loop = front_node.loop();
    loop.run([&] { loop.begin_drain([&] { stopped = true; }); });
    checker.client.start(2, {"GET", "/ready", {}, ""});
    client.client.start(1, request("id-1"));
    ASSERT_TRUE(wait_for(
        [&] { return checker.status(2) != 0 && client.status(1) != 0; }));
    EXPECT_EQ(checker.status(2), 503U);
    EXPECT_EQ(client.status(1), 200U);
    EXPECT_EQ(find_header(client.ends[1].second.headers, "Connection"),
              "close");
    EXPECT_TRUE(wait_for([&] { return stopped.load(); }));
}

} // namespace
} // namespace jujubespan::node
