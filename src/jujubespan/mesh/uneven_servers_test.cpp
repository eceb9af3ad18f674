// Tests in virtual time of callers that share servers of uneven speed: the
// slow-down factor in their responses must shorten completion times, without
// herds onto servers that have just become fast.

#include "jujubespan/mesh/balancer.hpp"
#include "jujubespan/mesh/guard.hpp"
#include "jujubespan/metrics/log.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <set>

namespace jujubespan::mesh
{
namespace
{

using namespace std::chrono_literals;

enum class chooser
{
    factor_ignored, // The servers send no load header.
    factor_used,
    all_knowing // Knows the present speeds and loads of all servers.
};

struct scenario
{
    std::size_t servers{16};
    std::size_t callers{40};
    double load{0.8}; // share of the capacity
    bool unequal{false};
    bool noisy{false};
    bool one_slow{false};     // The first server, for nine seconds.
    bool false_header{false}; // The first server states four times its speed.
    // Share of the requests that come from the first of three failure domains.
    std::function<double(double)> first_domain_share;
    double run_s{6};
    std::uint64_t seed{1};
};

struct result
{
    double mean_ms{0};
    double p99_ms{0};
    double completed{0}; // share of the requests
    double crowding{0};  // 99th percentile of calls at a server over its slots
    double crossings{0}; // attempts in other domains per request
};

constexpr std::uint32_t slots = 20;
constexpr double usual_s = 0.04;
constexpr std::size_t domains = 3;
constexpr double warm_up_s = 1.5;
const time_point begin_time{1000s};

class simulation
{
public:
    simulation(scenario setup, chooser mode)
        : setup_(std::move(setup)), mode_(mode), random_(setup_.seed)
    {
        set_log_level(log_level::error);
        for (std::size_t i = 0; i < setup_.servers; ++i)
        {
            instance item;
            item.id = std::to_string(i);
            item.service = "s";
            item.failure_domain = std::to_string(i % domains);
            item.call_address = item.id;
            item.backend_address = item.id;
            item.slots = slots;
            item.incarnation = 1;
            list_.push_back(item);
            directory_.put(item);
            servers_.push_back(std::make_unique<server>(*this, i));
            plan_speed(*servers_.back());
        }
        for (std::size_t i = 0; i < setup_.callers; ++i)
        {
            callers_.push_back(
                std::make_unique<caller>(std::to_string(i % domains)));
            callers_.back()->target.apply(list_, now_);
        }
    }

    result run()
    {
        double capacity = 0;
        for (const auto& item : servers_)
        {
            capacity += slots / usual_s / item->mean_slowness;
        }
        next_arrival(capacity * setup_.load);
        tick();
        while (!events_.empty() &&
               now_ < begin_time + from_seconds(setup_.run_s))
        {
            const auto next = events_.begin();
            now_ = next->first;
            const auto action = std::move(next->second);
            events_.erase(next);
            action();
        }
        result out;
        std::sort(times_.begin(), times_.end());
        out.mean_ms = 1000 *
                      std::accumulate(times_.begin(), times_.end(), 0.0) /
                      static_cast<double>(times_.size());
        out.p99_ms = 1000 * times_[times_.size() * 99 / 100];
        out.completed = static_cast<double>(times_.size()) / ended_;
        std::sort(crowding_.begin(), crowding_.end());
        out.crowding = crowding_[crowding_.size() * 99 / 100];
        out.crossings = crossings_ / ended_;
        return out;
    }

private:
    struct server final : engine::backend_port, routed_reply_port
    {
        server(simulation& fleet, std::size_t number)
            : owner(fleet), index(number),
              guard(options_of(number), shared, *this, *this, begin_time)
        {
            guard.apply(owner.directory_, begin_time);
        }

        static guard_options options_of(std::size_t index)
        {
            guard_options value;
            value.service = "s";
            value.backend_address = std::to_string(index);
            value.queue_wait = 50ms;
            return value;
        }

        [[nodiscard]] double slowness_at(double t) const
        {
            return std::prev(speeds.upper_bound(t))->second;
        }

        // Time at which work that takes `work` seconds at the usual speed ends.
        [[nodiscard]] double end_of(double t, double work) const
        {
            auto next = speeds.upper_bound(t);
            while (true)
            {
                const double slowness = std::prev(next)->second;
                if (next == speeds.end() || t + work * slowness <= next->first)
                {
                    return t + work * slowness;
                }
                work -= (next->first - t) / slowness;
                t = next->first;
                ++next;
            }
        }

