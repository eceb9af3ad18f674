#ifndef JUJUBESPAN_POLICY_STABLE_HASH_HPP
#define JUJUBESPAN_POLICY_STABLE_HASH_HPP

#include <cstdint>
#include <string_view>

namespace jujubespan
{

/// @brief 64-bit hash that is the same in every process and release.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

} // namespace jujubespan

#endif
