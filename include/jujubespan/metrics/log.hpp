#ifndef JUJUBESPAN_METRICS_LOG_HPP
#define JUJUBESPAN_METRICS_LOG_HPP

#include "jujubespan/policy/time.hpp"

#include <fmt/format.h>

#include <optional>
#include <string>
#include <string_view>

namespace jujubespan
{

/// @brief Severity of a log line.
enum class log_level
{
    debug,
    info,
    warn,
    error
};

/// @brief Parses `debug`, `info`, `warn` or `error`.
/// @return the level; empty for any other name.
std::optional<log_level> parse_log_level(std::string_view name);

/// @brief Sets the minimum level of the lines that are written.
void set_log_level(log_level level);

/// @brief Writes one line to standard output: time, level, event, fields.
///
/// Each event is limited to ten lines per second. A line is also dropped if
/// standard output is not ready for writing, so that a slow reader does not
/// block the caller. The event's next line contains the number of lines
/// dropped before it.
/// @param event fixed name of the event, such as `configuration_rejected`.
/// @param fields text of the form `key=value key=value`.
void write_log_line(log_level level, std::string_view event,
                    std::string_view fields);

/// @brief Formats the fields and writes one line.
template <typename... Args>
void log(log_level level, std::string_view event,
         fmt::format_string<Args...> fields, Args&&... args)
{
    write_log_line(level, event,
                   fmt::format(fields, std::forward<Args>(args)...));
}

} // namespace jujubespan

#endif
