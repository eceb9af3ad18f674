#ifndef JUJUBESPAN_POLICY_VERSIONED_MAP_HPP
#define JUJUBESPAN_POLICY_VERSIONED_MAP_HPP

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubespan
{

/// @brief What the platform publishes and nodes pass on.
enum class topic
{
    contracts,
    instances
};

inline constexpr std::array<topic, 2> all_topics{topic::contracts,
                                                 topic::instances};

/// @brief One changed or removed entry of a topic.
struct versioned_entry
{
    std::string key;
    std::uint64_t revision{0};
    std::string value;
    bool removed{false};

    bool operator==(const versioned_entry&) const = default;
};

/// @brief The changes of a topic between two revisions.
struct versioned_delta
{
    std::uint64_t after{0};
    std::uint64_t revision{0};
    bool full{false}; ///< Holds every entry; replaces what the reader has.
    std::vector<versioned_entry> entries;
};

/// @brief Why a delta was not applied.
enum class delta_result
{
    applicable,
    stale, ///< Not above the present revision; dropped.
    gap    ///< Starts above the present revision; ask again.
};

/// @brief Keyed values under one revision number that only grows.
///
/// Serves deltas to peers, so that every node can pass a topic on.
class versioned_map
{
public:
    /// @brief The state after a delta; the map itself does not change.
    [[nodiscard]] delta_result check(const versioned_delta& delta) const;

    /// @brief Applies a delta for which `check` said `applied`.
    void apply(const versioned_delta& delta);

    /// @brief Changes after a revision; a full copy when removals that old
    /// are no longer known.
    [[nodiscard]] versioned_delta delta_after(std::uint64_t revision) const;

    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    [[nodiscard]] const std::map<std::string, versioned_entry>& entries() const
    {
        return entries_;
    }

private:
    void forget_old_removals();

    std::uint64_t revision_{0};
    std::uint64_t removals_known_after_{0};
    std::map<std::string, versioned_entry> entries_;
    std::map<std::string, versioned_entry> removed_;
};

} // namespace jujubespan

#endif
