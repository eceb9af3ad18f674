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

/// @brief One kind of request of a load.
struct load_kind
{
    std::string name;
    double rate{0}; ///< Requests a second.
    std::string verb;
    std::string target;
    std::vector<config::endpoint> nodes;
};

/// @brief A load: kinds of requests for one customer.
struct load_plan
{
    std::string customer;
    std::vector<load_kind> kinds;
    double duration_s{10};
    unsigned retries{0}; ///< Most attempts after the first.
    duration retry_delay{std::chrono::milliseconds(50)};
    duration deadline{std::chrono::seconds(1)};
    std::uint64_t seed{1};
    /// Request ids begin with this, so that runs can be told apart.
    std::string id_prefix{"load"};
};

/// @brief What became of the requests of one kind.
struct kind_report
{
    std::uint64_t sent{0};
    std::uint64_t attempts{0};
    std::uint64_t completed{0}; ///< Whole answers below status 400, in time.
    std::uint64_t late{0};      ///< Whole answers after the deadline.
    std::uint64_t not_run{0};
    std::uint64_t unknown{0};
    std::uint64_t failed{0};       ///< Answered with an error status.
    std::uint64_t lost{0};         ///< No answer at all.
    std::vector<double> latencies; ///< Milliseconds, of completed requests.
    std::vector<std::uint64_t> completed_by_slice; ///< Slices of 100 ms.
};

/// @brief Quantile of unsorted values; zero when there are none.
double quantile(std::vector<double> values, double q);

/// @brief Sends requests at times that do not depend on the answers.
class load_generator : private http::response_handler
{
public:
    /// @param on_done runs once, after the last answer or deadline.
    load_generator(load_plan plan, std::function<void()> on_done);

    void start();

    [[nodiscard]] const std::vector<kind_report>& reports() const
    {
        return reports_;
    }

private:
    struct request_state
    {
        std::size_t kind{0};
        std::uint64_t number{0};
        unsigned attempt{0};
        std::string ticket;
        time_point first_sent{};
        std::size_t node{0};
    };

    void on_exchange_end(std::uint64_t exchange, http::exchange_result end,
                         http_response response) override;
    void on_tick();
    void begin(std::size_t kind, time_point now);
    void send(request_state state);
    void settle(const request_state& state, http::exchange_result end,
                const http_response& response, time_point now);
    http::client& client_of(const config::endpoint& node);

    load_plan plan_;
    std::function<void()> on_done_;
    QObject guard_;
    QTimer timer_;
    std::mt19937_64 random_;
    time_point start_{};
    std::vector<time_point> next_;
    std::vector<kind_report> reports_;
    std::map<std::string, std::unique_ptr<http::client>> clients_;
    absl::flat_hash_map<std::uint64_t, request_state> in_flight_;
    std::map<std::string, std::vector<std::string>> tickets_;
    std::uint64_t next_exchange_{1};
    std::uint64_t next_number_{1};
    std::uint64_t waiting_retries_{0};
    bool done_{false};
};

} // namespace jujubespan::apps

#endif
