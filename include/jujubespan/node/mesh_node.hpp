#ifndef JUJUBESPAN_NODE_MESH_NODE_HPP
#define JUJUBESPAN_NODE_MESH_NODE_HPP

#include "jujubespan/config/mesh_settings.hpp"
#include "jujubespan/mesh/discovery.hpp"
#include "jujubespan/mesh/header_names.hpp"

#include <memory>
#include <string>

namespace jujubespan::node
{

/// @brief Platform-specific parts of a node that routes requests.
class mesh_platform
{
public:
    virtual ~mesh_platform() = default;

    [[nodiscard]] virtual mesh::header_names header_names() const = 0;

    /// @param handler must outlive the returned object.
    [[nodiscard]] virtual std::unique_ptr<mesh::discovery>
    make_discovery(const config::mesh_settings& options,
                   mesh::discovery_handler& handler) const = 0;
};

/// @brief Runs one node that routes requests until SIGTERM or SIGINT, then
/// drains it. SIGHUP and a changed settings file reload the settings.
/// The process exits with code 0 after a clean stop.
/// @return exit code of the process when an endpoint cannot be opened: 1.
int run_mesh_node(const config::mesh_settings& options,
                  const std::string& settings_file,
                  const mesh_platform& platform, int& argc, char** argv);

} // namespace jujubespan::node

#endif
