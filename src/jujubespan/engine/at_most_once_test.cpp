// Guards against running a non-idempotent request twice, and against reporting
// a request as not run that has run. Random schedules combine crashes,
// restarts, pauses, lost connections, delayed messages, repeated requests and
// instance lists that differ between nodes.

#include "jujubespan/engine/testing.hpp"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <queue>

namespace jujubespan::engine
{
namespace
{

using namespace testing;
using namespace std::chrono_literals;

constexpr int node_count = 3;
constexpr auto contract_text = R"({
  "customer": "acme", "requests_per_second": 100000, "retry_credits": 3,
  "methods": [{"service": "shop", "method": "POST", "path": "/purchases",
     "class": "critical", "idempotent": false, "deadline_ms": 400}]})";

class simulated_cluster
{
public:
    explicit simulated_cluster(std::uint64_t seed) : random_(seed), now_(1000s)
    {
        for (int i = 0; i < node_count; ++i)
        {
            nodes_.push_back(std::make_unique<simulated_node>(*this, i));
            start(i);
        }
        for (int i = 0; i < 150; ++i)
        {
            tick();
        }
    }

    // Performs one random client request or fault, then advances the time.
    void random_step()
    {
        const auto choice = random_() % 100;
        const int node = static_cast<int>(random_() % node_count);
        if (choice < 40)
        {
            send_random_request(node);
        }
        else if (choice < 43)
        {
            start(node); // Crash and restart with empty state.
        }
        else if (choice < 46)
        {
            nodes_[node]->paused_until =
                now_ + std::chrono::milliseconds(random_() % 2000);
        }
        else if (choice < 49)
        {
            lose_connection(node);
        }
        else if (choice < 51)
        {
            apply_list(node, true);
        }
        tick();
    }

    void finish_pending_events()
    {
        for (int i = 0; i < 400; ++i)
        {
            tick();
        }
    }

    std::map<std::string, int> executions;
    int not_run_answers_of_executed{0};
    int answers{0};
    int forwarded_runs{0};

private:
    struct event
    {
        time_point at;
        std::uint64_t sequence;
        int node;
        std::uint64_t engine_number;
        std::function<void()> run;

        bool operator<(const event& other) const
        {
            return std::pair(at, sequence) >
                   std::pair(other.at, other.sequence);
        }
    };

    struct simulated_node final : backend_port, peer_port, reply_port
    {
        simulated_node(simulated_cluster& owner, int node_index)
            : cluster(owner), index(node_index)
        {
        }

        void start(std::uint64_t call, const http_request& request) override
        {
            ++cluster.executions[request.body];
            cluster.schedule_event(index, 200,
                                   [this, call]
                                   {
                                       engine->on_backend_exchange_end(
                                           call, backend_end::answered,
                                           {200, {}, "done"}, cluster.now_);
                                   });
        }
        void cancel(std::uint64_t /*call*/) override {}

        bool send_call(std::string_view peer, const peer_call& value,
                       time_point /*now*/) override
        {
            const int target = cluster.index_of(peer);
            if (target < 0 || cluster.random_() % 10 == 0)
            {
                return false;
            }
            const auto sender = engine_number;
            cluster.schedule_event(
                target, 600,
                [this, target, value, sender]
                {
                    auto& receiver = *cluster.nodes_[target];
                    const auto exchange = ++receiver.next_exchange;
                    receiver.peers[exchange] = {index, value.id, sender};
                    receiver.engine->on_peer_call({&receiver, exchange}, value,
                                                  cluster.now_);
                });
            return true;
        }
        void cancel(std::string_view /*peer*/, std::uint64_t /*call*/) override
        {
        }

        void send_reply(std::uint64_t exchange, const answer& answer,
                        std::string_view /*id*/) override
        {
            const auto peer = peers.find(exchange);
            if (peer != peers.end())
            {
                const auto route = peer->second;
                peers.erase(peer);
                if (cluster.random_() % 8 == 0)
                {
                    return; // The reply is lost.
                }
                cluster.schedule_event(
                    route.node, 500,
                    [this, route, answer]
                    {
                        auto& caller = *cluster.nodes_[route.node];
                        if (caller.engine_number == route.sender)
                        {
                            caller.engine->on_peer_reply(
                                fmt::format("shop-{}", index), route.call,
                                answer, cluster.now_);
                        }
                    });
                return;
            }
            cluster.on_answer(exchange, answer);
        }

        struct reply_route
        {
            int node;
            std::uint64_t call;
            std::uint64_t sender;
        };

        simulated_cluster& cluster;
        int index;
        std::unique_ptr<call_engine> engine;
        std::uint64_t engine_number{0};
        time_point paused_until{};
        std::uint64_t next_exchange{1'000'000};
        std::map<std::uint64_t, reply_route> peers;
    };

    struct client_request
    {
        std::string body;
        std::string ticket;
    };

