#ifndef JUJUBESPAN_POLICY_HISTORY_REVISION_HPP
#define JUJUBESPAN_POLICY_HISTORY_REVISION_HPP

#include <algorithm>
#include <cstdint>
#include <string>

namespace jujubespan
{

/// @brief Revision of a source that may be restored from an older copy of
/// itself. Each restoration begins a new era, in which numbers of the previous
/// one are given out again.
///
/// The era is in the high bits, so that revisions compare by era first. In era
/// zero a revision equals its number.
using history_revision = std::uint64_t;

inline constexpr unsigned history_number_bits = 48;
inline constexpr std::uint64_t max_history_number =
    (std::uint64_t{1} << history_number_bits) - 1;
inline constexpr std::uint64_t max_history_era =
    (std::uint64_t{1} << (64 - history_number_bits)) - 1;

/// @param era at most `max_history_era`.
constexpr history_revision make_history_revision(std::uint64_t era,
                                                 std::uint64_t number)
{
    return era << history_number_bits | std::min(number, max_history_number);
}

constexpr std::uint64_t era_of(history_revision revision)
{
    return revision >> history_number_bits;
}

constexpr std::uint64_t number_of(history_revision revision)
{
    return revision & max_history_number;
}

/// @brief The number, preceded by the era and a hyphen unless the era is zero.
std::string history_revision_text(history_revision revision);

} // namespace jujubespan

#endif