        void start_call(std::uint64_t call)
        {
            const double now_s = owner.elapsed();
            owner.at(begin_time +
                         from_seconds(end_of(now_s, owner.open_.at(call).work)),
                     [this, call] { finish(call); });
        }

        void start(std::uint64_t call, const http_request&) override
        {
            running.insert(call);
            start_call(call);
        }
        void cancel(std::uint64_t call) override { running.erase(call); }

        void finish(std::uint64_t call)
        {
            if (running.erase(call) == 0)
            {
                return;
            }
            http_response response{200, {{names.signature, "x"}}, ""};
            const bool is_false = owner.setup_.false_header && index == 0;
            if (owner.mode_ != chooser::factor_ignored)
            {
                response.headers.push_back(
                    {names.server_load,
                     fmt::format("{},0,{},{:.0f}", running.size(), slots,
                                 (is_false ? 25 : 100) *
                                     slowness_at(owner.elapsed()))});
            }
            guard.on_backend_exchange_end(call, engine::backend_end::answered,
                                          std::move(response), owner.now_);
        }

        void send_reply(std::uint64_t call, const routed_reply& reply) override
        {
            --outstanding;
            owner.at(owner.now_ + owner.hop(owner.open_.at(call).caller, index),
                     [this, call, reply] { owner.on_reply(call, reply); });
        }

        simulation& owner;
        std::size_t index;
        header_names names;
        mesh_state shared;
        mesh::guard guard;
        std::set<std::uint64_t> running;
        std::map<double, double> speeds{{0, 1}}; // slow-down factors by time
        double mean_slowness{1};
        std::uint32_t outstanding{0};
    };

    struct caller
    {
        explicit caller(std::string domain) : target(std::move(domain)) {}
        balancer target;
        entry_admission admission;
    };

    struct request
    {
        std::size_t caller{0};
        time_point since;
        double work{0}; // seconds at the usual speed
        shed_key key{0};
        std::vector<std::string> tried;
    };

    void plan_speed(server& item)
    {
        std::uniform_real_distribution<double> uniform(0, 1);
        const double usual =
            setup_.unequal ? 0.5 * std::pow(3.2, uniform(random_)) : 1;
        item.speeds = {{0, usual}};
        item.mean_slowness = usual;
        if (setup_.noisy) // One in seven is 2.5 times slower.
        {
            std::exponential_distribution<double> fast(1 / 3.6);
            for (double t = fast(random_) - 0.6; t < setup_.run_s;
                 t += fast(random_))
            {
                item.speeds[std::max(t, 0.0)] = usual * 2.5;
                t += 0.3 + 0.6 * uniform(random_);
                item.speeds[std::max(t, 0.0)] = usual;
            }
            item.mean_slowness *= 1 / (6.0 / 7 + 1 / 2.5 / 7);
        }
        if (setup_.one_slow && item.index == 0)
        {
            item.speeds[2] = 12;
            item.speeds[11] = 1;
        }
    }

    void at(time_point time, std::function<void()> action)
    {
        events_.emplace(time, std::move(action));
    }

    [[nodiscard]] double elapsed() const { return seconds(now_ - begin_time); }
    [[nodiscard]] duration hop(std::size_t from, std::size_t to) const
    {
        return from % domains == to % domains ? 300us : 1500us;
    }

    void next_arrival(double rate)
    {
        std::exponential_distribution<double> gap(rate);
        at(now_ + from_seconds(gap(random_)),
           [this, rate]
           {
               send_request();
               next_arrival(rate);
           });
    }

    std::size_t pick_caller()
    {
        std::uniform_int_distribution<std::size_t> any(0, setup_.callers - 1);
        std::size_t chosen = any(random_);
        if (setup_.first_domain_share)
        {
            const bool first =
                std::uniform_real_distribution<double>(0, 1)(random_) <
                setup_.first_domain_share(elapsed());
            while ((chosen % domains == 0) != first)
            {
                chosen = any(random_);
            }
        }
        return chosen;
    }

    void send_request()
    {
        std::exponential_distribution<double> tail(1);
        std::uniform_int_distribution<std::uint32_t> position(
            0, keys_per_class - 1);
        const auto id = next_id_++;
        request item;
        item.caller = pick_caller();
        item.since = now_;
        item.work = usual_s * (0.4 + 0.6 * tail(random_));
        item.key = position(random_);
        const std::vector<service_cost> costs{{"s", 1, usual_s}};
        const auto refusal = callers_[item.caller]->admission.check_request(
            "r", costs, item.key, now_);
        open_.emplace(id, std::move(item));
        if (refusal)
        {
            end(id, false);
            return;
        }
        attempt(id);
    }

