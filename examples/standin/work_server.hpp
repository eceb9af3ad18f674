#ifndef JUJUBESPAN_EXAMPLES_STANDIN_WORK_SERVER_HPP
#define JUJUBESPAN_EXAMPLES_STANDIN_WORK_SERVER_HPP

#include "jujubespan/http/client.hpp"
#include "jujubespan/http/server.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>

#include <QObject>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace standin
{

/// @brief A call that a method makes to another service before its own work.
struct downstream_call
{
    std::string service;
    std::string method;
    std::string target;
};

/// @brief Behaviour of one method of a stand-in backend server: its downstream
/// calls, made one after the other, and then its own work.
struct method_script
{
    double work_ms{1}; ///< Time for which the method occupies its slot after
                       ///< its last call.
    std::vector<downstream_call> calls;
};

/// @brief Method scripts, keyed by `VERB /path`.
using backend_script = std::map<std::string, method_script>;

/// @brief Parses a script such as
/// `{"GET /a": {"work_ms": 5, "calls": ["svc GET /b"]}}`.
/// @param file name shown in the messages.
absl::StatusOr<backend_script> parse_script(std::string_view text,
                                            std::string_view file);

/// @brief Stand-in for a backend server. It processes as many requests at once
/// as it has slots, queues the others, and makes its downstream calls through
/// its node.
///
/// `PUT /standin?slow=5` multiplies the work time of every method by 5.
/// `GET /standin` returns, as JSON, the numbers of started, cancelled,
/// repeated, running and queued requests. A request counts as repeated if a
/// request with the same non-empty body was started before.
class work_server : private jujubespan::http::request_handler,
                    private jujubespan::http::response_handler
{
public:
    work_server(backend_script script, std::size_t slots,
                const jujubespan::config::endpoint& node_address);

    absl::Status listen(const jujubespan::config::endpoint& address);

private:
    /// A request between its arrival and its response.
    struct job
    {
        std::uint64_t exchange{0};
        std::uint64_t id{0}; ///< Also the exchange ID of its downstream call.
        jujubespan::http_request request;
        const method_script* script{nullptr};
        std::size_t next_call_index{0};
        bool finished_work{false};
    };

    void on_request(std::uint64_t exchange,
                    jujubespan::http_request request) override;
    void on_client_disconnected(std::uint64_t exchange) override;
    void on_exchange_end(std::uint64_t id,
                         jujubespan::http::exchange_result result,
                         jujubespan::http_response response) override;
    void start_queued_jobs();
    void continue_job(job& current_job);
    void finish_job(std::uint64_t id, unsigned status, std::string body);
    void on_control_request(std::uint64_t exchange,
                            const jujubespan::http_request& request);

    QObject context_object_;
    backend_script script_;
    std::size_t slots_;
    jujubespan::http::server server_;
    jujubespan::http::client node_client_;
    double slowdown_factor_{1};
    std::uint64_t next_job_id_{1};
    std::deque<job> job_queue_;
    absl::flat_hash_map<std::uint64_t, job> running_jobs_;
    std::uint64_t started_count_{0};
    std::uint64_t cancelled_count_{0};
    std::uint64_t repeated_count_{0};
    std::map<std::string, std::uint64_t> run_count_by_body_;
};

} // namespace standin

#endif