    int index_of(std::string_view id) const
    {
        const int index = id.back() - '0';
        return index >= 0 && index < node_count ? index : -1;
    }

    void schedule_event(int node, int max_delay_ms, std::function<void()> run)
    {
        const auto delay =
            std::chrono::milliseconds(1 + random_() % max_delay_ms);
        events_.push({now_ + delay, ++next_sequence_, node,
                      nodes_[node]->engine_number, std::move(run)});
    }

    void start(int index)
    {
        auto& node = *nodes_[index];
        node.peers.clear();
        node.paused_until = {};
        node.engine_number = ++incarnations_;
        node.engine = std::make_unique<call_engine>(
            make_settings(fmt::format("shop-{}", index), "shop"), incarnations_,
            random_(), node, node, now_);
        node.engine->apply_contracts(make_table(contract_text));
        apply_list(index, false);
    }

    // With `partial`, other instances are missing from the list at random, so
    // that lists differ between nodes.
    void apply_list(int index, bool partial)
    {
        std::vector<instance> list;
        for (int i = 0; i < node_count; ++i)
        {
            if (!partial || i == index || random_() % 3 != 0)
            {
                list.push_back(
                    make_instance(fmt::format("shop-{}", i), "shop"));
            }
        }
        nodes_[index]->engine->apply_instances(list, now_);
    }

    void lose_connection(int index)
    {
        const auto peer = fmt::format("shop-{}", random_() % node_count);
        nodes_[index]->engine->on_peer_lost(peer, now_);
    }

    // Sends a new request or repeats an earlier one at the given node.
    void send_random_request(int node)
    {
        client_request chosen;
        const bool repeat = !requests_.empty() && random_() % 2 == 0;
        if (repeat)
        {
            chosen = requests_[random_() % requests_.size()];
        }
        else
        {
            chosen.body = fmt::format("purchase-{}", ++next_body_);
            if (!tickets_.empty() && random_() % 8 != 0)
            {
                chosen.ticket = tickets_.back();
                tickets_.pop_back();
                requests_.push_back(chosen);
            }
        }
        if (nodes_[node]->paused_until > now_)
        {
            return;
        }
        http_request message = make_request("POST", "/purchases", chosen.body);
        if (!chosen.ticket.empty())
        {
            message.headers.push_back({"Idempotency-Key", chosen.ticket});
        }
        const auto exchange = ++next_exchange_;
        bodies_[exchange] = chosen.body;
        nodes_[node]->engine->on_caller_request({nodes_[node].get(), exchange},
                                                message, now_);
    }

    void on_answer(std::uint64_t exchange, const answer& answer)
    {
        ++answers;
        if (!answer.next_ticket.empty())
        {
            tickets_.push_back(answer.next_ticket);
        }
        if (answer.result == outcome::not_run &&
            executions[bodies_[exchange]] > 0)
        {
            ++not_run_answers_of_executed;
        }
    }

    void tick()
    {
        now_ += 10ms;
        std::vector<event> deferred;
        while (!events_.empty() && events_.top().at <= now_)
        {
            event next = events_.top();
            events_.pop();
            auto& node = *nodes_[next.node];
            if (next.engine_number != node.engine_number)
            {
                continue; // The node has restarted since the event was created.
            }
            if (node.paused_until > now_)
            {
                deferred.push_back(std::move(next));
                continue;
            }
            next.run();
        }
        for (auto& item : deferred)
        {
            events_.push(std::move(item));
        }
        for (auto& node : nodes_)
        {
            if (node->paused_until <= now_)
            {
                node->engine->customers().on_contact(now_);
                node->engine->on_tick(now_);
            }
        }
    }

    std::mt19937_64 random_;
    time_point now_;
    std::uint64_t next_sequence_{0};
    std::uint64_t incarnations_{0};
    std::uint64_t next_body_{0};
    std::uint64_t next_exchange_{0};
    std::vector<std::unique_ptr<simulated_node>> nodes_;
    std::priority_queue<event> events_;
    std::vector<client_request> requests_;
    std::vector<std::string> tickets_;
    std::map<std::uint64_t, std::string> bodies_;
};

TEST(at_most_once, no_schedule_runs_a_request_twice)
{
    int executed = 0;
    int answers = 0;
    for (std::uint64_t seed = 1; seed <= 400; ++seed)
    {
        simulated_cluster cluster(seed);
        for (int i = 0; i < 300; ++i)
        {
            cluster.random_step();
        }
        cluster.finish_pending_events();
        for (const auto& [body, count] : cluster.executions)
        {
            ASSERT_LE(count, 1) << "seed " << seed << ", " << body;
            ++executed;
        }
        ASSERT_EQ(cluster.not_run_answers_of_executed, 0) << "seed " << seed;
        answers += cluster.answers;
    }
    // Ensure that the schedules run and answer enough requests.
    EXPECT_GT(executed, 10'000);
    EXPECT_GT(answers, 20'000);
}

} // namespace
} // namespace jujubespan::engine