    std::optional<std::string> choose(const request& item)
    {
        if (mode_ != chooser::all_knowing)
        {
            return callers_[item.caller]->target.pick(item.tried, random_,
                                                      now_);
        }
        std::vector<std::size_t> order(servers_.size());
        std::iota(order.begin(), order.end(), 0);
        std::shuffle(order.begin(), order.end(), random_);
        std::erase_if(order,
                      [&](std::size_t i)
                      {
                          return std::find(item.tried.begin(), item.tried.end(),
                                           list_[i].id) != item.tried.end();
                      });
        const auto cost = [&](std::size_t i)
        {
            constexpr double usable = slots * 0.95;
            const double waiting =
                std::max(0.0, servers_[i]->outstanding + 1 - usable);
            return servers_[i]->slowness_at(elapsed()) * usual_s *
                       (1 + waiting / usable) +
                   2 * seconds(hop(item.caller, i));
        };
        const auto best = std::min_element(order.begin(), order.end(),
                                           [&](std::size_t a, std::size_t b)
                                           { return cost(a) < cost(b); });
        return best == order.end() ? std::nullopt
                                   : std::optional(list_[*best].id);
    }

    void attempt(std::uint64_t id)
    {
        auto& item = open_.at(id);
        const auto chosen = choose(item);
        if (!chosen)
        {
            end(id, false);
            return;
        }
        item.tried.push_back(*chosen);
        const std::size_t index = std::stoul(*chosen);
        callers_[item.caller]->target.on_attempt_start(*chosen, now_);
        ++servers_[index]->outstanding;
        if (elapsed() > warm_up_s && item.caller % domains != index % domains)
        {
            ++crossings_;
        }
        at(now_ + hop(item.caller, index),
           [this, id, index]
           {
               const auto& sent = open_.at(id);
               routed_call call;
               call.id = id;
               call.request_id = std::to_string(id);
               call.instance = list_[index].id;
               call.service = "s";
               call.route = "r";
               call.key = sent.key;
               call.client_request = true;
               call.deadline = sent.since + 1s;
               servers_[index]->guard.on_call(id, std::move(call), now_);
           });
    }

    void on_reply(std::uint64_t id, const routed_reply& reply)
    {
        auto& item = open_.at(id);
        auto& target = callers_[item.caller]->target;
        target.on_load(item.tried.back(), reply.answer.load, now_);
        target.on_attempt_end(item.tried.back(), classify_reply(reply),
                              reply.residence_time, now_);
        if (reply.answer.result == engine::outcome::not_run &&
            reply.answer.elsewhere_may_help && item.tried.size() < 4 &&
            now_ + 20ms < item.since + 1s)
        {
            attempt(id);
            return;
        }
        end(id, reply.answer.result == engine::outcome::answered);
    }

    void end(std::uint64_t id, bool completed)
    {
        const auto& item = open_.at(id);
        if (item.since >= begin_time + from_seconds(warm_up_s))
        {
            ++ended_;
            if (completed)
            {
                times_.push_back(seconds(now_ - item.since));
            }
        }
        open_.erase(id);
    }

    [[nodiscard]] double true_pressure() const
    {
        double outstanding = 0;
        for (const auto& item : servers_)
        {
            outstanding += item->outstanding;
        }
        return outstanding /
               (0.95 * slots * static_cast<double>(servers_.size()));
    }

    void tick()
    {
        for (auto& item : servers_)
        {
            item->guard.on_tick(now_);
            if (elapsed() > warm_up_s)
            {
                crowding_.push_back(item->outstanding / double{slots});
            }
        }
        for (auto& item : callers_)
        {
            auto pressure = item->target.pressure(now_);
            if (mode_ == chooser::all_knowing)
            {
                pressure = true_pressure();
            }
            if (pressure)
            {
                item->admission.on_pressure("s", *pressure, now_);
            }
            item->admission.on_tick(now_);
        }
        at(now_ + 20ms, [this] { tick(); });
    }

