#include "jujubespan/policy/stable_hash.hpp"

#include <xxhash.h>

namespace jujubespan
{

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

} // namespace jujubespan
