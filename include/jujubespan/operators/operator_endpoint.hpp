#ifndef JUJUBESPAN_OPERATORS_OPERATOR_ENDPOINT_HPP
#define JUJUBESPAN_OPERATORS_OPERATOR_ENDPOINT_HPP

#include "jujubespan/config/settings.hpp"
#include "jujubespan/operators/report.hpp"

#include <absl/status/status.h>

#include <QHttpServer>

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
/// an HTML page at `/`. Each response is built synchronously, because the
/// request object is valid only during the handler call.
class operator_endpoint
{
public:
    /// @param source must outlive the endpoint.
    explicit operator_endpoint(report_source& source);

    /// @return `kUnavailable` with the address in its message if the address
    /// cannot be bound.
    absl::Status listen(const config::endpoint& address);

private:
    report_source& source_;
    QHttpServer server_;
};

} // namespace jujubespan::operators

#endif
