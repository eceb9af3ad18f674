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

/// @brief Reads the fields of one JSON object strictly.
///
/// Every mistake is reported with its line and field; `finish` reports keys
/// that no call has asked for.
class object_reader
{
public:
    /// @param path field path of the object; empty for the document.
    object_reader(const json_value& value, std::string path,
                  diagnostics& errors);

    /// @brief Reads a string field; reports it when missing.
    std::string required_string(std::string_view key);
    std::string string_or(std::string_view key, std::string_view fallback);
    bool bool_or(std::string_view key, bool fallback);
    bool required_bool(std::string_view key);

    /// @brief Reads a number within [low, high].
    double required_number(std::string_view key, double low, double high);
    double number_or(std::string_view key, double fallback, double low,
                     double high);

    /// @brief Reads a whole number within [low, high].
    std::uint64_t integer_or(std::string_view key, std::uint64_t fallback,
                             std::uint64_t low, std::uint64_t high);
    std::uint64_t required_integer(std::string_view key, std::uint64_t low,
                                   std::uint64_t high);

    /// @brief Reads whole milliseconds within [low, high].
    duration milliseconds_or(std::string_view key, std::uint64_t fallback,
                             std::uint64_t low, std::uint64_t high);

    std::vector<std::string> strings_or_empty(std::string_view key);

    /// @brief The elements of an array field; empty when it is missing.
    std::span<const json_value> array(std::string_view key, bool required);

    /// @brief The members of an object field; empty when it is missing.
    std::span<const json_member> object(std::string_view key);

    /// @brief Reports a mistake in a field.
    void add_error(std::string_view key, std::string message);

    /// @brief Path of a field of this object.
    [[nodiscard]] std::string field_path(std::string_view key) const;

    /// @brief True when the field is there.
    [[nodiscard]] bool has(std::string_view key) const;

    /// @brief Reports unknown keys.
    void report_unknown_keys();

private:
    const json_value* find(std::string_view key);
    const json_value* require(std::string_view key);
    template <typename T>
    const T* typed(const json_value* value, std::string_view key,
                   std::string_view type);
    double number_in(const json_value* value, std::string_view key,
                     double fallback, double low, double high);
    std::uint64_t integer_in(const json_value* value, std::string_view key,
                             std::uint64_t fallback, std::uint64_t low,
                             std::uint64_t high);

    const json_object* object_{nullptr};
    std::size_t line_;
    std::string path_;
    diagnostics& errors_;
    std::vector<std::string> known_;
};

} // namespace jujubespan::config

#endif
