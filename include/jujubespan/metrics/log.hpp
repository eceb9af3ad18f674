#ifndef JUJUBESPAN_METRICS_LOG_HPP
#define JUJUBESPAN_METRICS_LOG_HPP

#include "jujubespan/policy/time.hpp"

#include <fmt/format.h>

#include <optional>
#include <string>
#include <string_view>

namespace jujubespan
{

/// @brief Importance of a log line.
enum class log_level
{
    debug,
    info,
    warn,
    error
};

/// @brief Parses `debug`, `info`, `warn` or `error`.
std::optional<log_level> parse_log_level(std::string_view name);

/// @brief Sets the least level that is written.
void set_log_level(log_level level);

/// @brief Writes one line to standard output: time, level, event, fields.
///
/// Each event is limited to ten lines a second, and a line is dropped rather
/// than waiting for a slow reader; the next line of the event that is written
/// says how many were dropped.
/// @param event fixed name of what happened, such as `config_rejected`.
/// @param fields text of the form `key=value key=value`.
void log_line(log_level level, std::string_view event, std::string_view fields);

/// @brief Formats the fields and writes a line.
template <typename... Args>
void log(log_level level, std::string_view event,
         fmt::format_string<Args...> fields, Args&&... args)
{
    log_line(level, event, fmt::format(fields, std::forward<Args>(args)...));
}

} // namespace jujubespan

#endif
