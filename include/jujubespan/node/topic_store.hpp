#ifndef JUJUBESPAN_NODE_TOPIC_STORE_HPP
#define JUJUBESPAN_NODE_TOPIC_STORE_HPP

#include "jujubespan/engine/contract_table.hpp"
#include "jujubespan/policy/instance.hpp"
#include "jujubespan/policy/versioned_map.hpp"

#include <absl/status/status.h>

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

namespace jujubespan::node
{

/// @brief Result of applying a delta.
enum class store_result
{
    applied,
    unchanged, ///< Has the current revision.
    stale,     ///< Has an older revision; dropped.
    gap,       ///< Based on a revision not yet applied; must be fetched.
    rejected   ///< Invalid; the current revision stays.
};

/// @brief Contracts and instances at the revisions in force.
///
/// Revisions never decrease. A revision is applied or rejected as a whole.
class topic_store
{
public:
    topic_store();

    /// @brief Validates and applies a delta.
    /// @param error receives the reason when the result is `rejected`.
    store_result apply(topic topic_id, const versioned_delta& delta,
                       absl::Status& error);

    [[nodiscard]] std::uint64_t revision(topic topic_id) const
    {
        return map(topic_id).revision();
    }

    /// @brief Highest revision that was rejected.
    [[nodiscard]] std::uint64_t highest_rejected_revision(topic topic_id) const
    {
        return rejected_revisions_[static_cast<std::size_t>(topic_id)];
    }

    /// @brief Number of deltas dropped because they were older than the
    /// revision in force.
    [[nodiscard]] std::uint64_t stale_delta_count() const
    {
        return stale_deltas_;
    }

    [[nodiscard]] versioned_delta delta_after(topic topic_id,
                                              std::uint64_t revision) const
    {
        return map(topic_id).delta_after(revision);
    }

    [[nodiscard]] const std::shared_ptr<const engine::contract_table>&
    contracts() const
    {
        return contracts_;
    }
    [[nodiscard]] const std::vector<instance>& instances() const
    {
        return instances_;
    }

private:
    [[nodiscard]] const versioned_map& map(topic topic_id) const
    {
        return maps_[static_cast<std::size_t>(topic_id)];
    }
    absl::Status validate_and_apply(topic topic_id,
                                    const versioned_delta& delta);

    std::array<versioned_map, all_topics.size()> maps_;
    std::array<std::uint64_t, all_topics.size()> rejected_revisions_{};
    std::uint64_t stale_deltas_{0};
    std::shared_ptr<const engine::contract_table> contracts_;
    std::vector<instance> instances_;
};

} // namespace jujubespan::node

#endif
