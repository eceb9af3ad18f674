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

/// @brief State of an instance.
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
/// address the one that was created later is valid, and the other counts as
/// removed. Entries of a service that the configuration does not name are those
/// of other programs: they name no instance and replace none.
///
/// While discovery is unavailable, entries expire although their instances are
/// alive; they reappear soon after it recovers. Removals during and shortly
/// after an outage are therefore deferred.
class instance_directory
{
public:
    /// @brief Adds or replaces an entry and cancels its deferred removal.
    void put(const instance& item);

    /// @brief Sets the services that the configuration names, in order. Until
    /// the first call, every service counts as named.
    /// @return true if they have changed.
    bool set_services(std::vector<std::string> services);

    /// @brief Removes an instance that discovery no longer lists.
    void remove(std::string_view id, time_point now);

    /// @brief Removes all instances that are not in a complete list.
    void retain_only(std::span<const std::string> ids, time_point now);

    /// @brief A call to discovery failed.
    /// @param since time from which on discovery may have been unavailable.
    /// @param unanswered_call_at when the call was sent, if it got no response.
    void on_interrupted(time_point since,
                        std::optional<time_point> unanswered_call_at = {});

    /// @brief Discovery is available again.
    void on_restored(time_point now);

    /// @brief Discovery was restored from an older copy of itself: entries may
    /// be missing until they are written again.
    void on_history_replaced(time_point now);

    /// @brief Performs the deferred removals that are due.
    /// @return true when an instance was removed.
    bool expire(time_point now);

    /// @brief Time of the next deferred removal, if there is one.
    [[nodiscard]] std::optional<time_point> next_removal() const;

    [[nodiscard]] instance_state state(std::string_view id) const;

    /// @brief The entry of an instance; null when none is listed.
    [[nodiscard]] const instance* find(std::string_view id) const;

    /// @brief The instance of a named service whose backend server has this
    /// address; null when none has.
    [[nodiscard]] const instance*
    find_by_backend_address(std::string_view backend_address) const;

    /// @brief All instances of named services except those superseded at their
    /// address.
    [[nodiscard]] std::vector<instance> all() const;
    [[nodiscard]] std::size_t size() const { return instances_.size(); }

    /// @brief Time until which removals that are learned now are deferred; the
    /// past or nothing if they are not.
    [[nodiscard]] std::optional<time_point> defer_until() const
    {
        return defer_until_;
    }

    /// @brief Number of instances whose removal is deferred.
    [[nodiscard]] std::size_t pending_removals() const
    {
        return pending_removals_.size();
    }

private:
    [[nodiscard]] bool defers_removals(time_point now) const;
    void erase(const std::string& id);
    [[nodiscard]] bool is_named(std::string_view service) const;
    [[nodiscard]] bool is_superseded(const instance& item) const;
    [[nodiscard]] bool is_valid(const instance& item) const;

    string_map<instance> instances_;
    std::optional<std::vector<std::string>> services_; // sorted
    // Revision of the last created entry, by backend address and service.
    string_map<string_map<std::uint64_t>> newest_revisions_;
    string_map<time_point> pending_removals_;        // due time, by id
    string_map<std::uint64_t> removed_incarnations_; // by id
    std::optional<time_point> interrupted_at_;
    std::optional<time_point> unanswered_call_at_; // the last one
    std::optional<time_point> defer_until_;
};

} // namespace jujubespan::mesh

#endif
