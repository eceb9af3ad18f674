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

/// @brief Supplies what operators ask for.
class report_source
{
public:
    virtual ~report_source() = default;

    [[nodiscard]] virtual node_report report() = 0;
    [[nodiscard]] virtual std::vector<engine::decision>
    decisions(std::string_view request_id) = 0;
};

/// @brief HTTP endpoint for operators: `/metrics`, `/status`, `/explain` and
/// a page at `/`. Every answer is made at once, while its request is alive.
class operator_endpoint
{
public:
    /// @param source outlives the endpoint.
    explicit operator_endpoint(report_source& source);

    absl::Status listen(const config::endpoint& address);

private:
    report_source& source_;
    QHttpServer server_;
};

} // namespace jujubespan::operators

#endif
