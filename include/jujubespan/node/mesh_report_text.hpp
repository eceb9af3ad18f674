#ifndef JUJUBESPAN_NODE_MESH_REPORT_TEXT_HPP
#define JUJUBESPAN_NODE_MESH_REPORT_TEXT_HPP

#include "jujubespan/node/mesh_loop.hpp"
#include "jujubespan/policy/history_revision.hpp"

#include <string>

namespace jujubespan::node
{

/// @brief Metrics of the control thread.
struct control_report
{
    std::uint64_t discovery_calls{0};
    history_revision discovery_revision{0};
    std::size_t instance_count{0};
    /// Unreadable entries and fields of the configuration in force.
    std::size_t configuration_defects{0};
    bool discovery_interrupted{false};
    bool reads_discovery{false}; ///< False: gets updates from another node.
};

/// @brief Formats both reports in the Prometheus text format.
std::string to_metrics(const mesh_report& traffic,
                       const control_report& control);

} // namespace jujubespan::node

#endif
