// Tests of spenders and authorities together, in virtual time: the bound on the
// requests admitted in any window, and that the allowance can be used.

#include "jujubespan/mesh/allowance_authority.hpp"
#include "jujubespan/mesh/allowance_spender.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace jujubespan::mesh
{
namespace
{

using namespace std::chrono_literals;

constexpr duration time_step = 5ms;
constexpr duration lease_time = 3s; // Until discovery drops a silent node.
constexpr duration max_wait = 150ms;

class allowance_fleet
{
public:
    struct client_demand
    {
        std::size_t organisation{0};
        std::size_t node{0};
        double rate{0};
    };

    struct counts
    {
        std::size_t offered{0};
        std::size_t refused{0};
        std::vector<time_point> admitted;
    };

    allowance_fleet(std::size_t nodes, std::size_t domains,
                    std::vector<allowance> limits, unsigned seed)
        : nodes_(nodes), domains_(domains), random_(seed), totals(limits.size())
    {
        set_limits(std::move(limits));
        for (std::size_t i = 0; i < nodes; ++i)
        {
            start(i);
        }
    }

    void set_limits(std::vector<allowance> limits)
    {
        configuration_.organisations.emplace();
        for (std::size_t i = 0; i < limits.size(); ++i)
        {
            configuration_.organisations->push_back(
                {"org" + std::to_string(i), {}, {}, limits[i]});
        }
        limits_.push_back({now, std::move(limits)});
        for (auto& item : nodes_)
        {
            configure(item);
        }
    }

    void spread(std::size_t organisation, const std::vector<std::size_t>& nodes,
                double rate)
    {
        std::erase_if(demands_, [organisation](const client_demand& item)
                      { return item.organisation == organisation; });
        for (const auto node : nodes)
        {
            demands_.push_back(
                {organisation, node, rate / static_cast<double>(nodes.size())});
        }
    }

    [[nodiscard]] std::vector<std::size_t> nodes_of(std::size_t domain) const
    {
        std::vector<std::size_t> result;
        for (std::size_t i = domain; i < nodes_.size(); i += domains_)
        {
            result.push_back(i);
        }
        return result;
    }

    void kill(std::size_t index)
    {
        const auto incarnation = nodes_[index].incarnation;
        nodes_[index] = {};
        nodes_[index].incarnation = incarnation;
        nodes_[index].silent_since = now;
        for (std::size_t i = 0; i < nodes_.size(); ++i)
        {
            if (nodes_[i].spender)
            {
                send(index, i,
                     [this, i, peer = address(index)]
                     { nodes_[i].spender->on_peer_lost(peer); });
            }
        }
    }

    void start(std::size_t index)
    {
        kill(index);
        auto& item = nodes_[index];
        item.spender =
            std::make_unique<allowance_spender>(address(index), domain(index));
        item.authority = std::make_unique<allowance_authority>(bound);
        item.next_tick = now + std::chrono::milliseconds(random_() % 20);
        ++item.incarnation;
        configure(item);
        list_changed_ = true;
    }

    void pause(std::size_t index, duration time)
    {
        nodes_[index].paused_until = now + time;
    }

    [[nodiscard]] std::size_t authority_of(std::size_t index) const
    {
        return std::stoul(
            std::string(nodes_[index].spender->authority().substr(1)));
    }

    // Cuts a failure domain off from the others and from discovery.
    void cut(std::size_t domain) { cut_.try_emplace(domain, now); }
    void heal()
    {
        cut_.clear();
        list_changed_ = true;
    }

    void run(duration time)
    {
        for (const auto until = now + time; now < until; now += time_step)
        {
            update_list();
            deliver();
            for (const auto& demand : demands_)
            {
                std::poisson_distribution<int> arrivals(demand.rate *
                                                        seconds(time_step));
                for (int i = arrivals(random_); i > 0; --i)
                {
                    offer(demand);
                }
            }
            for (std::size_t i = 0; i < nodes_.size(); ++i)
            {
                if (runs(i) && now >= nodes_[i].next_tick)
                {
                    nodes_[i].next_tick = now + 20ms;
                    serve_waiting(i);
                    ask(i);
                }
            }
        }
    }

    // Admitted requests since `from`, relative to the rate.
    [[nodiscard]] double utilisation(std::size_t organisation,
                                     time_point from) const
    {
        const auto& admitted = totals[organisation].admitted;
        const auto count =
            admitted.end() -
            std::lower_bound(admitted.begin(), admitted.end(), from);
        return static_cast<double>(count) /
               (limits_.back().second[organisation].rate * seconds(now - from));
    }

    // The largest ratio of the requests admitted in a window to the bound.
    [[nodiscard]] double worst_window(std::size_t organisation) const
    {
        const auto& admitted = totals[organisation].admitted;
        double worst = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < admitted.size(); ++last)
        {
            while (admitted[last] - admitted[first] >= bound.window)
            {
                ++first;
            }
            worst = std::max(worst, static_cast<double>(last - first + 1) /
                                        most(organisation, admitted[first]));
        }
        return worst;
    }

    allowance_bound bound;
    time_point now{1000s};

private:
    struct node
    {
        std::unique_ptr<allowance_spender> spender; // null: not running
        std::unique_ptr<allowance_authority> authority;
        std::uint64_t incarnation{0};
        time_point paused_until{};
        time_point next_tick{};
        time_point silent_since{};
        std::vector<std::pair<std::size_t, time_point>> waiting;
    };

    static std::string address(std::size_t index)
    {
        return "n" + std::to_string(index);
    }
    [[nodiscard]] std::string domain(std::size_t index) const
    {
        return "d" + std::to_string(index % domains_);
    }
    [[nodiscard]] bool runs(std::size_t index) const
    {
        return nodes_[index].spender && now >= nodes_[index].paused_until;
    }
    [[nodiscard]] bool is_cut(std::size_t index) const
    {
        return cut_.contains(index % domains_);
    }

    // A lowered limit binds after one window.
    [[nodiscard]] double most(std::size_t organisation, time_point from) const
    {
        allowance limit;
        for (std::size_t i = 0; i < limits_.size(); ++i)
        {
            const bool replaced = i + 1 < limits_.size() &&
                                  from >= limits_[i + 1].first + bound.window;
            if (!replaced && limits_[i].first <= from + bound.window)
            {
                const auto& item = limits_[i].second[organisation];
                limit.rate = std::max(limit.rate, item.rate);
                limit.burst = std::max(limit.burst, item.burst);
            }
        }
        return (limit.rate * seconds(bound.window) + limit.burst) *
                   (1 + bound.tolerance) +
               bound.slack;
    }

    void configure(node& item)
    {
        if (item.spender)
        {
            item.spender->apply(configuration_);
            item.authority->apply(configuration_);
        }
    }

    [[nodiscard]] bool is_listed(std::size_t index) const
    {
        const auto cut = cut_.find(index % domains_);
        return (nodes_[index].spender ||
                now - nodes_[index].silent_since < lease_time) &&
               (cut == cut_.end() || now - cut->second < lease_time);
    }

    // Nodes that are cut off keep their list.
    void update_list()
    {
        std::set<std::size_t> listed;
        for (std::size_t i = 0; i < nodes_.size(); ++i)
        {
            if (is_listed(i))
            {
                listed.insert(i);
            }
        }
        if (listed == listed_ && !list_changed_)
        {
            return;
        }
        listed_ = listed;
        list_changed_ = false;
        instance_directory directory;
        for (const auto i : listed)
        {
            instance item;
            item.id = address(i);
            item.call_address = item.id;
            item.backend_address = item.id;
            item.service = "s";
            item.failure_domain = domain(i);
            directory.put(item);
        }
        for (std::size_t i = 0; i < nodes_.size(); ++i)
        {
            if (nodes_[i].spender && !is_cut(i))
            {
                nodes_[i].spender->apply(directory, now);
                nodes_[i].authority->apply(directory, now);
            }
        }
    }

    void offer(const client_demand& demand)
    {
        if (!runs(demand.node))
        {
            return;
        }
        auto& total = totals[demand.organisation];
        ++total.offered;
        const auto& sender =
            (*configuration_.organisations)[demand.organisation];
        auto& item = nodes_[demand.node];
        switch (item.spender->spend(sender, now))
        {
        case spend_result::spent:
            total.admitted.push_back(now);
            return;
        case spend_result::wait:
            item.waiting.emplace_back(demand.organisation, now + max_wait);
            ask(demand.node);
            return;
        default:
            ++total.refused;
            return;
        }
    }

    void serve_waiting(std::size_t index)
    {
        auto& item = nodes_[index];
        std::erase_if(item.waiting,
                      [&](const auto& entry)
                      {
                          const auto name = "org" + std::to_string(entry.first);
                          if (item.spender->spend_for_waiting(name, now))
                          {
                              totals[entry.first].admitted.push_back(now);
                              return true;
                          }
                          if (now < entry.second)
                          {
                              return false;
                          }
                          item.spender->refuse_waiting(name, now);
                          ++totals[entry.first].refused;
                          return true;
                      });
    }

    void ask(std::size_t index)
    {
        while (auto next = nodes_[index].spender->next_request(now))
        {
            const auto to =
                static_cast<std::size_t>(std::stoul(next->peer.substr(1)));
            send(index, to,
                 [this, index, to, request = next->request]
                 { answer(index, to, request); });
        }
    }

    void answer(std::size_t from, std::size_t to,
                const allowance_request& request)
    {
        auto grant =
            nodes_[to].authority->on_request(address(from), request, now);
        if (!grant)
        {
            return;
        }
        send(to, from,
             [this, from, to, grant = *grant]
             {
                 nodes_[from].spender->on_grant(address(to), grant, now);
                 serve_waiting(from);
             });
    }

    void send(std::size_t from, std::size_t to, std::function<void()> action)
    {
        if (from == to)
        {
            action();
            return;
        }
        const bool blocked =
            from % domains_ != to % domains_ && (is_cut(from) || is_cut(to));
        if (blocked || random_() % 1000 < loss_per_thousand)
        {
            return;
        }
        const auto delay = std::chrono::milliseconds(1 + random_() % 20);
        messages_.emplace(now + delay, message{to, nodes_[to].incarnation,
                                               std::move(action)});
    }

    struct message
    {
        std::size_t to;
        std::uint64_t incarnation;
        std::function<void()> action;
    };

    void deliver()
    {
        while (!messages_.empty() && messages_.begin()->first <= now)
        {
            auto item = messages_.extract(messages_.begin());
            const auto& target = nodes_[item.mapped().to];
            if (!target.spender ||
                target.incarnation != item.mapped().incarnation)
            {
                continue;
            }
            if (now < target.paused_until)
            {
                item.key() = target.paused_until;
                messages_.insert(std::move(item));
                continue;
            }
            item.mapped().action();
        }
    }

    std::vector<node> nodes_;
    std::size_t domains_;
    std::mt19937 random_;
    configuration configuration_;
    std::vector<std::pair<time_point, std::vector<allowance>>> limits_;
    std::vector<client_demand> demands_;
    std::map<std::size_t, time_point> cut_; // since, by failure domain
    std::set<std::size_t> listed_;
    bool list_changed_{true};
    std::multimap<time_point, message> messages_;

public:
    std::vector<counts> totals; // by organisation
    unsigned loss_per_thousand{0};
};

constexpr allowance large{400, 400};
constexpr allowance small{5, 5};

std::vector<std::size_t> all_nodes(std::size_t count)
{
    std::vector<std::size_t> result(count);
    for (std::size_t i = 0; i < count; ++i)
    {
        result[i] = i;
    }
    return result;
}

// An organisation that sends ten times its usual rate may not use the tokens
// of others, and gets its whole allowance itself.
TEST(allowance_fleet, one_heavy_organisation)
{
    allowance_fleet fleet(64, 4, {large, small, small}, 1);
    fleet.run(2s); // A new fleet starts with half of a burst.
    fleet.spread(0, all_nodes(64), 250);
    fleet.spread(1, {3, 17, 40}, 3);
    fleet.spread(2, {5, 6}, 1);
    fleet.run(10s);
    EXPECT_EQ(fleet.totals[0].refused, 0U);
    fleet.spread(0, all_nodes(64), 2500);
    const auto from = fleet.now;
    fleet.run(20s);
    EXPECT_GE(fleet.utilisation(0, from), 0.95);
    EXPECT_LE(fleet.worst_window(0), 1);
    EXPECT_EQ(fleet.totals[1].refused, 0U);
    EXPECT_EQ(fleet.totals[2].refused, 0U);
    EXPECT_GT(fleet.totals[2].offered, 15U);
}

// Tokens must follow clients that move, without refusals.
TEST(allowance_fleet, demand_moves_between_domains)
{
    allowance_fleet fleet(64, 4, {large, small}, 2);
    fleet.run(2s);
    for (std::size_t domain = 0; domain < 8; ++domain)
    {
        fleet.spread(0, fleet.nodes_of(domain % 4), 250);
        fleet.spread(1, {domain, domain + 8}, 3);
        fleet.run(3s);
    }
    fleet.spread(0, {3}, 2000);
    fleet.run(200ms); // A burst at a single node.
    EXPECT_EQ(fleet.totals[0].refused, 0U);
    EXPECT_EQ(fleet.totals[1].refused, 0U);
    EXPECT_LE(fleet.worst_window(0), 1);
}

// Requests must not be refused for the time in which a killed authority is
// replaced.
TEST(allowance_fleet, killed_authority_is_replaced)
{
    allowance_fleet fleet(32, 4, {large, small}, 6);
    fleet.run(2s);
    fleet.spread(0, all_nodes(32), 250);
    fleet.spread(1, {1, 2, 3}, 3);
    fleet.run(2s);
    for (int round = 0; round < 5; ++round)
    {
        const auto authority = fleet.authority_of(1);
        fleet.kill(authority);
        fleet.run(6s);
        fleet.start(authority);
        fleet.run(12s);
    }
    // Those that waited for the killed one may reach the limit of their wait.
    EXPECT_LE(fleet.totals[0].refused, fleet.totals[0].offered / 1000);
    EXPECT_LE(fleet.totals[1].refused, fleet.totals[1].offered / 100);
    EXPECT_LE(fleet.worst_window(0), 1);
    EXPECT_LE(fleet.worst_window(1), 1);
}

// Nodes that change to another authority and back must not contribute the same
// time to both.
TEST(allowance_fleet, authority_restarts_repeatedly)
{
    for (const auto interval : {300ms, 700ms, 1500ms})
    {
        allowance_fleet fleet(12, 3, {large, {100, 0}}, 7);
        fleet.run(10s);
        fleet.spread(0, all_nodes(12), 3000);
        fleet.spread(1, all_nodes(12), 3000);
        for (int round = 0; round < 12; ++round)
        {
            fleet.run(interval);
            fleet.start(fleet.authority_of(0));
        }
        EXPECT_LE(fleet.worst_window(0), 1);
        EXPECT_LE(fleet.worst_window(1), 1);
    }
}

// A failure domain that is cut off spends its share and no more, the other
// ones the rest, also after discovery no longer lists the domain.
TEST(allowance_fleet, cut_domain_keeps_its_share)
{
    for (std::size_t domain = 0; domain < 3; ++domain)
    {
        // With a small burst, little hides an excess.
        allowance_fleet fleet(30, 3, {{400, 40}, {400, 40}}, 3);
        std::vector<std::size_t> others;
        for (const auto node : all_nodes(30))
        {
            if (node % 3 != domain)
            {
                others.push_back(node);
            }
        }
        fleet.spread(0, all_nodes(30), 1600);
        fleet.spread(1, others, 600);
        fleet.run(10s);
        fleet.cut(domain);
        fleet.run(5s);
        const auto from = fleet.now;
        fleet.run(20s);
        EXPECT_GE(fleet.utilisation(0, from), 0.95);
        EXPECT_GE(fleet.utilisation(1, from), 0.7);
        fleet.heal();
        fleet.run(10s);
        EXPECT_LE(fleet.worst_window(0), 1);
        EXPECT_LE(fleet.worst_window(1), 1);
    }
}

// New processes do not know what the previous ones granted, also when they are
// restarted several times within a window.
TEST(allowance_fleet, fleet_restarts_at_once)
{
    allowance_fleet fleet(30, 3, {large, {20, 200}}, 4);
    fleet.spread(0, all_nodes(30), 2000);
    fleet.run(10s);
    fleet.spread(1, all_nodes(30), 2000);
    for (int round = 0; round < 12; ++round)
    {
        fleet.run(600ms);
        for (const auto node : all_nodes(30))
        {
            fleet.start(node);
        }
    }
    fleet.run(1s);
    const auto from = fleet.now;
    fleet.run(10s);
    EXPECT_GE(fleet.utilisation(0, from), 0.95);
    EXPECT_LE(fleet.worst_window(0), 1);
    EXPECT_LE(fleet.worst_window(1), 1);
}

TEST(allowance_fleet, limit_lowered)
{
    allowance_fleet fleet(30, 3, {large}, 5);
    fleet.spread(0, all_nodes(30), 300);
    fleet.run(10s);
    fleet.set_limits({{50, 20}});
    const auto from = fleet.now;
    fleet.run(20s);
    EXPECT_GE(fleet.utilisation(0, from), 0.95);
    EXPECT_LE(fleet.worst_window(0), 1);
}

// Each seed is a schedule of losses, cuts, kills, restarts, pauses, moves and
// changes of limits.
TEST(allowance_fleet, bound_holds_in_every_window)
{
    for (unsigned seed = 0; seed < 30; ++seed)
    {
        std::mt19937 random(seed);
        const std::size_t size = 6 + random() % 30;
        const std::size_t domains = 3 + random() % 3;
        std::vector<allowance> limits{large, {30, 100}, small};
        allowance_fleet fleet(size, domains, limits, seed);
        fleet.loss_per_thousand = random() % 50;
        for (int step = 0; step < 40; ++step)
        {
            const std::size_t node = random() % size;
            switch (random() % 8)
            {
            case 0:
                fleet.cut(random() % domains);
                break;
            case 1:
            case 2:
                fleet.heal();
                break;
            case 3:
                fleet.kill(node);
                break;
            case 4:
                fleet.start(node);
                break;
            case 5:
                fleet.pause(node, std::chrono::milliseconds(random() % 4000));
                break;
            case 6:
                limits[1].rate = 10 + static_cast<double>(random() % 50);
                fleet.set_limits(limits);
                break;
            default:
                break;
            }
            for (std::size_t i = 0; i < limits.size(); ++i)
            {
                const double demand =
                    limits[i].rate * (random() % 3 == 0 ? 5.0 : 0.7);
                fleet.spread(i,
                             random() % 2 == 0
                                 ? fleet.nodes_of(random() % domains)
                                 : all_nodes(size),
                             demand);
            }
            fleet.run(std::chrono::milliseconds(random() % 1500));
        }
        fleet.loss_per_thousand = 0;
        fleet.heal();
        for (std::size_t i = 0; i < size; ++i)
        {
            fleet.start(i);
        }
        for (std::size_t i = 0; i < limits.size(); ++i)
        {
            fleet.spread(i, all_nodes(size), limits[i].rate * 3);
        }
        fleet.run(2s);
        const auto from = fleet.now;
        fleet.run(10s);
        for (std::size_t i = 0; i < limits.size(); ++i)
        {
            EXPECT_GE(fleet.utilisation(i, from), 0.95)
                << "seed " << seed << " organisation " << i;
            EXPECT_LE(fleet.worst_window(i), 1)
                << "seed " << seed << " organisation " << i;
        }
    }
}

} // namespace
} // namespace jujubespan::mesh
