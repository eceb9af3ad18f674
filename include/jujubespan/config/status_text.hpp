#ifndef JUJUBESPAN_CONFIG_STATUS_TEXT_HPP
#define JUJUBESPAN_CONFIG_STATUS_TEXT_HPP

#include <absl/status/status.h>

#include <string>

namespace jujubespan
{

/// @brief The message of a status, as a standard string.
inline std::string text_of(const absl::Status& status)
{
    return std::string(status.message());
}

} // namespace jujubespan

#endif
