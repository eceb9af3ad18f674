#ifndef JUJUBESPAN_MESH_FLEET_TESTING_HPP
#define JUJUBESPAN_MESH_FLEET_TESTING_HPP

#include "jujubespan/mesh/egress.hpp"
#include "jujubespan/mesh/guard.hpp"
#include "jujubespan/mesh/quarantine_exchange.hpp"

#include "retry_budget_testing.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jujubespan::mesh::testing
{

/// @brief Simulated nodes of one service, each with an egress, a guard and a
/// backend server, which exchange messages in virtual time.
class simulated_fleet
{
public:
    /// @brief A request that reached a backend server.
    struct arrival
    {
        time_point at;
        std::size_t server{0};
        std::size_t origin{0}; ///< Node that the client sent it to.
        std::string target;
    };

    /// @brief The end of a backend server's process.
    struct crash
    {
        time_point at;
        std::size_t server{0};
        std::vector<std::string> running; ///< Targets of its requests.
    };

    /// @brief Behaviour of a backend server.
    struct server
    {
        std::optional<std::string> rate_limit; ///< Header value.
        bool leaving{false};                   ///< Sends the header.
        bool listed{true};
        std::uint64_t incarnation{1};
        double error_share{0};                ///< Of its responses.
        std::optional<time_point> down_since; ///< Its process has ended.
    };

    /// @brief Outcomes of the requests of clients.
    struct counts
    {
        std::size_t answered{0};
        std::size_t refused{0};
        std::size_t failed{0};
    };

    explicit simulated_fleet(std::size_t node_count) : servers(node_count)
    {
        for (std::size_t i = 0; i < node_count; ++i)
        {
            nodes_.push_back(std::make_unique<node>(*this, i, true));
        }
        publish_instances();
    }

    /// @brief Sends requests at a rate to all nodes in turn while time passes.
    counts run(duration time, double requests_per_second)
    {
        const counts before = counts_;
        const time_point until = now_ + time;
        while (now_ < until)
        {
            now_ += step;
            requests_due_ += requests_per_second * seconds(step);
            for (; requests_due_ >= 1; requests_due_ -= 1)
            {
                send_request(common_target.empty()
                                 ? "/item/" + std::to_string(next_request_)
                                 : common_target);
            }
            crashing_due_ += crashing_per_second * seconds(step);
            for (; crashing_due_ >= 1; crashing_due_ -= 1)
            {
                send_request(crashing_target);
            }
            restart_servers();
            run_events();
            if (now_ >= next_tick_)
            {
                next_tick_ = now_ + tick_interval;
                for (auto& item : nodes_)
                {
                    item->guard.on_tick(now_);
                    item->egress.on_tick(now_);
                }
            }
        }
        return {counts_.answered - before.answered,
                counts_.refused - before.refused,
                counts_.failed - before.failed};
    }

    /// @brief Replaces the process of a node. Its backend server goes on.
    void restart_node(std::size_t index)
    {
        std::erase_if(told_leaving_, [index](const auto& entry)
                      { return entry.first.first == index; });
        nodes_[index] = std::make_unique<node>(*this, index, false);
        nodes_[index]->apply(make_directory());
    }

    /// @brief Sends a request to the next node.
    void send_request(std::string_view target)
    {
        send_request(target, client_retries);
    }

    void send_request(std::string_view target, unsigned retries_left)
    {
        const auto number = next_request_++;
        request_times_.push_back(now_);
        open_requests_[number] = {std::string(target), retries_left};
        http_request message;
        message.method = "GET";
        message.target = std::string(target);
        const header_names names = make_names();
        message.headers = {{"Host", "shop.example"},
                           {names.request_id, "id-" + std::to_string(number)},
                           {names.deadline, "5000"}};
        nodes_[number % nodes_.size()]->egress.on_request(
            number, std::move(message), now_);
    }

    /// @brief Ends the process of a server. It returns after `downtime`.
    void crash_server(std::size_t index)
    {
        auto& state = servers[index];
        if (state.down_since)
        {
            return;
        }
        state.down_since = now_;
        crashes_.push_back({now_, index, {}});
        nodes_[index]->fail_running_calls(crashes_.back().running);
    }

    [[nodiscard]] const std::vector<crash>& crashes() const { return crashes_; }

    /// @brief Number of crashes while a request for a target was running.
    [[nodiscard]] std::size_t crashes_under(std::string_view target) const
    {
        return static_cast<std::size_t>(std::count_if(
            crashes_.begin(), crashes_.end(),
            [target](const crash& item)
            {
                return std::find(item.running.begin(), item.running.end(),
                                 target) != item.running.end();
            }));
    }

    /// @brief Number of nodes that quarantine a request.
    [[nodiscard]] std::size_t informed_node_count() const
    {
        return static_cast<std::size_t>(std::count_if(
            nodes_.begin(), nodes_.end(),
            [](const auto& item)
            { return item->shared.suspects.quarantined_count() > 0; }));
    }

    /// @brief Requests whose clients got an error response and did not retry,
    /// without those for `crashing_prefix`.
    [[nodiscard]] std::size_t lost_requests() const { return lost_requests_; }

    /// @brief Number of responses that gave quarantine as their reason.
    [[nodiscard]] std::size_t quarantine_refusals() const
    {
        return quarantine_refusals_;
    }

    /// @brief Number of arrivals of a target at all servers since a time.
    [[nodiscard]] std::size_t arrivals_of(std::string_view target,
                                          time_point since) const
    {
        return static_cast<std::size_t>(std::count_if(
            arrivals_.begin(), arrivals_.end(),
            [&](const arrival& item)
            { return item.target == target && item.at >= since; }));
    }

    /// @brief Publishes the instance list to all nodes.
    void publish_instances()
    {
        const auto directory = make_directory();
        for (auto& item : nodes_)
        {
            item->apply(directory);
        }
    }

    [[nodiscard]] time_point now() const { return now_; }

    [[nodiscard]] std::size_t arrivals_between(std::size_t server,
                                               time_point since,
                                               time_point until) const
    {
        return static_cast<std::size_t>(
            std::count_if(arrivals_.begin(), arrivals_.end(),
                          [&](const arrival& item) {
                              return item.server == server &&
                                     item.at >= since && item.at < until;
                          }));
    }

    /// @brief Number of arrivals at a server from nodes that had passed on its
    /// announcement that it leaves before `since`.
    [[nodiscard]] std::size_t arrivals_from_told(std::size_t server,
                                                 time_point since) const
    {
        return static_cast<std::size_t>(std::count_if(
            arrivals_.begin(), arrivals_.end(),
            [&](const arrival& item)
            {
                const auto told = told_leaving_.find({item.origin, server});
                return item.server == server && item.at >= since &&
                       told != told_leaving_.end() && told->second < since;
            }));
    }

    [[nodiscard]] std::size_t told_node_count(std::size_t server) const
    {
        return static_cast<std::size_t>(
            std::count_if(told_leaving_.begin(), told_leaving_.end(),
                          [server](const auto& entry)
                          { return entry.first.second == server; }));
    }

    /// @brief Largest number of arrivals at a server within any window that
    /// begins at `since` or later.
    [[nodiscard]] std::size_t most_arrivals(std::size_t server, duration window,
                                            time_point since) const
    {
        std::size_t most = 0;
        for (const auto& item : arrivals_)
        {
            if (item.server == server && item.at >= since)
            {
                most = std::max(
                    most, arrivals_between(server, item.at, item.at + window));
            }
        }
        return most;
    }

    /// @brief Largest number of arrivals beyond the first of their targets and
    /// beyond the retry budget of the service. Each request must have a target
    /// of its own.
    [[nodiscard]] double largest_budget_excess() const
    {
        std::set<std::string_view> seen;
        std::vector<time_point> repeated;
        for (const auto& item : arrivals_)
        {
            if (!seen.insert(item.target).second)
            {
                repeated.push_back(item.at);
            }
        }
        return testing::largest_budget_excess(repeated, request_times_,
                                              retry_budget);
    }

    static constexpr retry_budget_options retry_budget{
        0.2, 10, std::chrono::seconds(10)};
    /// Requests whose targets begin with it end the process of each server
    /// that runs them.
    static constexpr std::string_view crashing_prefix = "/crash/";
    /// The same on a route that is not idempotent.
    static constexpr std::string_view unsafe_crashing_prefix = "/crash/pay/";
    static constexpr duration downtime = std::chrono::seconds(3);

    std::vector<server> servers;
    std::string crashing_target{crashing_prefix};
    double crashing_per_second{0}; ///< Requests for `crashing_target`.
    bool reports_are_lost{false};  ///< Those between nodes about crashes.
    /// Share of the reports that arrive late, as after a lost packet.
    double late_report_share{0};
    /// Retries of a client after an error response.
    unsigned client_retries{0};
    /// Target of the other requests; empty: each has its own.
    std::string common_target;

private:
    static constexpr duration step = std::chrono::milliseconds(1);
    static constexpr duration tick_interval = std::chrono::milliseconds(20);
    static constexpr duration hop_time = std::chrono::milliseconds(1);
    static constexpr duration service_time = std::chrono::milliseconds(100);
    static constexpr duration time_to_crash = std::chrono::milliseconds(60);
    static constexpr duration local_hop_time = std::chrono::microseconds(500);
    static constexpr duration retransmission_time =
        std::chrono::milliseconds(200);
    static constexpr duration client_retry_time = std::chrono::milliseconds(50);
    static constexpr std::uint32_t slots = 50;

    // Without the prefix of the headers that only nodes may send.
    static header_names make_names()
    {
        header_names names;
        names.rate_limit = "Rate-Limit";
        names.leaving = "Leaving";
        return names;
    }

    // Events of a replaced process are dropped: they hold its weak pointer.
    struct process
    {
    };

    class node final : public client_port,
                       public routed_call_port,
                       public routed_reply_port,
                       public engine::backend_port,
                       public suspicion_port
    {
    public:
        node(simulated_fleet& owner, std::size_t own_index, bool fleet_starting)
            : fleet(owner), index(own_index),
              guard(guard_options_of(own_index, fleet_starting), shared, *this,
                    *this, owner.now_),
              egress({"s", "zone-a", names}, shared, *this, *this,
                     own_index + 1)
        {
            guard.set_suspicion_port(this);
            route value;
            value.name = "read";
            value.host = "shop.example";
            value.prefix = "/";
            value.kind = request_kind::idempotent;
            value.timeout = std::chrono::milliseconds(800);
            value.objective = std::chrono::seconds(1);
            value.max_attempts = 2;
            value.targets = {{"s", 1}};
            auto next = std::make_shared<configuration>();
            next->version = 1;
            next->routes = {value};
            value.name = "write";
            value.prefix = unsafe_crashing_prefix;
            value.kind = request_kind::non_idempotent;
            next->routes.push_back(value);
            egress.apply(std::move(next));
        }

        static guard_options guard_options_of(std::size_t own_index,
                                              bool fleet_starting)
        {
            guard_options value;
            value.service = "s";
            value.backend_address = backend_address_of(own_index);
            value.fleet_starting = fleet_starting;
            value.retry_budget = retry_budget;
            value.names = make_names();
            return value;
        }

        void apply(const instance_directory& next)
        {
            directory = next;
            guard.apply(directory, fleet.now_);
            egress.apply(directory, fleet.now_);
        }

        void respond(std::uint64_t exchange,
                     const http_response& response) override
        {
            fleet.retry_or_count(exchange, response.status);
            if (!find_header(response.headers, names.leaving).empty())
            {
                fleet.told_leaving_.try_emplace(
                    {index, std::stoul(response.body)}, fleet.now_);
            }
            const auto cause =
                find_header(response.headers, "Jujubespan-Reason");
            fleet.quarantine_refusals_ +=
                cause == "quarantined" && !fleet.is_crashing(exchange) ? 1 : 0;
            constexpr unsigned refused = 503;
            constexpr unsigned first_failure = 500;
            auto& result = fleet.counts_;
            ++(response.status == refused         ? result.refused
               : response.status >= first_failure ? result.failed
                                                  : result.answered);
        }

        bool send_call(std::string_view peer, const routed_call& call,
                       time_point /*now*/) override
        {
            const auto target = index_of(peer);
            const auto exchange = fleet.next_exchange_++;
            fleet.schedule(*this, hop_time,
                           [this, target, exchange, call,
                            digest = shared.suspects.digest()]
                           {
                               auto& receiver = *fleet.nodes_[target];
                               receiver.compare_quarantine(index, digest);
                               receiver.senders[exchange] = {index, call.id};
                               receiver.guard.on_call(exchange, call,
                                                      fleet.now_);
                           });
            return true;
        }

        void send_report(const suspicion_report& report,
                         time_point /*now*/) override
        {
            for (std::size_t i = 0; i < fleet.nodes_.size(); ++i)
            {
                if (i != index && !fleet.reports_are_lost)
                {
                    send_report_to(i, report);
                }
            }
        }

        void send_report_to(std::size_t receiver, suspicion_report report)
        {
            const bool late = std::uniform_real_distribution<double>(0, 1)(
                                  fleet.random_) < fleet.late_report_share;
            fleet.schedule(
                *this, late ? retransmission_time : hop_time,
                [this, receiver, report = std::move(report)] {
                    fleet.nodes_[receiver]->guard.on_suspicion_report(
                        report, fleet.now_);
                });
        }

        void compare_quarantine(std::size_t sender, std::uint64_t digest)
        {
            exchange.update(shared.suspects.digest(), fleet.now_);
            if (exchange.is_due(call_address_of(sender), digest, fleet.now_))
            {
                send_report_to(sender, shared.suspects.make_report(fleet.now_));
            }
        }

        void cancel(std::string_view peer, std::uint64_t call,
                    time_point /*now*/) override
        {
            const auto target = index_of(peer);
            fleet.schedule(*this, hop_time,
                           [this, target, call]
                           { fleet.nodes_[target]->cancel_from(index, call); });
        }

        void cancel_from(std::size_t sender, std::uint64_t call)
        {
            for (const auto& [exchange, origin] : senders)
            {
                if (origin == std::pair(sender, call))
                {
                    const auto id = exchange;
                    senders.erase(id);
                    guard.on_cancelled(id, fleet.now_);
                    return;
                }
            }
        }

        void send_reply(std::uint64_t exchange,
                        const routed_reply& reply) override
        {
            const auto found = senders.find(exchange);
            if (found == senders.end())
            {
                return;
            }
            const auto [sender, call] = found->second;
            senders.erase(found);
            fleet.schedule(*this, hop_time,
                           [this, sender = sender, call = call, reply,
                            digest = shared.suspects.digest()]
                           {
                               auto& receiver = *fleet.nodes_[sender];
                               receiver.compare_quarantine(index, digest);
                               receiver.egress.on_reply(call, reply,
                                                        fleet.now_);
                           });
        }

        void start(std::uint64_t call, const http_request& request) override
        {
            const auto id =
                std::string(find_header(request.headers, names.request_id));
            if (fleet.servers[index].down_since)
            {
                fleet.schedule(*this, local_hop_time,
                               [this, call]
                               {
                                   guard.on_backend_exchange_end(
                                       call, engine::backend_end::unreachable,
                                       {}, fleet.now_);
                               });
                return;
            }
            fleet.arrivals_.push_back(
                {fleet.now_, index, fleet.origin_of(id), request.target});
            running.emplace(call, request.target);
            if (request.target.starts_with(crashing_prefix))
            {
                fleet.schedule(*this, time_to_crash,
                               [this, call]
                               {
                                   if (running.contains(call))
                                   {
                                       fleet.crash_server(index);
                                   }
                               });
                return;
            }
            fleet.schedule(*this, service_time,
                           [this, call, id] { finish(call, id); });
        }

        void cancel(std::uint64_t call) override { running.erase(call); }

        bool probe() override
        {
            fleet.schedule(*this, local_hop_time,
                           [this]
                           {
                               guard.on_backend_probe_end(
                                   fleet.servers[index].down_since
                                       ? engine::backend_probe_result::refused
                                       : engine::backend_probe_result::accepted,
                                   fleet.now_);
                           });
            return true;
        }

        void fail_running_calls(std::vector<std::string>& targets)
        {
            for (const auto& [call, target] : running)
            {
                targets.push_back(target);
                fleet.schedule(*this, local_hop_time,
                               [this, call = call]
                               {
                                   guard.on_backend_exchange_end(
                                       call, engine::backend_end::failed, {},
                                       fleet.now_);
                               });
            }
            running.clear();
        }

        void finish(std::uint64_t call, const std::string& id)
        {
            if (running.erase(call) == 0)
            {
                return;
            }
            const auto& state = fleet.servers[index];
            http_response response{
                200,
                {{names.signature, "x"}, {names.request_id, id}},
                std::to_string(index)};
            if (std::uniform_real_distribution<double>(0, 1)(fleet.random_) <
                state.error_share)
            {
                response.status = 500;
            }
            if (state.rate_limit)
            {
                response.headers.push_back(
                    {names.rate_limit, *state.rate_limit});
            }
            if (state.leaving)
            {
                response.headers.push_back({names.leaving, "1"});
            }
            guard.on_backend_exchange_end(call, engine::backend_end::answered,
                                          std::move(response), fleet.now_);
        }

        simulated_fleet& fleet;
        std::size_t index;
        std::shared_ptr<process> alive{std::make_shared<process>()};
        header_names names{make_names()};
        mesh_state shared;
        quarantine_exchange exchange;
        instance_directory directory;
        mesh::guard guard;
        mesh::egress egress;
        // Sending node and call, by exchange of the guard.
        std::map<std::uint64_t, std::pair<std::size_t, std::uint64_t>> senders;
        // Targets of the requests at the backend server, by call.
        std::map<std::uint64_t, std::string> running;
    };

    static std::string backend_address_of(std::size_t index)
    {
        return "10.0.0." + std::to_string(index) + ":8080";
    }

    static std::string call_address_of(std::size_t index)
    {
        return "node-" + std::to_string(index);
    }

    static std::size_t index_of(std::string_view call_address)
    {
        constexpr std::size_t prefix_length = 5;
        return std::stoul(std::string(call_address.substr(prefix_length)));
    }

    [[nodiscard]] instance_directory make_directory()
    {
        instance_directory directory;
        for (std::size_t i = 0; i < servers.size(); ++i)
        {
            if (!servers[i].listed)
            {
                continue;
            }
            instance item;
            item.id = "i-" + std::to_string(i);
            item.service = "s";
            item.failure_domain = "zone-a";
            item.call_address = call_address_of(i);
            item.backend_address = backend_address_of(i);
            item.slots = slots;
            item.incarnation = servers[i].incarnation;
            directory.put(item);
        }
        return directory;
    }

    [[nodiscard]] std::size_t origin_of(const std::string& request_id) const
    {
        const auto number = request_id.substr(request_id.find('-') + 1);
        return std::stoul(number) % nodes_.size();
    }

    struct open_request
    {
        std::string target;
        unsigned retries_left{0};
    };

    [[nodiscard]] bool is_crashing(std::uint64_t number) const
    {
        return open_requests_.at(number).target.starts_with(crashing_prefix);
    }

    void retry_or_count(std::uint64_t number, unsigned status)
    {
        constexpr unsigned first_failure = 500;
        const auto& request = open_requests_.at(number);
        if (status < first_failure || is_crashing(number))
        {
            return;
        }
        if (request.retries_left == 0)
        {
            ++lost_requests_;
            return;
        }
        events_.emplace(now_ + client_retry_time,
                        [this, target = request.target,
                         retries_left = request.retries_left - 1]
                        { send_request(target, retries_left); });
    }

    // Starts a new process of each server whose downtime has passed.
    void restart_servers()
    {
        bool restarted = false;
        for (auto& state : servers)
        {
            if (state.down_since && now_ - *state.down_since >= downtime)
            {
                state.down_since.reset();
                ++state.incarnation;
                restarted = true;
            }
        }
        if (restarted)
        {
            publish_instances();
        }
    }

    void schedule(const node& sender, duration delay,
                  std::function<void()> action)
    {
        events_.emplace(
            now_ + delay,
            [alive = std::weak_ptr(sender.alive), action = std::move(action)]
            {
                if (!alive.expired())
                {
                    action();
                }
            });
    }

    void run_events()
    {
        while (!events_.empty() && events_.begin()->first <= now_)
        {
            const auto action = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            action();
        }
    }

    time_point now_{std::chrono::seconds(1000)};
    time_point next_tick_{};
    double requests_due_{0};
    double crashing_due_{0};
    std::multimap<time_point, std::function<void()>> events_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::vector<arrival> arrivals_;
    std::vector<time_point> request_times_;
    std::vector<crash> crashes_;
    // When a node first passed on that a server leaves.
    std::map<std::pair<std::size_t, std::size_t>, time_point> told_leaving_;
    counts counts_;
    std::map<std::uint64_t, open_request> open_requests_; // by number
    std::size_t lost_requests_{0};
    std::size_t quarantine_refusals_{0}; // of requests that crash nothing
    std::mt19937_64 random_{1};
    std::uint64_t next_request_{1};
    std::uint64_t next_exchange_{1};
};

} // namespace jujubespan::mesh::testing

#endif
