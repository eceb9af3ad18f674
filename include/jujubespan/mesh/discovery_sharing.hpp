#ifndef JUJUBESPAN_MESH_DISCOVERY_SHARING_HPP
#define JUJUBESPAN_MESH_DISCOVERY_SHARING_HPP

#include "jujubespan/mesh/instance_directory.hpp"
#include "jujubespan/policy/time.hpp"
#include "jujubespan/policy/versioned_map.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jujubespan::mesh
{

/// @brief Changes that one node read from the discovery source and sends to
/// others. Without changes it tells them that the sender is still reading.
struct discovery_update
{
    versioned_delta changes;
    duration age{}; ///< Time since the source last answered the sender.
    /// Every change that the source acknowledged before this time, in the clock
    /// of this node, is contained in the revision of the update. Absent if not
    /// known. Usually further back than `age` says, since that does not count
    /// the time for which the source held the call.
    std::optional<time_point> confirmed_at;
};

/// @brief Receives what other nodes report about the discovery source.
class discovery_update_handler
{
public:
    virtual ~discovery_update_handler() = default;

    virtual void on_update(std::string_view peer,
                           const discovery_update& update) = 0;

    /// @brief A message shows that a node has applied a change with this
    /// revision, which is higher than any seen before.
    virtual void on_revision_seen(std::uint64_t revision) = 0;
};

/// @brief Part of a node in reading the discovery source.
enum class reader_role
{
    root,      ///< Always reads, and forwards what it reads.
    relay,     ///< First of its failure domain: forwards the updates of the
               ///< root, or its own reads after the root falls silent.
    standby,   ///< Reads and forwards after the relay falls silent.
    subscriber ///< Reads for itself when no update arrives.
};

std::string_view to_string(reader_role role);

/// @brief Decides whether a node reads the discovery source itself or relies on
/// the updates of another node, so that the number of calls to the source does
/// not grow with the fleet.
///
/// All nodes with the same list of instances agree on their roles without
/// exchanging messages. Nodes whose lists differ may both read, which is
/// harmless. Every node can read for itself, and does so when updates stop,
/// when changes before an update are missing, or when a message from any node
/// shows a change that has not arrived.
class discovery_sharing
{
public:
    /// @param backend_address backend server of this node, by which it finds
    /// its own entry in the list of instances.
    explicit discovery_sharing(std::string backend_address);

    /// @brief Determines the role and the subscribers of this node.
    void apply(const instance_directory& list);

    /// @brief The source answered a call of this node.
    void on_own_read(std::uint64_t revision, time_point now);

    /// @brief A call of this node to the source failed.
    void on_interrupted();

    /// @brief Whether an update shows that the source answers its reader.
    [[nodiscard]] static bool is_recent(duration age);

    /// @brief Another node's update was applied. It also ends an interruption
    /// of this node's own reads.
    /// @param age of the update.
    void on_update(std::uint64_t revision, duration age, time_point now);

    /// @brief This node has applied all changes up to a revision that contains
    /// every change that the source acknowledged before `as_of`. Does not
    /// count as contact with the source.
    void on_confirmed(std::uint64_t revision, time_point as_of);

    /// @brief Sets the age of the last confirmation above which this node
    /// reads for itself, for instance because the senders of its updates are
    /// of an earlier version and confirm nothing. Empty: no limit.
    void set_max_confirmed_age(std::optional<duration> limit)
    {
        max_confirmed_age_ = limit;
    }

    /// @brief Time that the source may hold a call, or that this node may wait
    /// before its next call, without the confirmation growing older than the
    /// limit; at least 100 ms.
    /// @param usual the longest time without a limit.
    [[nodiscard]] duration limit_wait(duration usual, time_point now) const;

    /// @brief Another node's update could not be applied, since changes before
    /// it are missing.
    void on_gap();

    /// @brief A message shows that a node has applied a change with this
    /// revision.
    void on_revision_seen(std::uint64_t revision)
    {
        seen_revision_ = std::max(seen_revision_, revision);
    }

    /// @brief Whether this node must read the source itself.
    /// @param revision up to which it knows all changes.
    [[nodiscard]] bool should_read(std::uint64_t revision, time_point now);

    /// @brief Whether this node forwards its own reads to its subscribers.
    [[nodiscard]] bool should_forward(time_point now) const;

    /// @brief Whether this node forwards the updates of other nodes.
    [[nodiscard]] bool forwards_updates() const
    {
        return role_ == reader_role::relay;
    }

    /// @brief Whether a heartbeat to the subscribers is due; true once per
    /// interval.
    [[nodiscard]] bool heartbeat_due(time_point now);

    [[nodiscard]] discovery_update make_heartbeat(time_point now) const;

    /// @brief The update to send to the subscribers. Changes that are too large
    /// to send are left out; the subscribers then read them.
    [[nodiscard]] discovery_update make_update(versioned_delta changes,
                                               time_point now) const;

    /// @brief Addresses of the other nodes of the failure domain; for the root
    /// also those of the relays.
    [[nodiscard]] std::span<const std::string> subscribers() const
    {
        return subscribers_;
    }

    /// @brief Time at which the source last answered this node, or a node whose
    /// update arrived here.
    [[nodiscard]] std::optional<time_point> last_contact() const
    {
        return last_contact_;
    }

    [[nodiscard]] reader_role role() const { return role_; }

    /// @brief Whether the instance of this node is listed, so that other nodes
    /// send it updates.
    [[nodiscard]] bool listed() const { return listed_; }

private:
    [[nodiscard]] duration max_update_age() const;
    [[nodiscard]] bool updates_arrive(time_point now) const;
    [[nodiscard]] bool lacks_confirmation(time_point now) const;
    [[nodiscard]] bool misses_change(std::uint64_t revision, time_point now);
    void record_contact(time_point at);

    std::string backend_address_;
    reader_role role_{reader_role::subscriber};
    std::vector<std::string> subscribers_;
    bool listed_{false};
    bool reading_{true};
    bool interrupted_{false};
    /// The first state, or changes that no update contained, must be read.
    bool must_read_{true};
    std::optional<time_point> last_own_read_;
    /// Time at which the source last answered the sender of an update.
    std::optional<time_point> update_contact_;
    std::optional<time_point> last_contact_;
    time_point next_heartbeat_{};
    std::uint64_t confirmed_revision_{0}; ///< Highest one read or confirmed.
    std::optional<time_point> confirmed_at_;
    std::optional<duration> max_confirmed_age_;
    std::uint64_t seen_revision_{0};
    /// The oldest seen revision that is not applied yet, and since when.
    std::uint64_t missing_revision_{0};
    time_point missing_since_{};
};

} // namespace jujubespan::mesh

#endif
