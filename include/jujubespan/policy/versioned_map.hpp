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

/// @brief Data sets that the platform publishes and nodes forward to each
/// other.
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
    /// Revision at which the key was created; zero when not known.
    std::uint64_t created_revision{0};

    bool operator==(const versioned_entry&) const = default;
};

/// @brief The changes of a topic between two revisions.
struct versioned_delta
{
    std::uint64_t after{0}; ///< Revision that the changes follow.
    std::uint64_t revision{0};
    bool full{false}; ///< Contains every entry and replaces the map.
    std::vector<versioned_entry> entries;
};

/// @brief Whether a delta can be applied to a map.
enum class delta_result
{
    applicable,
    stale, ///< Not newer than the map; to be dropped.
    gap    ///< Starts after the revision of the map; another delta is needed.
};

/// @brief Map of keys to values with one revision number that only increases.
///
/// It provides deltas for peers, so that every node can forward a topic.
class versioned_map
{
public:
    /// @brief Checks whether a delta can be applied; does not change the map.
    [[nodiscard]] delta_result check(const versioned_delta& delta) const;

    /// @brief Applies a delta for which `check` returned `applicable`.
    void apply(const versioned_delta& delta);

    /// @brief Changes after a revision; every entry when the removals since
    /// then are no longer stored.
    [[nodiscard]] versioned_delta delta_after(std::uint64_t revision) const;

    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    [[nodiscard]] const std::map<std::string, versioned_entry>& entries() const
    {
        return entries_;
    }

private:
    void drop_old_removals();

    std::uint64_t revision_{0};
    std::uint64_t removals_stored_after_{0};
    std::map<std::string, versioned_entry> entries_;
    std::map<std::string, versioned_entry> removals_;
};

} // namespace jujubespan

#endif
