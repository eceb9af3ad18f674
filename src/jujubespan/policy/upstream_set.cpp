#include "jujubespan/policy/upstream_set.hpp"

#include "jujubespan/policy/stable_hash.hpp"

#include <algorithm>
#include <utility>

namespace jujubespan
{

namespace
{

// Share of its capacity that an upstream has at the beginning of a slow start.
constexpr double min_slow_start_share = 0.1;
// A refused call is retried if another upstream is below this utilisation.
constexpr double spare_utilisation = 0.9;

bool contains(std::span<const std::string> ids, std::string_view id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

upstream_set::upstream_set(std::string self, std::string domain,
                           routing_options options)
    : self_(std::move(self)), domain_(std::move(domain)), options_(options)
{
}

void upstream_set::apply(std::span<const instance> list, bool slow_start_added,
                         time_point now)
{
    std::vector<member> next;
    next.reserve(list.size());
    for (const auto& item : list)
    {
        member* known_member = find(item.id);
        if (known_member != nullptr &&
            known_member->info.call_address == item.call_address)
        {
            known_member->info = item;
            next.push_back(std::move(*known_member));
            continue;
        }
        member added;
        added.info = item;
        added.joined_at = slow_start_added ? now : now - options_.slow_start;
        next.push_back(std::move(added));
    }
    members_ = std::move(next);
    choose_subset();
}

void upstream_set::choose_subset()
{
    std::vector<member*> order;
    for (auto& m : members_)
    {
        m.in_subset = false;
        if (!m.info.leaving && !m.announced_leaving)
        {
            order.push_back(&m);
        }
    }
    const auto weight = [this](const member* m)
    { return stable_hash(m->info.id, stable_hash(self_)); };
    std::sort(order.begin(), order.end(),
              [&](auto* a, auto* b)
              {
                  const bool own_a = a->info.failure_domain == domain_;
                  const bool own_b = b->info.failure_domain == domain_;
                  return std::pair(!own_a, weight(a)) <
                         std::pair(!own_b, weight(b));
              });
    // At most half of the subset is in the local domain if there are other
    // domains, so that calls can go to those at once when all instances of the
    // own domain are overloaded or gone.
    std::size_t own = 0;
    std::size_t chosen = 0;
    for (auto* m : order)
    {
        const bool is_own = m->info.failure_domain == domain_;
        const bool own_domain_full =
            own >= (options_.subset_size + 1) / 2 && order.size() > own &&
            order.back()->info.failure_domain != domain_;
        if (chosen >= options_.subset_size || (is_own && own_domain_full))
        {
            continue;
        }
        m->in_subset = true;
        ++chosen;
        own += is_own ? 1 : 0;
    }
}

std::optional<std::string>
upstream_set::pick(std::uint64_t random, std::span<const std::string> exclude,
                   time_point now)
{
    auto pool = candidates(exclude, true, now);
    const bool saturated =
        std::all_of(pool.begin(), pool.end(),
                    [&](const member* m) { return utilisation(*m, now) >= 1; });
    if (saturated)
    {
        const auto others = candidates(exclude, false, now);
        pool.insert(pool.end(), others.begin(), others.end());
    }
    if (pool.empty())
    {
        return std::nullopt;
    }
    const std::size_t first = random % pool.size();
    const std::size_t second =
        (first + 1 +
         (random >> 32U) % std::max<std::size_t>(pool.size() - 1, 1)) %
        pool.size();
    member* chosen = pool[first];
    if (utilisation(*pool[second], now) < utilisation(*chosen, now))
    {
        chosen = pool[second];
    }
    chosen->trial_in_flight = chosen->ejections > 0;
    return chosen->info.id;
}

std::vector<upstream_set::member*>
upstream_set::candidates(std::span<const std::string> exclude, bool own_domain,
                         time_point now)
{
    std::vector<member*> result;
    for (auto& m : members_)
    {
        const bool own = m.info.failure_domain == domain_;
        if (own == own_domain && m.in_subset && is_available(m, now) &&
            !contains(exclude, m.info.id))
        {
            result.push_back(&m);
        }
    }
    return result;
}

bool upstream_set::is_available(const member& m, time_point now) const
{
    if (m.info.leaving || m.announced_leaving)
    {
        return false;
    }
    if (now < m.ejected_until)
    {
        return false;
    }
    // After an ejection, trial calls are sent one at a time until one succeeds.
    return m.ejections == 0 || !m.trial_in_flight;
}

double upstream_set::utilisation(const member& m, time_point now) const
{
    double capacity = m.info.slots;
    double used = m.in_flight;
    if (m.load.limit > 0 && now - m.load_reported_at <= options_.load_lifetime)
    {
        capacity = m.load.limit;
        used = std::max<double>(used, m.load.in_flight);
    }
    const double slow_start_share =
        seconds(now - m.joined_at) /
        std::max(seconds(options_.slow_start), 1e-3);
    capacity *= std::clamp(slow_start_share, min_slow_start_share, 1.0);
    return (used + 1) / std::max(capacity, 1e-3);
}

bool upstream_set::has_spare_capacity(std::span<const std::string> tried,
                                      time_point now) const
{
    return std::any_of(members_.begin(), members_.end(),
                       [&](const member& m)
                       {
                           return m.in_subset && is_available(m, now) &&
                                  !contains(tried, m.info.id) &&
                                  utilisation(m, now) < spare_utilisation;
                       });
}

void upstream_set::on_start(std::string_view id, time_point /*now*/)
{
    if (member* m = find(id))
    {
        ++m->in_flight;
    }
}

void upstream_set::on_finish(std::string_view id, attempt_result result,
                             time_point now)
{
    member* m = find(id);
    if (m == nullptr)
    {
        return;
    }
    m->in_flight -= m->in_flight > 0 ? 1 : 0;
    m->trial_in_flight = false;
    if (result != attempt_result::failure)
    {
        m->failures = 0;
        m->ejections = 0;
        return;
    }
    ++m->failures;
    const bool failed_trial = m->ejections > 0 && now >= m->ejected_until;
    if (m->failures >= options_.failures_to_eject || failed_trial)
    {
        eject(*m, now);
    }
}

void upstream_set::eject(member& m, time_point now)
{
    if (!is_ejection_allowed(now) && now >= m.ejected_until)
    {
        return;
    }
    const auto factor = 1U << std::min(m.ejections, 8U);
    const duration length =
        std::min(options_.initial_ejection * factor, options_.max_ejection);
    m.ejected_until = now + length;
    ++m.ejections;
    m.failures = 0;
}

bool upstream_set::is_ejection_allowed(time_point now) const
{
    std::size_t eligible = 0;
    std::size_t serving = 0;
    for (const auto& m : members_)
    {
        if (m.info.leaving || m.announced_leaving || !m.in_subset)
        {
            continue;
        }
        ++eligible;
        serving += now >= m.ejected_until ? 1 : 0;
    }
    return static_cast<double>(serving) - 1 >=
           options_.min_serving_share * static_cast<double>(eligible);
}

std::size_t upstream_set::ejected_count(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(members_.begin(), members_.end(),
                      [now](const auto& m) { return now < m.ejected_until; }));
}

void upstream_set::on_load(std::string_view id, upstream_load load,
                           time_point now)
{
    if (member* m = find(id))
    {
        m->load = load;
        m->load_reported_at = now;
    }
}

bool upstream_set::has_reported_since(std::string_view id, time_point since)
{
    const member* m = find(id);
    return m != nullptr && m->load_reported_at > since;
}

void upstream_set::on_leaving(std::string_view id)
{
    member* m = find(id);
    if (m != nullptr && !m->announced_leaving)
    {
        m->announced_leaving = true;
        choose_subset();
    }
}

void upstream_set::on_restart(std::string_view id, time_point now)
{
    if (member* m = find(id))
    {
        m->announced_leaving = false;
        m->joined_at = now;
        m->failures = 0;
        m->ejections = 0;
        m->ejected_until = {};
        choose_subset();
    }
}

void upstream_set::reset_observations()
{
    for (auto& m : members_)
    {
        m.load = {};
        m.failures = 0;
        m.ejections = 0;
        m.ejected_until = {};
        m.trial_in_flight = false;
    }
}

std::vector<std::string> upstream_set::subset() const
{
    std::vector<std::string> ids;
    for (const auto& m : members_)
    {
        if (m.in_subset)
        {
            ids.push_back(m.info.id);
        }
    }
    return ids;
}

upstream_set::member* upstream_set::find(std::string_view id)
{
    const auto found =
        std::find_if(members_.begin(), members_.end(),
                     [id](const member& m) { return m.info.id == id; });
    return found == members_.end() ? nullptr : &*found;
}

} // namespace jujubespan
