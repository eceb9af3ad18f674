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

/// @brief What became of a delta.
enum class store_result
{
    applied,
    unchanged, ///< Of the present revision.
    stale,     ///< Of an older revision; dropped.
    gap,       ///< Needs earlier changes; ask again.
    rejected   ///< Wrong; the present revision stays.
};

/// @brief Both topics of the platform at the revisions in force.
///
/// Revisions never go down, and a revision is accepted or rejected whole.
class topic_store
{
public:
    topic_store();

    /// @brief Checks and applies a delta.
    /// @param why receives the reason when the result is `rejected`.
    store_result apply(topic which, const versioned_delta& delta,
                       absl::Status& why);

    [[nodiscard]] std::uint64_t revision(topic which) const
    {
        return map(which).revision();
    }

    /// @brief Highest revision that was rejected.
    [[nodiscard]] std::uint64_t rejected(topic which) const
    {
        return rejected_[static_cast<std::size_t>(which)];
    }

    /// @brief Deltas dropped as older than what is in force.
    [[nodiscard]] std::uint64_t stale() const { return stale_; }

    [[nodiscard]] versioned_delta delta_after(topic which,
                                              std::uint64_t revision) const
    {
        return map(which).delta_after(revision);
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
    [[nodiscard]] const versioned_map& map(topic which) const
    {
        return maps_[static_cast<std::size_t>(which)];
    }
    absl::Status accept(topic which, const versioned_delta& delta);

    std::array<versioned_map, all_topics.size()> maps_;
    std::array<std::uint64_t, all_topics.size()> rejected_{};
    std::uint64_t stale_{0};
    std::shared_ptr<const engine::contract_table> contracts_;
    std::vector<instance> instances_;
};

} // namespace jujubespan::node

#endif
