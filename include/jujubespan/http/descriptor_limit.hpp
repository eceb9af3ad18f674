#ifndef JUJUBESPAN_HTTP_DESCRIPTOR_LIMIT_HPP
#define JUJUBESPAN_HTTP_DESCRIPTOR_LIMIT_HPP

namespace jujubespan::http
{

/// @brief Raises the soft limit of open file descriptors to the hard limit. The
/// usual default of 1024 is below the number of connections of a node.
void raise_descriptor_limit();

} // namespace jujubespan::http

#endif
