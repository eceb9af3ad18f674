#include "jujubespan/mesh/configuration.hpp"

#include <algorithm>
#include <cctype>
#include <set>

namespace jujubespan::mesh
{

namespace
{

std::string normalize_host(std::string_view host)
{
    std::string key(host.substr(0, host.rfind(':')));
    std::transform(key.begin(), key.end(), key.begin(),
                   [](unsigned char c)
                   { return static_cast<char>(std::tolower(c)); });
    return key;
}

} // namespace

std::vector<std::string> named_services(const configuration& value)
{
    std::set<std::string> names;
    for (const auto& item : value.services)
    {
        names.insert(item.name);
    }
    for (const auto& item : value.routes)
    {
        for (const auto& target : item.targets)
        {
            names.insert(target.service);
        }
    }
    return {names.begin(), names.end()};
}

route_table::route_table(std::shared_ptr<const configuration> source)
    : source_(std::move(source))
{
    for (const auto& item : source_->routes)
    {
        by_host_[normalize_host(item.host)].push_back(&item);
    }
    for (auto& [host, routes] : by_host_)
    {
        std::stable_sort(routes.begin(), routes.end(),
                         [](const route* a, const route* b)
                         { return a->prefix.size() > b->prefix.size(); });
    }
}

const route* route_table::find(std::string_view host,
                               std::string_view path) const
{
    const auto routes = by_host_.find(normalize_host(host));
    if (routes == by_host_.end())
    {
        return nullptr;
    }
    const auto found = std::find_if(
        routes->second.begin(), routes->second.end(),
        [path](const route* item) { return path.starts_with(item->prefix); });
    return found == routes->second.end() ? nullptr : *found;
}

std::string_view route_table::choose_target(const route& matched)
{
    if (matched.targets.empty())
    {
        return {};
    }
    if (matched.targets.size() == 1)
    {
        return matched.targets.front().service;
    }
    auto& credits = credits_[matched.name];
    credits.resize(matched.targets.size(), 0);
    double total = 0;
    std::size_t best = 0;
    for (std::size_t i = 0; i < credits.size(); ++i)
    {
        credits[i] += matched.targets[i].weight;
        total += matched.targets[i].weight;
        best = credits[i] > credits[best] ? i : best;
    }
    credits[best] -= total;
    return matched.targets[best].service;
}

const backend_options*
route_table::backend_options_of(std::string_view service) const
{
    const auto found =
        std::find_if(source_->services.begin(), source_->services.end(),
                     [service](const backend_options& item)
                     { return item.name == service; });
    return found == source_->services.end() ? nullptr : &*found;
}

} // namespace jujubespan::mesh
