#include "jujubespan/mesh/running_calls.hpp"

namespace jujubespan::mesh
{

void running_calls::add(std::string_view request_id, running_call call)
{
    calls_[std::string(request_id)] = std::move(call);
}

std::vector<service_cost> running_calls::remove(std::string_view request_id)
{
    const auto found = calls_.find(request_id);
    if (found == calls_.end())
    {
        return {};
    }
    auto costs = std::move(found->second.costs);
    calls_.erase(found);
    return costs;
}

std::vector<service_cost> running_calls::abandon(std::string_view request_id)
{
    const auto found = calls_.find(request_id);
    if (found == calls_.end())
    {
        return {};
    }
    auto& call = found->second;
    call.abandoned = true;
    abandoned_.insert({call.deadline, found->first});
    return std::exchange(call.costs, {});
}

void running_calls::expire(time_point now)
{
    while (!abandoned_.empty() && abandoned_.begin()->first <= now)
    {
        const auto found = calls_.find(abandoned_.begin()->second);
        if (found != calls_.end() && found->second.abandoned &&
            found->second.deadline <= now)
        {
            calls_.erase(found);
        }
        abandoned_.erase(abandoned_.begin());
    }
}

running_call* running_calls::find_parent(std::string_view request_id)
{
    const auto dot = request_id.rfind('.');
    if (dot == std::string_view::npos)
    {
        return nullptr;
    }
    const auto found = calls_.find(request_id.substr(0, dot));
    return found == calls_.end() ? nullptr : &found->second;
}

} // namespace jujubespan::mesh
