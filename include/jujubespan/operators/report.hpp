#ifndef JUJUBESPAN_OPERATORS_REPORT_HPP
#define JUJUBESPAN_OPERATORS_REPORT_HPP

#include "jujubespan/engine/decision_log.hpp"
#include "jujubespan/engine/engine_metrics.hpp"

#include <cstdint>
#include <span>
#include <string>

namespace jujubespan::operators
{

/// @brief Counters of the messages exchanged with other nodes on one plane:
/// calls or control.
struct peer_counters
{
    std::uint64_t sent_messages{0};
    std::uint64_t sent_bytes{0};
    std::uint64_t received_messages{0};
    std::uint64_t received_bytes{0};
    /// Malformed, of another protocol version or addressed to another node.
    std::uint64_t dropped_messages{0};
    std::uint64_t connections{0}; ///< Opened by this node.
};

/// @brief State and metrics of a node for its operators.
struct node_report
{
    std::string id;
    std::string service;
    std::string failure_domain;
    std::uint64_t incarnation{0};
    engine::node_status status;
    engine::engine_metrics metrics;
    peer_counters calls;   ///< Messages of calls and their replies.
    peer_counters control; ///< Messages of the control thread.
    std::uint64_t instances_revision{0};
    /// Highest revision of the contracts that was rejected.
    std::uint64_t rejected_revision{0};
    /// Deltas dropped because they were older than the revision in force.
    std::uint64_t stale_deltas{0};
    std::uint64_t platform_calls{0};
    bool watches_platform{false};
    std::uint64_t caller_connections{0};
};

/// @brief Formats the metrics in the Prometheus text format.
std::string to_metrics(const node_report& report);

/// @brief Formats the state as JSON for `jujubespan status`.
std::string to_json(const node_report& report);

/// @brief Formats decisions as JSON for `jujubespan explain`.
std::string to_json(std::span<const engine::decision> decisions);

/// @brief Creates an HTML page with the latency histograms and the state.
std::string make_status_page();

} // namespace jujubespan::operators

#endif
