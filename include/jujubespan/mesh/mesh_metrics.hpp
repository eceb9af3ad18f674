#ifndef JUJUBESPAN_MESH_MESH_METRICS_HPP
#define JUJUBESPAN_MESH_MESH_METRICS_HPP

#include "jujubespan/engine/answer.hpp"
#include "jujubespan/metrics/latency_histogram.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace jujubespan::mesh
{

/// @brief What was charged to the retry budget of one guard, and what earned
/// it.
struct retry_budget_counters
{
    std::uint64_t requests{0}; ///< Client requests that earned budget.
    /// Requests taken back, since they did not reach the backend server.
    std::uint64_t withdrawn{0};
    std::uint64_t attempts{0}; ///< Charged for an earlier attempt.
    std::uint64_t calls{0};    ///< Charged for being made by a retried request.
    std::uint64_t denied{0};   ///< Refused for lack of budget.
    /// Calls of the local backend server whose request is not known, so that
    /// it is not known either whether they are retries.
    std::uint64_t calls_without_parent{0};
};

/// @brief Counters of the routed calls of one node since its start.
struct mesh_metrics
{
    static constexpr std::size_t reason_count =
        static_cast<std::size_t>(engine::reason::last) + 1;

    /// Latency of requests, by priority of the route.
    std::map<std::uint32_t, metrics::latency_histogram> latency;
    /// Time that calls spent at the local backend server.
    metrics::latency_histogram backend;
    std::array<std::uint64_t, 4> outcomes{}; ///< By `engine::outcome`.
    std::array<std::uint64_t, reason_count> egress_reasons{};
    std::array<std::uint64_t, reason_count> guard_reasons{};
    std::uint64_t attempts{0};
    /// Retries sent; guards charge them to the budget.
    std::uint64_t retries{0};
    retry_budget_counters retry_budget;
    /// Further attempts while none has reached a backend server.
    std::uint64_t resends{0};
    std::uint64_t clients_disconnected{0};
    std::uint64_t late_replies{0};
    /// Requests for which a token of an allowance was taken, also those that
    /// returned it.
    std::uint64_t allowance_admitted{0};
    std::uint64_t allowance_refused{0};
    /// Tokens that this node granted as authority.
    std::uint64_t allowance_tokens_granted{0};
    std::uint64_t backend_starts{0};
    /// Ends of the local backend server's process.
    std::uint64_t backend_ends{0};
    /// Requests per second announced by the local backend server.
    std::optional<double> backend_rate_limit;
    /// Load headers of the local backend server that could not be parsed.
    std::uint64_t ignored_load_headers{0};
    bool backend_leaving{false}; ///< Announced by the local backend server.
};

} // namespace jujubespan::mesh

#endif
