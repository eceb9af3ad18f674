#ifndef JUJUBESPAN_MESH_INSTANCE_DIRECTORY_HPP
#define JUJUBESPAN_MESH_INSTANCE_DIRECTORY_HPP

#include "jujubespan/policy/instance.hpp"
#include "jujubespan/policy/string_map.hpp"
#include "jujubespan/policy/time.hpp"

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jujubespan::mesh
{

/// @brief What is known of an instance.
enum class instance_state
{
    unknown,
    usable,
    leaving,
    removed
};

/// @brief The instances that discovery lists.
///
/// An address has one backend server at a time: of two entries with the same
/// address the one that was created later holds, the other counts as removed.
///
/// Entries lapse while discovery is away although their instances live; they
/// come back soon after it returns. Removals seen then are held for a while.
class instance_directory
{
public:
    /// @brief Applies an entry; ends a held removal of it.
    void put(const instance& item);

    /// @brief Discovery no longer lists an instance.
    void remove(std::string_view id, time_point now);

    /// @brief Removes all that a complete list does not hold.
    void keep_only(std::span<const std::string> ids, time_point now);

    /// @brief Discovery could not be reached.
    void on_interrupted(time_point now);

    /// @brief Discovery answers again.
    void on_restored(time_point now);

    /// @brief Carries out removals that were held long enough.
    /// @return true when an instance was removed.
    bool expire(time_point now);

    [[nodiscard]] instance_state state(std::string_view id) const;

    /// @brief The instance whose backend server has an address.
    [[nodiscard]] const instance*
    at_address(std::string_view backend_address) const;

    /// @brief The instances that hold their addresses.
    [[nodiscard]] std::vector<instance> all() const;
    [[nodiscard]] std::size_t size() const { return instances_.size(); }

private:
    [[nodiscard]] bool defers_removals(time_point now) const;
    void erase(const std::string& id);
    [[nodiscard]] bool is_superseded(const instance& item) const;

    string_map<instance> instances_;
    string_map<std::uint64_t> newest_listings_; // listing that holds an address
    string_map<time_point>
        pending_removals_; // removal of an id, when it is due
    string_map<std::uint64_t> removed_lifetimes_; // lifetime that was removed
    std::optional<time_point> interrupted_at_;
    std::optional<time_point> defer_until_;
};

} // namespace jujubespan::mesh

#endif
