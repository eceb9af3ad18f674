#include "jujubespan/mesh/balancer.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jujubespan::mesh
{

namespace
{

// Candidates that are compared, and how many of them may be near.
constexpr std::size_t candidates = 4;
constexpr std::size_t near_candidates = 2;
constexpr duration load_lifetime = std::chrono::seconds(1);
constexpr double latency_weight = 0.1; // of one attempt in the smoothed value
constexpr double failure_weight = 0.08;
// Without attempts, failures are forgotten over this time.
constexpr duration failure_memory = std::chrono::seconds(4);
// An instance that fails this share of its attempts more than the best one is
// only probed.
constexpr double outlier_failures = 0.25;
constexpr duration probe_interval = std::chrono::milliseconds(500);
// First wait after an unreachable node; doubles up to the longest.
constexpr duration first_avoidance = std::chrono::milliseconds(200);
constexpr duration longest_avoidance = std::chrono::seconds(2);
// A node that stops is back or gone from the list by then.
constexpr duration leaving_lifetime = std::chrono::seconds(8);
// An instance that owes this many answers and sends none for several times its
// usual latency, or this long, is likely to be cut off or frozen.
constexpr std::uint32_t silent_calls = 2;
constexpr double silent_latencies = 3;
constexpr duration shortest_silence = std::chrono::milliseconds(250);
// Parts of the cost.
constexpr double idle_cost = 0.1;
constexpr double nearly_full = 0.8; // load above which room counts most
constexpr double full_cost = 3;
constexpr double failure_cost = 4;
// Links between failure domains are paid for and are the first to narrow. An
// instance elsewhere costs this much more while it is idle and nothing more
// once it is nearly full: then all slots count alike.
constexpr double other_domain_cost = 0.6;
constexpr double cold_factor = 2;
constexpr double unknown_latency = 0.5; // part of the best known one
// Longer queues tell nothing more.
constexpr double highest_pressure = 2;
constexpr double spread = 0.1; // random part of a cost

} // namespace

void balancer::apply(std::span<const instance> list, time_point /*now*/)
{
    std::vector<member> next;
    next.reserve(list.size());
    for (const auto& item : list)
    {
        member* known = find(item.id);
        const bool same = known != nullptr &&
                          known->info.call_address == item.call_address &&
                          known->info.incarnation == item.incarnation;
        if (same)
        {
            known->info = item;
            next.push_back(std::move(*known));
            continue;
        }
        member added;
        added.info = item;
        next.push_back(std::move(added));
    }
    members_ = std::move(next);
}

std::vector<balancer::member*>
balancer::usable(std::span<const std::string> exclude, time_point now)
{
    std::vector<member*> pool;
    for (auto& m : members_)
    {
        const bool tried = std::find(exclude.begin(), exclude.end(),
                                     m.info.id) != exclude.end();
        if (!tried && !m.info.leaving && now >= m.leaving_until &&
            now >= m.avoid_until)
        {
            pool.push_back(&m);
        }
    }
    return pool;
}

bool balancer::silent(const member& m, time_point now)
{
    if (m.in_flight < silent_calls)
    {
        return false;
    }
    const duration limit =
        std::max(shortest_silence, from_seconds(m.latency * silent_latencies));
    return now - std::max(m.heard_at, m.waiting_at) > limit;
}

balancer::member* balancer::drop_outliers(std::vector<member*>& pool,
                                          time_point now)
{
    double best = 1;
    for (const auto* m : pool)
    {
        best = std::min(best, failures_of(*m, now));
    }
    const auto outlier = [best, now](const member* m)
    { return failures_of(*m, now) > best + outlier_failures; };
    for (auto* m : pool)
    {
        if (outlier(m) && now >= m->next_probe)
        {
            m->next_probe = now + probe_interval;
            return m;
        }
    }
    std::erase_if(pool, outlier);
    return nullptr;
}

double balancer::best_latency(std::span<member* const> pool)
{
    double best = 0;
    bool all_known = true;
    for (const auto* m : pool)
    {
        all_known = all_known && m->latency > 0;
        if (m->latency > 0)
        {
            best = best == 0 ? m->latency : std::min(best, m->latency);
        }
    }
    // An instance that was not used yet may be faster than all others.
    return all_known ? best : best * unknown_latency;
}

double balancer::failures_of(const member& m, time_point now)
{
    return m.failures *
           std::exp(-seconds(now - m.failures_at) / seconds(failure_memory));
}

double balancer::load_of(const member& m, time_point now)
{
    double used = m.in_flight;
    double slots = std::max(1U, m.info.slots);
    if (m.load.limit > 0 && now - m.load_at <= load_lifetime)
    {
        used = std::max<double>(used, m.load.in_flight);
        slots = m.load.limit;
    }
    return used / slots;
}

// An instance that was not used yet counts as near, so that it is tried.
bool balancer::near(const member& m) const
{
    return m.info.failure_domain == domain_ || m.latency == 0;
}

double balancer::cost(const member& m, double reference, time_point now) const
{
    const double load = load_of(m, now) + 1.0 / std::max(1U, m.info.slots);
    double latency = m.latency > 0 && reference > 0 ? m.latency / reference : 1;
    latency *= now < m.info.warm_at ? cold_factor : 1;
    const double domain =
        near(m) ? 0 : other_domain_cost * std::max(0.0, 1 - load / nearly_full);
    const double full = full_cost * std::max(0.0, load - nearly_full);
    return (latency + failure_cost * failures_of(m, now)) * (idle_cost + load) +
           full + domain;
}

std::optional<double> balancer::pressure(time_point now) const
{
    double used = 0;
    double limit = 0;
    std::size_t told = 0;
    std::size_t usable = 0;
    for (const auto& m : members_)
    {
        if (m.info.leaving)
        {
            continue;
        }
        if (now < m.avoid_until || silent(m, now))
        {
            continue;
        }
        ++usable;
        if (m.load.limit > 0 && now - m.load_at <= load_lifetime)
        {
            ++told;
            used += m.load.in_flight;
            limit += m.load.limit;
        }
    }
    if (usable == 0 && !members_.empty())
    {
        return unavailable_pressure;
    }
    if (told == 0 || told * 2 < usable)
    {
        return std::nullopt;
    }
    return std::min(used / limit, highest_pressure);
}

void balancer::keep_candidates(std::vector<member*>& pool,
                               std::mt19937_64& random) const
{
    std::shuffle(pool.begin(), pool.end(), random);
    const auto others = std::partition(
        pool.begin(), pool.end(), [this](const member* m) { return near(*m); });
    const auto near_count =
        static_cast<std::size_t>(std::distance(pool.begin(), others));
    const std::size_t other_count = pool.size() - near_count;
    const std::size_t kept_near = std::max(
        near_candidates, candidates - std::min(candidates, other_count));
    if (near_count > kept_near)
    {
        pool.erase(pool.begin() + static_cast<std::ptrdiff_t>(kept_near),
                   others);
    }
    pool.resize(std::min(pool.size(), candidates));
}

std::optional<std::string> balancer::pick(std::span<const std::string> exclude,
                                          std::mt19937_64& random,
                                          time_point now)
{
    auto pool = usable(exclude, now);
    const bool all_silent =
        std::all_of(pool.begin(), pool.end(),
                    [now](const member* m) { return silent(*m, now); });
    if (!all_silent)
    {
        std::erase_if(pool, [now](const member* m) { return silent(*m, now); });
    }
    if (const auto* probed = drop_outliers(pool, now))
    {
        return probed->info.id;
    }
    if (pool.empty())
    {
        return std::nullopt;
    }
    const double reference = best_latency(pool);
    keep_candidates(pool, random);
    std::uniform_real_distribution<double> noise(1 - spread, 1 + spread);
    member* chosen = nullptr;
    double least = std::numeric_limits<double>::max();
    for (auto* m : pool)
    {
        const double value = cost(*m, reference, now) * noise(random);
        if (value < least)
        {
            least = value;
            chosen = m;
        }
    }
    return chosen->info.id;
}

void balancer::on_start(std::string_view id, time_point now)
{
    if (member* m = find(id))
    {
        if (m->in_flight == 0 || m->waiting_at < m->heard_at)
        {
            m->waiting_at = now;
        }
        ++m->in_flight;
    }
}

void balancer::on_end(std::string_view id, attempt_end end, duration latency,
                      time_point now)
{
    member* m = find(id);
    if (m == nullptr)
    {
        return;
    }
    m->in_flight -= m->in_flight > 0 ? 1 : 0;
    if (end == attempt_end::unreachable)
    {
        const auto factor = 1U << std::min(m->unreachable, 4U);
        m->avoid_until =
            now + std::min(first_avoidance * factor, longest_avoidance);
        ++m->unreachable;
        return;
    }
    if (end == attempt_end::withdrawn)
    {
        return;
    }
    m->unreachable = 0;
    m->heard_at = now;
    const bool bad = end == attempt_end::failed || end == attempt_end::rejected;
    const double before = failures_of(*m, now);
    m->failures = before + failure_weight * ((bad ? 1.0 : 0.0) - before);
    m->failures_at = now;
    if (latency > duration::zero() && end == attempt_end::served)
    {
        const double value = seconds(latency);
        m->latency = m->latency == 0
                         ? value
                         : m->latency + latency_weight * (value - m->latency);
    }
}

void balancer::on_load(std::string_view id, upstream_load load, time_point now)
{
    if (member* m = find(id))
    {
        m->load = load;
        m->load_at = now;
    }
}

void balancer::on_leaving(std::string_view id, time_point now)
{
    if (member* m = find(id))
    {
        m->leaving_until = now + leaving_lifetime;
    }
}

balancer::member* balancer::find(std::string_view id)
{
    const auto found =
        std::find_if(members_.begin(), members_.end(),
                     [id](const member& m) { return m.info.id == id; });
    return found == members_.end() ? nullptr : &*found;
}

} // namespace jujubespan::mesh
