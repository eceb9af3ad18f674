#ifndef JUJUBESPAN_POLICY_REQUEST_CLASS_HPP
#define JUJUBESPAN_POLICY_REQUEST_CLASS_HPP

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace jujubespan
{

/// @brief Criticality of a request; lower values are refused later.
enum class request_class : std::uint8_t
{
    critical,
    normal,
    sheddable_plus,
    sheddable
};

inline constexpr std::size_t request_class_count = 4;

inline constexpr std::array<request_class, request_class_count>
    all_request_classes{request_class::critical, request_class::normal,
                        request_class::sheddable_plus,
                        request_class::sheddable};

/// @brief Name used in contracts, metrics and logs.
std::string_view to_string(request_class value);

/// @brief Parses a class name; empty when the name is unknown.
std::optional<request_class> parse_request_class(std::string_view name);

} // namespace jujubespan

#endif
