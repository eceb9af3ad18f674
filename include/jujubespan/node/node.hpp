#ifndef JUJUBESPAN_NODE_NODE_HPP
#define JUJUBESPAN_NODE_NODE_HPP

#include "jujubespan/config/settings.hpp"

namespace jujubespan::node
{

/// @brief Runs one node until SIGTERM or SIGINT, then drains it.
/// @return exit code of the process: 0 after a clean stop, 1 when an endpoint
/// could not be opened.
int run_node(const config::settings& options, int& argc, char** argv);

} // namespace jujubespan::node

#endif
