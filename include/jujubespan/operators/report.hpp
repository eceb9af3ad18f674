#ifndef JUJUBESPAN_OPERATORS_REPORT_HPP
#define JUJUBESPAN_OPERATORS_REPORT_HPP

#include "jujubespan/engine/decision_log.hpp"
#include "jujubespan/engine/engine_metrics.hpp"

#include <cstdint>
#include <span>
#include <string>

namespace jujubespan::operators
{

/// @brief Counters of the connections to one kind of peer.
struct peer_counters
{
    std::uint64_t sent{0};
    std::uint64_t sent_bytes{0};
    std::uint64_t received{0};
    std::uint64_t received_bytes{0};
    std::uint64_t dropped{0}; ///< Malformed, unknown version, misaddressed.
    std::uint64_t connections{0};
};

/// @brief Everything a node tells its operators.
struct node_report
{
    std::string id;
    std::string service;
    std::string failure_domain;
    std::uint64_t incarnation{0};
    engine::node_status status;
    engine::engine_metrics metrics;
    peer_counters calls;
    peer_counters control;
    std::uint64_t instances_revision{0};
    std::uint64_t rejected_revision{0};
    std::uint64_t stale_deltas{0};
    std::uint64_t platform_calls{0};
    bool watches_platform{false};
    std::uint64_t caller_connections{0};
};

/// @brief Prometheus text.
std::string to_metrics(const node_report& report);

/// @brief JSON for `jujubespan status`.
std::string to_json(const node_report& report);

/// @brief JSON for `jujubespan explain`.
std::string to_json(std::span<const engine::decision> decisions);

/// @brief A page that draws the latency histograms.
std::string make_status_page();

} // namespace jujubespan::operators

#endif
