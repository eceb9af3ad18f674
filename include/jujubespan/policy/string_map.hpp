#ifndef JUJUBESPAN_POLICY_STRING_MAP_HPP
#define JUJUBESPAN_POLICY_STRING_MAP_HPP

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace jujubespan
{

/// @brief Transparent hash, for lookup by string view.
struct string_hash
{
    using is_transparent = void;

    std::size_t operator()(std::string_view text) const
    {
        return std::hash<std::string_view>{}(text);
    }
};

/// @brief Hash map with string keys; lookup by string view makes no copy.
template <typename T>
using string_map =
    std::unordered_map<std::string, T, string_hash, std::equal_to<>>;

} // namespace jujubespan

#endif
