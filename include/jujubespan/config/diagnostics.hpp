#ifndef JUJUBESPAN_CONFIG_DIAGNOSTICS_HPP
#define JUJUBESPAN_CONFIG_DIAGNOSTICS_HPP

#include <absl/status/status.h>

#include <cstddef>
#include <string>
#include <vector>

namespace jujubespan::config
{

/// @brief One error in a document.
struct diagnostic
{
    std::size_t line{0}; ///< Starts at 1.
    std::string field;   ///< Path such as `methods[2].class`.
    std::string message; ///< States the error and the valid values.
};

/// @brief Collects all errors of one document.
class diagnostics
{
public:
    /// @param file name of the file in each message.
    explicit diagnostics(std::string file) : file_(std::move(file)) {}

    void add(std::size_t line, std::string field, std::string message);

    [[nodiscard]] bool ok() const { return items_.empty(); }
    [[nodiscard]] const std::vector<diagnostic>& items() const
    {
        return items_;
    }

    /// @brief One `file:line: field: message` line per error.
    [[nodiscard]] std::string text() const;

    /// @brief OK, or an invalid-argument status that holds `text()`.
    [[nodiscard]] absl::Status status() const;

private:
    std::string file_;
    std::vector<diagnostic> items_;
};

} // namespace jujubespan::config

#endif
