#include "jujubespan/node/topic_store.hpp"

#include "jujubespan/platform/codec.hpp"

#include <algorithm>

namespace jujubespan::node
{

topic_store::topic_store()
    : contracts_(std::make_shared<const engine::contract_table>())
{
}

store_result topic_store::apply(topic topic_id, const versioned_delta& delta,
                                absl::Status& error)
{
    const auto current_revision = revision(topic_id);
    if (delta.revision == current_revision)
    {
        return store_result::unchanged;
    }
    switch (map(topic_id).check(delta))
    {
    case delta_result::stale:
        ++stale_deltas_;
        return store_result::stale;
    case delta_result::gap:
        return store_result::gap;
    case delta_result::applicable:
        break;
    }
    error = validate_and_apply(topic_id, delta);
    if (!error.ok())
    {
        auto& rejected =
            rejected_revisions_[static_cast<std::size_t>(topic_id)];
        rejected = std::max(rejected, delta.revision);
        return store_result::rejected;
    }
    return store_result::applied;
}

absl::Status topic_store::validate_and_apply(topic topic_id,
                                             const versioned_delta& delta)
{
    auto& target = maps_[static_cast<std::size_t>(topic_id)];
    if (topic_id == topic::contracts)
    {
        auto table = contracts_->with_delta(delta);
        if (!table.ok())
        {
            return table.status();
        }
        contracts_ = *std::move(table);
        target.apply(delta);
        return absl::OkStatus();
    }
    versioned_map candidate = target;
    candidate.apply(delta);
    auto list = platform::parse_instances(candidate);
    if (!list.ok())
    {
        return list.status();
    }
    target = std::move(candidate);
    instances_ = *std::move(list);
    return absl::OkStatus();
}

} // namespace jujubespan::node
