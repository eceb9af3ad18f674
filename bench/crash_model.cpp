// Seeded model of requests that end the backend servers which run them: nodes
// with their egresses, guards and servers in virtual time, without a network.
//
// Prints one row for each combination of the numbers of nodes and of such
// requests: what they cost, and whom the quarantine hit by mistake.

#include "jujubespan/mesh/fleet_testing.hpp"
#include "jujubespan/metrics/log.hpp"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace
{

using namespace std::chrono_literals;
using namespace jujubespan;
using mesh::testing::simulated_fleet;

struct scenario
{
    std::size_t nodes{6};
    std::size_t poison_requests{1}; ///< Different ones, each sent repeatedly.
    double rate_per_node{40};       ///< Of the other requests, per second.
    unsigned waves{0};              ///< Crashes of many servers at once.
    unsigned client_retries{1};
    std::uint64_t seed{1};
};

struct result
{
    std::size_t crashes{0};
    std::size_t late_arrivals{0}; ///< Later than 3 s after the third crash.
    std::size_t requests{0};
    std::size_t lost{0};
    std::size_t refused_by_mistake{0};
    duration time_to_inform{}; ///< From the third crash to the last node.
};

std::string target_of(std::size_t poison)
{
    return std::string(simulated_fleet::crashing_prefix) +
           std::to_string(poison);
}

// Ends a tenth to a half of the servers at once.
void crash_some_servers(simulated_fleet& fleet, std::mt19937_64& random)
{
    const double share =
        std::uniform_real_distribution<double>(0.1, 0.5)(random);
    for (std::size_t i = 0; i < fleet.servers.size(); ++i)
    {
        if (std::uniform_real_distribution<double>(0, 1)(random) < share)
        {
            fleet.crash_server(i);
        }
    }
}

result run(const scenario& options)
{
    constexpr duration total_time = 20s;
    constexpr duration slice = 10ms;
    constexpr duration contact_time = 3s;
    constexpr double poison_interval_s = 0.25;
    std::mt19937_64 random(options.seed);
    simulated_fleet fleet(options.nodes);
    fleet.client_retries = options.client_retries;
    fleet.late_report_share = 0.03;
    const double rate =
        options.rate_per_node * static_cast<double>(options.nodes);
    fleet.run(1s, rate);
    const auto begin = fleet.now();
    const auto until = begin + total_time;
    std::vector<time_point> next_poison(options.poison_requests, begin);
    std::vector<time_point> next_waves;
    for (unsigned i = 0; i < options.waves; ++i)
    {
        next_waves.push_back(begin + total_time / options.waves * i);
    }
    std::size_t wave = 0;
    std::vector<std::optional<time_point>> third_crash(options.poison_requests);
    std::optional<time_point> first_third_crash;
    result found;
    while (fleet.now() < until)
    {
        for (std::size_t i = 0; i < next_poison.size(); ++i)
        {
            if (fleet.now() >= next_poison[i])
            {
                fleet.send_request(target_of(i));
                next_poison[i] +=
                    from_seconds(std::exponential_distribution<double>(
                        1 / poison_interval_s)(random));
            }
        }
        if (wave < next_waves.size() && fleet.now() >= next_waves[wave])
        {
            crash_some_servers(fleet, random);
            ++wave;
        }
        fleet.run(slice, rate);
        for (std::size_t i = 0; i < third_crash.size(); ++i)
        {
            if (!third_crash[i] && fleet.crashes_under(target_of(i)) >= 3)
            {
                third_crash[i] = fleet.now();
                first_third_crash = first_third_crash.value_or(fleet.now());
            }
        }
        if (first_third_crash && found.time_to_inform == duration::zero() &&
            fleet.informed_node_count() == options.nodes)
        {
            found.time_to_inform = fleet.now() - *first_third_crash + slice;
        }
    }
    found.crashes = fleet.crashes().size();
    for (std::size_t i = 0; i < third_crash.size(); ++i)
    {
        if (third_crash[i])
        {
            found.late_arrivals +=
                fleet.arrivals_of(target_of(i), *third_crash[i] + contact_time);
        }
    }
    found.requests = static_cast<std::size_t>(rate * seconds(total_time));
    found.lost = fleet.lost_requests();
    found.refused_by_mistake = fleet.quarantine_refusals();
    return found;
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine command("Model of requests that end backend servers", ' ');
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "first seed", false, 1, "N",
                                        command);
    TCLAP::ValueArg<unsigned> repeats("", "repeats", "seeds of each row", false,
                                      1, "N", command);
    TCLAP::ValueArg<unsigned> waves("", "waves",
                                    "crashes of many servers in each run",
                                    false, 0, "N", command);
    TCLAP::ValueArg<double> rate("", "rate",
                                 "other requests per node and second", false,
                                 40, "R", command);
    TCLAP::ValueArg<unsigned> client_retries(
        "", "client-retries", "retries of a client after an error", false, 1,
        "N", command);
    TCLAP::MultiArg<std::size_t> nodes("", "nodes", "number of nodes", false,
                                       "N", command);
    TCLAP::MultiArg<std::size_t> poison(
        "", "poison", "number of crashing requests", false, "N", command);
    command.parse(argc, argv);
    set_log_level(log_level::error);
    auto node_counts = nodes.getValue();
    auto poison_counts = poison.getValue();
    node_counts =
        node_counts.empty() ? std::vector<std::size_t>{13} : node_counts;
    poison_counts =
        poison_counts.empty() ? std::vector<std::size_t>{1} : poison_counts;
    fmt::print("nodes poison waves runs  crashes  late  requests  lost  "
               "refused_by_mistake  informed_after_ms\n");
    for (const auto node_count : node_counts)
    {
        for (const auto poison_count : poison_counts)
        {
            result sum;
            for (unsigned i = 0; i < repeats.getValue(); ++i)
            {
                const auto one =
                    run({node_count, poison_count, rate.getValue(),
                         waves.getValue(), client_retries.getValue(),
                         seed.getValue() + i});
                sum.crashes += one.crashes;
                sum.late_arrivals += one.late_arrivals;
                sum.requests += one.requests;
                sum.lost += one.lost;
                sum.refused_by_mistake += one.refused_by_mistake;
                sum.time_to_inform =
                    std::max(sum.time_to_inform, one.time_to_inform);
            }
            fmt::print("{:5} {:6} {:5} {:4} {:8} {:5} {:9} {:5} {:19} {:18}\n",
                       node_count, poison_count, waves.getValue(),
                       repeats.getValue(), sum.crashes, sum.late_arrivals,
                       sum.requests, sum.lost, sum.refused_by_mistake,
                       milliseconds(sum.time_to_inform));
        }
    }
    return 0;
}