    scenario setup_;
    chooser mode_;
    std::mt19937_64 random_;
    time_point now_{begin_time};
    std::vector<instance> list_;
    instance_directory directory_;
    std::multimap<time_point, std::function<void()>> events_;
    std::vector<std::unique_ptr<server>> servers_;
    std::vector<std::unique_ptr<caller>> callers_;
    std::map<std::uint64_t, request> open_;
    std::vector<double> times_;    // seconds
    std::vector<double> crowding_; // calls at a server over its slots
    double ended_{0};
    double crossings_{0};
    std::uint64_t next_id_{1};
};

result mean_of_seeds(scenario setup, chooser mode)
{
    constexpr std::array<std::pair<std::size_t, std::size_t>, 2> sizes{
        {{14, 60}, {20, 24}}}; // servers and callers
    result mean;
    for (std::size_t i = 0; i < sizes.size(); ++i)
    {
        setup.seed = i + 1;
        setup.servers = sizes[i].first;
        setup.callers = sizes[i].second;
        const auto run = simulation(setup, mode).run();
        constexpr double weight = 1.0 / sizes.size();
        mean.mean_ms += weight * run.mean_ms;
        mean.p99_ms += weight * run.p99_ms;
        mean.completed += weight * run.completed;
        mean.crowding += weight * run.crowding;
        mean.crossings += weight * run.crossings;
    }
    fmt::print("load {:.1f} {}: mean {:.1f} ms, p99 {:.1f} ms, completed "
               "{:.3f}, crowding {:.2f}, crossings {:.2f}\n",
               setup.load,
               mode == chooser::factor_ignored ? "factor ignored"
               : mode == chooser::factor_used  ? "factor used"
                                               : "all-knowing",
               mean.mean_ms, mean.p99_ms, mean.completed, mean.crowding,
               mean.crossings);
    return mean;
}

constexpr double sampling_error = 1.03; // of the figures of two seeds

/// @param tolerance 1 where the factor must bring a gain, `sampling_error`
/// where it must do no harm.
void expect_factor_helps(const scenario& setup, double tolerance)
{
    const auto ignored = mean_of_seeds(setup, chooser::factor_ignored);
    const auto used = mean_of_seeds(setup, chooser::factor_used);
    mean_of_seeds(setup, chooser::all_knowing); // Printed for comparison.
    EXPECT_LT(used.mean_ms, ignored.mean_ms * tolerance);
    EXPECT_LT(used.p99_ms, ignored.p99_ms * tolerance);
    EXPECT_GE(used.completed * sampling_error, ignored.completed);
    EXPECT_LE(used.crowding, ignored.crowding * 1.1) << "herd";
}

class uneven_servers : public ::testing::TestWithParam<double>
{
protected:
    uneven_servers() { setup.load = GetParam(); }

    // Under overload all servers are busy, however fast they are.
    const double tolerance{GetParam() < 1 ? 1 : sampling_error};
    scenario setup;
};

INSTANTIATE_TEST_SUITE_P(loads, uneven_servers,
                         ::testing::Values(0.4, 0.8, 1.2));

// Guards against permanently faster servers being used no more than others.
TEST_P(uneven_servers, servers_of_unequal_speed)
{
    setup.unequal = true;
    expect_factor_helps(setup, tolerance);
}

// Guards against calls to servers whose machines are busy with something else,
// and against herds when their machines are free again.
TEST_P(uneven_servers, noisy_neighbours)
{
    setup.noisy = true;
    expect_factor_helps(setup, 1);
}

// An incident. Under overload the other servers are as busy as this one.
TEST_P(uneven_servers, one_server_is_twelve_times_slower)
{
    setup.one_slow = true;
    setup.run_s = 11.5;
    expect_factor_helps(setup, tolerance);
}

// Guards against a herd onto a server that states four times its speed.
TEST_P(uneven_servers, false_header_does_no_harm)
{
    setup.false_header = true;
    expect_factor_helps(setup, sampling_error);
}

// Guards against spilling too late: every second, one failure domain gets more
// requests than its servers can run while the others have free slots.
TEST(failure_domains, peak_in_one_domain_is_served_by_all)
{
    scenario setup;
    setup.first_domain_share = [](double t)
    { return std::fmod(t, 2) < 1 ? 0.55 : 0.15; };
    const auto run = mean_of_seeds(setup, chooser::factor_ignored);
    const auto knowing = mean_of_seeds(setup, chooser::all_knowing);
    EXPECT_GE(run.completed, 0.99);
    EXPECT_LE(run.mean_ms, knowing.mean_ms * 1.2);
}

} // namespace
} // namespace jujubespan::mesh
