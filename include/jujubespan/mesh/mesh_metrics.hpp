#ifndef JUJUBESPAN_MESH_MESH_METRICS_HPP
#define JUJUBESPAN_MESH_MESH_METRICS_HPP

#include "jujubespan/engine/answer.hpp"
#include "jujubespan/metrics/latency_histogram.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace jujubespan::mesh
{

/// @brief What the routed calls of one node counted since its start.
struct mesh_metrics
{
    static constexpr std::size_t reason_count =
        static_cast<std::size_t>(engine::reason::last) + 1;

    /// Latency of clients' requests, by priority of the route.
    std::map<std::uint32_t, metrics::latency_histogram> latency;
    /// Time that the own backend server held a request.
    metrics::latency_histogram backend;
    std::array<std::uint64_t, 4> outcomes{}; ///< By `engine::outcome`.
    std::array<std::uint64_t, reason_count> egress_reasons{};
    std::array<std::uint64_t, reason_count> guard_reasons{};
    std::uint64_t attempts{0};
    std::uint64_t retries{0};        ///< Sent, to be paid by the guard.
    std::uint64_t retries_denied{0}; ///< By the guard: no budget left.
    std::uint64_t resends{0};        ///< Of what had not arrived anywhere.
    std::uint64_t clients_gone{0};
    std::uint64_t late_replies{0};
    std::uint64_t backend_starts{0};
};

} // namespace jujubespan::mesh

#endif
