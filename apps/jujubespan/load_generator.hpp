#ifndef JUJUBESPAN_APPS_LOAD_GENERATOR_HPP
#define JUJUBESPAN_APPS_LOAD_GENERATOR_HPP

#include "jujubespan/http/client.hpp"

#include <absl/container/flat_hash_map.h>

#include <QObject>
#include <QTimer>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace jujubespan::apps
{

/// @brief One kind of request of a load plan.
struct request_kind
{
    std::string name;
    double requests_per_second{0};
    std::string method;
    std::string target;
    std::vector<config::endpoint> nodes;
};

/// @brief Requests to send for one customer.
struct load_plan
{
    std::string customer;
    std::vector<request_kind> kinds;
    double duration_s{10};
    unsigned max_retries{0}; ///< For each request.
    duration retry_delay{std::chrono::milliseconds(50)};
    /// Time from the scheduled start of a request to its deadline.
    duration deadline{std::chrono::seconds(1)};
    std::uint64_t seed{1};
    /// Prefix of the request IDs, which distinguishes the runs.
    std::string id_prefix{"load"};
};

/// @brief Results of the requests of one kind.
struct kind_report
{
    std::uint64_t sent{0};
    std::uint64_t attempts{0};
    /// Complete responses with a status below 400, by the deadline.
    std::uint64_t completed{0};
    /// Complete responses with a status below 400, after the deadline.
    std::uint64_t late{0};
    /// Error responses that state that the request was not run.
    std::uint64_t not_run{0};
    /// Error responses that state that the request may have run.
    std::uint64_t unknown{0};
    std::uint64_t failed{0};          ///< Other error responses.
    std::uint64_t lost{0};            ///< Requests without a complete response.
    std::vector<double> latencies_ms; ///< Of completed requests.
    /// Completed requests in each interval of 100 ms since the start.
    std::vector<std::uint64_t> completed_by_slice;
};

/// @brief Quantile of unsorted values; zero if there are none.
/// @param q within [0, 1].
double quantile(std::vector<double> values, double q);

/// @brief Sends requests at random times that do not depend on the responses.
///
/// The arrivals of each kind form a Poisson process. Latencies are measured
/// from the scheduled arrival, so that a delay in sending counts as latency.
class load_generator : private http::response_handler
{
public:
    /// @param on_finished called once, after the duration of the plan: when all
    /// requests have ended, but at most 5 s later.
    load_generator(load_plan plan, std::function<void()> on_finished);

    void start();

    [[nodiscard]] const std::vector<kind_report>& reports() const
    {
        return reports_;
    }

private:
    struct request_state
    {
        std::size_t kind_index{0};
        std::uint64_t number{0}; ///< Unique within the run.
        unsigned attempt{0};     ///< Number of the attempt; the first is 1.
        std::string ticket;
        time_point scheduled_at{};
        std::size_t node_index{0};
    };

    void on_exchange_end(std::uint64_t exchange, http::exchange_result result,
                         http_response response) override;
    void on_tick();
    void start_request(std::size_t kind_index, time_point scheduled_at);
    void send_attempt(request_state state);
    void record_result(const request_state& state, http::exchange_result result,
                       const http_response& response, time_point now);
    http::client& client_for(const config::endpoint& node);

    load_plan plan_;
    std::function<void()> on_finished_;
    QObject context_object_;
    QTimer timer_;
    std::mt19937_64 random_engine_;
    time_point started_at_{};
    std::vector<time_point> next_arrivals_;                        // by kind
    std::vector<kind_report> reports_;                             // by kind
    std::map<std::string, std::unique_ptr<http::client>> clients_; // by node
    absl::flat_hash_map<std::uint64_t, request_state> in_flight_;
    // Unused tickets, by the node that issued them.
    std::map<std::string, std::vector<std::string>> unused_tickets_;
    std::uint64_t next_exchange_{1};
    std::uint64_t next_request_number_{1};
    std::uint64_t scheduled_retries_{0};
    bool finished_{false};
};

} // namespace jujubespan::apps

#endif
