#ifndef JUJUBESPAN_CONFIG_STATUS_TEXT_HPP
#define JUJUBESPAN_CONFIG_STATUS_TEXT_HPP

#include <absl/status/status.h>

#include <string>

namespace jujubespan
{

/// @brief Returns the message of a status.
inline std::string text_of(const absl::Status& status)
{
    return std::string(status.message());
}

} // namespace jujubespan

#endif
