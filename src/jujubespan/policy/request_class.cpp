#include "jujubespan/policy/request_class.hpp"

namespace jujubespan
{

namespace
{

constexpr std::array<std::string_view, request_class_count> class_names{
    "critical", "normal", "sheddable_plus", "sheddable"};

} // namespace

std::string_view to_string(request_class value)
{
    return class_names[static_cast<std::size_t>(value)];
}

std::optional<request_class> parse_request_class(std::string_view name)
{
    for (const auto candidate : all_request_classes)
    {
        if (to_string(candidate) == name)
        {
            return candidate;
        }
    }
    return std::nullopt;
}

} // namespace jujubespan
