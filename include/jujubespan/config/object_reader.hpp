#ifndef JUJUBESPAN_CONFIG_OBJECT_READER_HPP
#define JUJUBESPAN_CONFIG_OBJECT_READER_HPP

#include "jujubespan/config/json_value.hpp"
#include "jujubespan/policy/time.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jujubespan::config
{

/// @brief Reads the fields of one JSON object and checks their types and
/// ranges.
///
/// Each error is reported with its line and field. `report_unknown_keys`
/// reports the keys that no call has requested.
class object_reader
{
public:
    /// @param path field path of the object; empty for the document.
    object_reader(const json_value& value, std::string path,
                  diagnostics& errors);

    /// @brief Reads a non-empty string field; reports an error if it is
    /// missing.
    std::string required_string(std::string_view key);
    std::string string_or(std::string_view key, std::string_view fallback);
    bool bool_or(std::string_view key, bool fallback);
    bool required_bool(std::string_view key);

    /// @brief Reads a number within [low, high].
    double required_number(std::string_view key, double low, double high);
    double number_or(std::string_view key, double fallback, double low,
                     double high);

    /// @brief Reads an integer within [low, high].
    std::uint64_t integer_or(std::string_view key, std::uint64_t fallback,
                             std::uint64_t low, std::uint64_t high);
    std::uint64_t required_integer(std::string_view key, std::uint64_t low,
                                   std::uint64_t high);

    /// @brief Reads an integer number of milliseconds within [low, high].
    duration milliseconds_or(std::string_view key, std::uint64_t fallback,
                             std::uint64_t low, std::uint64_t high);

    std::vector<std::string> strings_or_empty(std::string_view key);

    /// @brief Reads the elements of an array field; empty if it is missing.
    /// @param required whether a missing field is an error.
    std::span<const json_value> read_array(std::string_view key, bool required);

    /// @brief Reads the members of an object field; empty if it is missing.
    std::span<const json_member> read_object(std::string_view key);

    /// @brief Reports an error in a field.
    void add_error(std::string_view key, std::string message);

    /// @brief Path of a field of this object in the document.
    [[nodiscard]] std::string field_path(std::string_view key) const;

    /// @brief Returns whether the field exists.
    [[nodiscard]] bool has_field(std::string_view key) const;

    /// @brief Reports the keys that no call has requested.
    void report_unknown_keys();

private:
    const json_value* find_field(std::string_view key);
    const json_value* require_field(std::string_view key);
    template <typename T>
    const T* value_as(const json_value* value, std::string_view key,
                      std::string_view type);
    double checked_number(const json_value* value, std::string_view key,
                          double fallback, double low, double high);
    std::uint64_t checked_integer(const json_value* value, std::string_view key,
                                  std::uint64_t fallback, std::uint64_t low,
                                  std::uint64_t high);

    const json_object* object_{nullptr};
    std::size_t line_;
    std::string path_;
    diagnostics& errors_;
    std::vector<std::string> requested_keys_;
};

} // namespace jujubespan::config

#endif
