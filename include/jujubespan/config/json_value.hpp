#ifndef JUJUBESPAN_CONFIG_JSON_VALUE_HPP
#define JUJUBESPAN_CONFIG_JSON_VALUE_HPP

#include "jujubespan/config/diagnostics.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jujubespan::config
{

struct json_value;
struct json_member;

using json_array = std::vector<json_value>;
using json_object = std::vector<json_member>;

/// @brief A JSON value and its line in the document.
struct json_value
{
    std::variant<std::nullptr_t, bool, double, std::string, json_array,
                 json_object>
        data;
    /// Line on which a scalar ends, or an object or array begins.
    std::size_t line{0};
};

/// @brief One member of an object.
struct json_member
{
    std::string key;
    json_value value;
};

/// @brief Parses JSON with comments; reports duplicate keys and excessive
/// nesting.
/// @return empty if the text cannot be parsed; `errors` then holds the cause.
std::optional<json_value> parse_json(std::string_view text,
                                     diagnostics& errors);

} // namespace jujubespan::config

#endif
