#ifndef JUJUBESPAN_CONFIG_FIELD_READERS_HPP
#define JUJUBESPAN_CONFIG_FIELD_READERS_HPP

#include "jujubespan/config/endpoint.hpp"
#include "jujubespan/config/object_reader.hpp"

#include <string>
#include <string_view>

namespace jujubespan::config
{

/// @brief Reads a required endpoint; reports invalid text.
endpoint read_endpoint(object_reader& reader, std::string_view key);

/// @brief Reads `log_level`; the default is `info`.
std::string read_log_level(object_reader& reader);

} // namespace jujubespan::config

#endif
