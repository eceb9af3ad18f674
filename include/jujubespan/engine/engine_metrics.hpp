#ifndef JUJUBESPAN_ENGINE_ENGINE_METRICS_HPP
#define JUJUBESPAN_ENGINE_ENGINE_METRICS_HPP

#include "jujubespan/engine/answer.hpp"
#include "jujubespan/metrics/latency_histogram.hpp"
#include "jujubespan/policy/request_class.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace jujubespan::engine
{

/// @brief Counters of one node since its start.
struct engine_metrics
{
    using histogram_key = std::pair<std::string, request_class>;

    static constexpr std::size_t reason_count =
        static_cast<std::size_t>(reason::last) + 1;

    std::map<histogram_key, metrics::latency_histogram> latency;
    std::array<std::uint64_t, reason_count> not_answered{}; ///< By reason.
    std::array<std::uint64_t, 4> outcomes{};                ///< By outcome.
    std::uint64_t backend_starts{0};
    std::uint64_t attempts{0};
    std::uint64_t retries{0};
    std::uint64_t late_replies{0};
    std::uint64_t pauses{0};
};

/// @brief Snapshot of a node's state for operators.
struct node_status
{
    std::uint64_t contracts_revision{0};
    std::size_t customers{0};
    admission_level level{admit_all_level};
    std::uint32_t running{0};
    std::size_t queued{0};
    std::uint32_t limit{0};
    std::size_t inbound{0};
    std::size_t outbound{0};
    std::size_t tickets{0};
    bool leaving{false};
    std::map<std::string, std::size_t> upstreams;
    std::map<std::string, std::size_t> ejected;
};

} // namespace jujubespan::engine

#endif
