#ifndef JUJUBESPAN_HTTP_DESCRIPTOR_LIMIT_HPP
#define JUJUBESPAN_HTTP_DESCRIPTOR_LIMIT_HPP

namespace jujubespan::http
{

/// @brief Raises the number of descriptors this process may open to the most
/// that is allowed; the usual default of 1024 is below a node's connections.
void raise_descriptor_limit();

} // namespace jujubespan::http

#endif
