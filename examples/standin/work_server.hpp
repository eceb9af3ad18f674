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

/// @brief A call that a method makes before it works itself.
struct sub_call
{
    std::string service;
    std::string verb;
    std::string target;
};

/// @brief What a method of a stand-in backend server does.
struct method_script
{
    double work_ms{1};
    std::vector<sub_call> calls;
};

/// @brief Scripts by `VERB /path`.
using work_script = std::map<std::string, method_script>;

/// @brief Parses `{"GET /a": {"work_ms": 5, "calls": ["svc GET /b"]}}`.
absl::StatusOr<work_script> parse_script(std::string_view text,
                                         std::string_view file);

/// @brief Stands in for a backend server: a number of slots, a queue before
/// them, and calls to other services through its node.
///
/// `PUT /standin?slow=5` multiplies the work of every method; `GET /standin`
/// reports what was run.
class work_server : private jujubespan::http::request_handler,
                    private jujubespan::http::response_handler
{
public:
    work_server(work_script script, std::size_t slots,
                const jujubespan::config::endpoint& node);

    absl::Status listen(const jujubespan::config::endpoint& address);

private:
    struct job
    {
        std::uint64_t exchange{0};
        std::uint64_t number{0};
        jujubespan::http_request request;
        const method_script* script{nullptr};
        std::size_t next_call{0};
        bool finished_work{false};
    };

    void on_request(std::uint64_t exchange,
                    jujubespan::http_request request) override;
    void on_client_disconnected(std::uint64_t exchange) override;
    void on_exchange_end(std::uint64_t exchange,
                         jujubespan::http::exchange_result end,
                         jujubespan::http_response response) override;
    void pump();
    void step(job& current);
    void end(std::uint64_t number, unsigned status, std::string body);
    void on_control(std::uint64_t exchange,
                    const jujubespan::http_request& request);

    QObject guard_;
    work_script script_;
    std::size_t slots_;
    jujubespan::http::server server_;
    jujubespan::http::client node_;
    double slow_{1};
    std::uint64_t next_number_{1};
    std::deque<job> queue_;
    absl::flat_hash_map<std::uint64_t, job> running_;
    std::uint64_t started_{0};
    std::uint64_t cancelled_{0};
    std::uint64_t repeated_{0};
    std::map<std::string, std::uint64_t> runs_by_body_;
};

} // namespace standin

#endif
