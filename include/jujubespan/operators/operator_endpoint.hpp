#ifndef JUJUBESPAN_OPERATORS_OPERATOR_ENDPOINT_HPP
#define JUJUBESPAN_OPERATORS_OPERATOR_ENDPOINT_HPP

#include "jujubespan/config/settings.hpp"
#include "jujubespan/http/server.hpp"
#include "jujubespan/operators/report.hpp"

#include <absl/status/status.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace jujubespan::operators
{

/// @brief Provides the data that the operator endpoint serves.
class report_source
{
public:
    virtual ~report_source() = default;

    /// @brief Current state and metrics of the node.
    [[nodiscard]] virtual node_report report() = 0;

    /// @brief Recorded decisions about a request, oldest first.
    [[nodiscard]] virtual std::vector<engine::decision>
    decisions(std::string_view request_id) = 0;
};

/// @brief HTTP endpoint for operators: `/metrics`, `/status`, `/explain` and
/// an HTML page at `/`. Each response is built synchronously.
class operator_endpoint final : private http::request_handler
{
public:
    /// @param source must outlive the endpoint.
    /// @param memory the account of the process; null: none.
    explicit operator_endpoint(
        report_source& source,
        std::shared_ptr<memory_account> memory = nullptr);

    /// @return `kUnavailable` with the address in its message if the address
    /// cannot be bound.
    absl::Status listen(const config::endpoint& address);

private:
    void on_request(std::uint64_t exchange, http_request request) override;
    void on_client_disconnected(std::uint64_t /*exchange*/) override {}
    [[nodiscard]] http_response respond_to(const http_request& request);

    report_source& source_;
    http::server server_;
};

} // namespace jujubespan::operators

#endif
