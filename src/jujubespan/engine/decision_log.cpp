#include "jujubespan/engine/decision_log.hpp"

namespace jujubespan::engine
{

void decision_log::add(decision value)
{
    if (items_.size() < capacity_)
    {
        items_.push_back(std::move(value));
        return;
    }
    items_[next_] = std::move(value);
    next_ = (next_ + 1) % capacity_;
}

std::vector<decision> decision_log::find(std::string_view request_id) const
{
    std::vector<decision> found;
    for (std::size_t i = 0; i < items_.size(); ++i)
    {
        const auto& item = items_[(next_ + i) % items_.size()];
        if (item.request_id == request_id)
        {
            found.push_back(item);
        }
    }
    return found;
}

} // namespace jujubespan::engine
