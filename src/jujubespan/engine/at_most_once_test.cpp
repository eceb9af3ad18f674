// Random schedules of crashes, restarts, pauses, lost connections, late
// messages, repeated requests and diverging instance lists: no request that
// must not repeat runs twice, and none that ran is called not run.

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

class world
{
public:
    explicit world(std::uint64_t seed) : random_(seed), now_(1000s)
    {
        for (int i = 0; i < node_count; ++i)
        {
            nodes_.push_back(std::make_unique<member>(*this, i));
            start(i);
        }
        for (int i = 0; i < 150; ++i)
        {
            tick();
        }
    }

    // One random step of clients, network and faults.
    void step()
    {
        const auto choice = random_() % 100;
        const int node = static_cast<int>(random_() % node_count);
        if (choice < 40)
        {
            request(node);
        }
        else if (choice < 43)
        {
            start(node); // A crash and a restart with empty memory.
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

    void settle()
    {
        for (int i = 0; i < 400; ++i)
        {
            tick();
        }
    }

    std::map<std::string, int> executions;
    int not_run_of_executed{0};
    int answers{0};
    int forwarded_runs{0};

private:
    struct event
    {
        time_point at;
        std::uint64_t order;
        int node;
        std::uint64_t incarnation;
        std::function<void()> run;

        bool operator<(const event& other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    struct member final : backend_port, peer_port, reply_port
    {
        member(world& w, int i) : owner(w), index(i) {}

        void start(std::uint64_t call, const http_request& request) override
        {
            ++owner.executions[request.body];
            owner.later(index, 200,
                        [this, call]
                        {
                            engine->on_backend_end(call, backend_end::answered,
                                                   {200, {}, "done"},
                                                   owner.now_);
                        });
        }
        void cancel(std::uint64_t /*call*/) override {}

        bool call(std::string_view peer, const peer_call& value,
                  time_point /*now*/) override
        {
            const int to = owner.index_of(peer);
            if (to < 0 || owner.random_() % 10 == 0)
            {
                return false;
            }
            const auto sender = engine_number;
            owner.later(
                to, 600,
                [this, to, value, sender]
                {
                    auto& receiver = *owner.nodes_[to];
                    const auto exchange = ++receiver.next_exchange;
                    receiver.peers[exchange] = {index, value.id, sender};
                    receiver.engine->on_peer_call({&receiver, exchange}, value,
                                                  owner.now_);
                });
            return true;
        }
        void cancel(std::string_view /*peer*/, std::uint64_t /*call*/) override
        {
        }

        void reply(std::uint64_t exchange, const answer& value,
                   std::string_view /*id*/) override
        {
            const auto peer = peers.find(exchange);
            if (peer != peers.end())
            {
                const auto back = peer->second;
                peers.erase(peer);
                if (owner.random_() % 8 == 0)
                {
                    return; // The reply is lost.
                }
                owner.later(back.node, 500,
                            [this, back, value]
                            {
                                auto& caller = *owner.nodes_[back.node];
                                if (caller.engine_number == back.sender)
                                {
                                    caller.engine->on_peer_reply(
                                        fmt::format("shop-{}", index),
                                        back.call, value, owner.now_);
                                }
                            });
                return;
            }
            owner.on_answer(exchange, value);
        }

        struct way_back
        {
            int node;
            std::uint64_t call;
            std::uint64_t sender;
        };

        world& owner;
        int index;
        std::unique_ptr<call_engine> engine;
        std::uint64_t engine_number{0};
        time_point paused_until{};
        std::uint64_t next_exchange{1'000'000};
        std::map<std::uint64_t, way_back> peers;
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

    void later(int node, int most_ms, std::function<void()> run)
    {
        const auto delay = std::chrono::milliseconds(1 + random_() % most_ms);
        events_.push({now_ + delay, ++order_, node, nodes_[node]->engine_number,
                      std::move(run)});
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

    // Lists differ between nodes: a member is missing here or there.
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

    // A new request, or one that was presented before, at any node.
    void request(int node)
    {
        client_request chosen;
        const bool again = !requests_.empty() && random_() % 2 == 0;
        if (again)
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

    void on_answer(std::uint64_t exchange, const answer& value)
    {
        ++answers;
        if (!value.next_ticket.empty())
        {
            tickets_.push_back(value.next_ticket);
        }
        if (value.result == outcome::not_run &&
            executions[bodies_[exchange]] > 0)
        {
            ++not_run_of_executed;
        }
    }

    void tick()
    {
        now_ += 10ms;
        std::vector<event> held;
        while (!events_.empty() && events_.top().at <= now_)
        {
            event next = events_.top();
            events_.pop();
            auto& node = *nodes_[next.node];
            if (next.incarnation != node.engine_number)
            {
                continue; // Its receiver has crashed.
            }
            if (node.paused_until > now_)
            {
                held.push_back(std::move(next));
                continue;
            }
            next.run();
        }
        for (auto& item : held)
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
    std::uint64_t order_{0};
    std::uint64_t incarnations_{0};
    std::uint64_t next_body_{0};
    std::uint64_t next_exchange_{0};
    std::vector<std::unique_ptr<member>> nodes_;
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
        world w(seed);
        for (int i = 0; i < 300; ++i)
        {
            w.step();
        }
        w.settle();
        for (const auto& [body, count] : w.executions)
        {
            ASSERT_LE(count, 1) << "seed " << seed << ", " << body;
            ++executed;
        }
        ASSERT_EQ(w.not_run_of_executed, 0) << "seed " << seed;
        answers += w.answers;
    }
    // The schedules do real work.
    EXPECT_GT(executed, 10'000);
    EXPECT_GT(answers, 20'000);
}

} // namespace
} // namespace jujubespan::engine
