#include "jujubespan/mesh/leaving_instances.hpp"

namespace jujubespan::mesh
{

namespace
{

constexpr std::size_t max_instances = 4096;

} // namespace

bool leaving_instances::record(std::string_view id, std::uint64_t incarnation)
{
    const auto found = incarnations_.find(id);
    if (found != incarnations_.end())
    {
        if (found->second == incarnation || incarnation == 0)
        {
            return false;
        }
        found->second = incarnation;
        return true;
    }
    if (order_.size() >= max_instances)
    {
        incarnations_.erase(order_.front());
        order_.pop_front();
    }
    incarnations_.emplace(id, incarnation);
    order_.emplace_back(id);
    return true;
}

bool leaving_instances::contains(std::string_view id,
                                 std::uint64_t incarnation) const
{
    const auto found = incarnations_.find(id);
    return found != incarnations_.end() &&
           (found->second == incarnation || found->second == 0 ||
            incarnation == 0);
}

std::uint64_t leaving_instances::incarnation(std::string_view id) const
{
    const auto found = incarnations_.find(id);
    return found == incarnations_.end() ? 0 : found->second;
}

void leaving_instances::on_listed(std::string_view id,
                                  std::uint64_t incarnation)
{
    const auto found = incarnations_.find(id);
    if (found != incarnations_.end() && found->second == 0)
    {
        found->second = incarnation;
    }
}

} // namespace jujubespan::mesh
