#include "jujubespan/mesh/balancer.hpp"

#include "jujubespan/mesh/server_load.hpp"
#include "jujubespan/policy/stable_hash.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace jujubespan::mesh
{

namespace
{

// Number of candidates to compare, and the number of local instances among
// them while there are enough others.
constexpr std::size_t candidate_count = 4;
constexpr std::size_t min_local_candidates = 2;
constexpr duration load_lifetime = std::chrono::seconds(1);
// Weight of one attempt in the smoothed latency and in the failure rate.
constexpr double latency_weight = 0.1;
constexpr double failure_weight = 0.08;
// Time constant of the decay of the failure rate without attempts.
constexpr duration failure_decay_time = std::chrono::seconds(4);
// An instance is an outlier when its failure rate exceeds the lowest one by
// more than this. It gets only probes.
constexpr double outlier_failure_margin = 0.25;
constexpr duration probe_interval = std::chrono::milliseconds(500);
// Time without attempts after an instance was unreachable. Doubles with each
// further failure up to the maximum.
constexpr duration min_avoidance = std::chrono::milliseconds(200);
constexpr duration max_avoidance = std::chrono::seconds(2);
// Longest time for which an instance whose node announced that it is stopping
// is the last choice. Usually its next process is seen earlier.
constexpr duration max_stopping_time = std::chrono::seconds(8);
// Time for which an instance that refused a call for its rate limit is used
// only if all others are full as well; longer if its limit allows fewer starts.
constexpr duration min_pacing_time = std::chrono::milliseconds(100);
// An instance is likely cut off or frozen when it has at least
// min_unanswered_calls open and has sent no reply for
// unresponsive_latency_factor times its usual latency, and for at least
// min_unresponsive_time.
constexpr std::uint32_t min_unanswered_calls = 2;
constexpr double unresponsive_latency_factor = 3;
constexpr duration min_unresponsive_time = std::chrono::milliseconds(250);
// Terms of the cost of an instance.
constexpr double idle_cost = 0.1;
constexpr double high_load = 0.8; // load above which the cost grows steeply
constexpr double high_load_cost = 3;
constexpr double failure_cost = 4;
// Links between failure domains cost money and are the first to become
// congested. An idle instance in another domain costs this much more; the
// difference falls to zero at high_load, where the slots of all domains count
// alike.
constexpr double other_domain_cost = 0.6;
constexpr double warm_up_latency_factor = 2;
constexpr double unknown_latency_factor = 0.5; // of the best known latency
// Upper bound of the reported pressure; longer queues carry no further
// information.
constexpr double max_pressure = 2;
constexpr double cost_noise = 0.1; // relative random variation of a cost

// Factor by which a call adds more to the load of a slow server than to that of
// a usual one: its slots divided by its slow-down factor are compared. For a
// server slower than usual the effect falls to zero at high_load, where its
// free slots are needed as well; in trials, servers at 1.2 times their capacity
// completed 1 % fewer requests with the full effect.
double load_factor_of(double slowness, double load)
{
    return slowness <= 1
               ? slowness
               : 1 + (slowness - 1) * std::max(0.0, 1 - load / high_load);
}

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
balancer::usable_members(std::span<const std::string> exclude, time_point now)
{
    std::vector<member*> pool;
    for (auto& m : members_)
    {
        const bool tried = std::find(exclude.begin(), exclude.end(),
                                     m.info.id) != exclude.end();
        if (!tried && !m.info.leaving)
        {
            pool.push_back(&m);
        }
    }
    prefer_without(
        pool, [this, now](const member& m)
        { return enabled(mechanism::avoidance) && now < m.avoid_until; });
    prefer_without(pool, [now](const member& m)
                   { return now < m.node_stopping_until; });
    return pool;
}

bool balancer::is_unresponsive(const member& m, time_point now) const
{
    if (m.in_flight < min_unanswered_calls ||
        !enabled(mechanism::unresponsive_rule))
    {
        return false;
    }
    const duration limit = std::max(
        min_unresponsive_time,
        from_seconds(latency_of(m, now) * unresponsive_latency_factor));
    return now - std::max(m.last_reply_at, m.waiting_since) > limit;
}

balancer::member* balancer::probe_or_drop_outliers(std::vector<member*>& pool,
                                                   time_point now) const
{
    if (!enabled(mechanism::outlier_exclusion))
    {
        return nullptr;
    }
    double best = 1;
    for (const auto* m : pool)
    {
        best = std::min(best, failure_rate_of(*m, now));
    }
    const auto is_outlier = [best, now](const member* m)
    { return failure_rate_of(*m, now) > best + outlier_failure_margin; };
    for (auto* m : pool)
    {
        if (is_outlier(m) && now >= m->next_probe_at)
        {
            m->next_probe_at = now + probe_interval;
            return m;
        }
    }
    std::erase_if(pool, is_outlier);
    return nullptr;
}

double balancer::best_latency(std::span<member* const> pool,
                              time_point now) const
{
    double best = 0;
    bool all_known = true;
    for (const auto* m : pool)
    {
        all_known = all_known && m->latency > 0;
        if (m->latency > 0)
        {
            const double latency = latency_of(*m, now);
            best = best == 0 ? latency : std::min(best, latency);
        }
    }
    // An unused instance may be faster than all others.
    return all_known ? best : best * unknown_latency_factor;
}

double balancer::failure_rate_of(const member& m, time_point now)
{
    return m.failure_rate * std::exp(-seconds(now - m.failure_rate_at) /
                                     seconds(failure_decay_time));
}

double balancer::slowness_of(const member& m, time_point now) const
{
    if (!enabled(mechanism::slow_down_factor))
    {
        return 1;
    }
    return m.load.slowness > 0
               ? faded_slowness(m.load.slowness, m.mean_slowness,
                                now - m.load_at)
               : m.mean_slowness;
}

double balancer::latency_of(const member& m, time_point now) const
{
    return m.latency * slowness_of(m, now);
}

double balancer::load_of(const member& m, time_point now) const
{
    double in_use = m.in_flight;
    double slots = std::max(1U, m.info.slots);
    if (m.load.limit > 0 && now - m.load_at <= load_lifetime &&
        enabled(mechanism::reported_load))
    {
        in_use = std::max<double>(in_use, m.load.in_flight);
        slots = m.load.limit;
    }
    return in_use / slots;
}

// An unused instance counts as local, so that it is tried.
bool balancer::is_local(const member& m) const
{
    return m.info.failure_domain == failure_domain_ || m.latency == 0;
}

double balancer::cost_of(const member& m, double reference_latency,
                         time_point now) const
{
    const double load = load_of(m, now) + 1.0 / std::max(1U, m.info.slots);
    double latency = m.latency > 0 && reference_latency > 0 &&
                             enabled(mechanism::latency_cost)
                         ? latency_of(m, now) / reference_latency
                         : 1;
    latency *= now < m.info.warm_at && enabled(mechanism::warm_up_cost)
                   ? warm_up_latency_factor
                   : 1;
    const double domain_penalty =
        is_local(m) || !enabled(mechanism::domain_preference)
            ? 0
            : other_domain_cost * std::max(0.0, 1 - load / high_load);
    const double high_load_penalty =
        high_load_cost * std::max(0.0, load - high_load);
    const double failures = enabled(mechanism::failure_cost)
                                ? failure_cost * failure_rate_of(m, now)
                                : 0;
    return (latency + failures) *
               (idle_cost + load * load_factor_of(slowness_of(m, now), load)) +
           high_load_penalty + domain_penalty;
}

std::optional<double> balancer::pressure(time_point now) const
{
    double in_use = 0;
    double limit = 0;
    std::size_t reporting = 0;
    std::size_t reachable = 0;
    for (const auto& m : members_)
    {
        if (m.info.leaving)
        {
            continue;
        }
        if (now < m.avoid_until || is_unresponsive(m, now))
        {
            continue;
        }
        ++reachable;
        if (m.load.limit > 0 && now - m.load_at <= load_lifetime)
        {
            ++reporting;
            in_use += m.load.in_flight;
            limit += m.load.limit;
        }
    }
    if (reachable == 0 && !members_.empty())
    {
        return unavailable_pressure;
    }
    if (reporting == 0 || reporting * 2 < reachable)
    {
        return std::nullopt;
    }
    return std::min(in_use / limit, max_pressure);
}

void balancer::sample_candidates(std::vector<member*>& pool,
                                 std::mt19937_64& random) const
{
    std::shuffle(pool.begin(), pool.end(), random);
    const auto others =
        std::partition(pool.begin(), pool.end(),
                       [this](const member* m) { return is_local(*m); });
    const auto local_count =
        static_cast<std::size_t>(std::distance(pool.begin(), others));
    const std::size_t other_count = pool.size() - local_count;
    const std::size_t kept_local =
        std::max(min_local_candidates,
                 candidate_count - std::min(candidate_count, other_count));
    if (local_count > kept_local)
    {
        pool.erase(pool.begin() + static_cast<std::ptrdiff_t>(kept_local),
                   others);
    }
    pool.resize(std::min(pool.size(), candidate_count));
}

void balancer::prefer_without(std::vector<member*>& pool,
                              const std::function<bool(const member&)>& match)
{
    const auto matches = [&match](const member* m) { return match(*m); };
    if (!std::all_of(pool.begin(), pool.end(), matches))
    {
        std::erase_if(pool, matches);
    }
}

std::optional<std::string> balancer::pick(std::span<const std::string> exclude,
                                          std::mt19937_64& random,
                                          time_point now)
{
    auto pool = usable_members(exclude, now);
    prefer_without(pool, [this, now](const member& m)
                   { return is_unresponsive(m, now); });
    prefer_without(pool,
                   [now](const member& m) { return now < m.paced_until; });
    if (const auto* probed = probe_or_drop_outliers(pool, now))
    {
        return probed->info.id;
    }
    if (pool.empty())
    {
        return std::nullopt;
    }
    const double reference_latency = best_latency(pool, now);
    sample_candidates(pool, random);
    std::uniform_real_distribution<double> noise(1 - cost_noise,
                                                 1 + cost_noise);
    member* chosen = nullptr;
    double least = std::numeric_limits<double>::max();
    for (auto* m : pool)
    {
        const double value =
            cost_of(*m, reference_latency, now) * noise(random);
        if (value < least)
        {
            least = value;
            chosen = m;
        }
    }
    return chosen->info.id;
}

std::optional<std::string>
balancer::pick_by_key(std::uint64_t key, std::span<const std::string> exclude,
                      time_point now)
{
    const auto pool = usable_members(exclude, now);
    const auto rank = [key](const member* m)
    { return stable_hash(m->info.id, key); };
    const auto chosen = std::max_element(pool.begin(), pool.end(),
                                         [&](const member* a, const member* b)
                                         { return rank(a) < rank(b); });
    return chosen == pool.end() ? std::nullopt
                                : std::optional((*chosen)->info.id);
}

void balancer::on_attempt_start(std::string_view id, time_point now)
{
    if (member* m = find(id))
    {
        if (m->in_flight == 0 || m->waiting_since < m->last_reply_at)
        {
            m->waiting_since = now;
        }
        ++m->in_flight;
    }
}

void balancer::on_attempt_end(std::string_view id, attempt_outcome outcome,
                              duration latency, time_point now)
{
    member* m = find(id);
    if (m == nullptr)
    {
        return;
    }
    m->in_flight -= m->in_flight > 0 ? 1 : 0;
    if (outcome == attempt_outcome::unreachable)
    {
        const auto factor = 1U << std::min(m->unreachable_count, 4U);
        m->avoid_until = now + std::min(min_avoidance * factor, max_avoidance);
        ++m->unreachable_count;
        return;
    }
    if (outcome == attempt_outcome::cancelled)
    {
        return;
    }
    m->unreachable_count = 0;
    m->last_reply_at = now;
    if (outcome == attempt_outcome::paced)
    {
        const double interval = 1 / std::max(m->rate_limit.value_or(1), 1.0);
        m->paced_until =
            now + std::max(min_pacing_time, from_seconds(interval));
    }
    const bool failed = outcome == attempt_outcome::failed ||
                        outcome == attempt_outcome::rejected;
    const double before = failure_rate_of(*m, now);
    m->failure_rate = before + failure_weight * ((failed ? 1.0 : 0.0) - before);
    m->failure_rate_at = now;
    if (latency > duration::zero() && outcome == attempt_outcome::success)
    {
        const bool reported = m->load.slowness > 0 && m->load_at == now &&
                              enabled(mechanism::slow_down_factor);
        const double slowness = reported ? m->load.slowness : 1;
        const double value = seconds(latency) / slowness;
        const double weight = m->latency == 0 ? 1 : latency_weight;
        m->mean_slowness += weight * (slowness - m->mean_slowness);
        m->latency += weight * (value - m->latency);
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

bool balancer::on_rate_limit(std::string_view id,
                             std::optional<double> rate_limit)
{
    member* m = find(id);
    if (m == nullptr)
    {
        return false;
    }
    const bool changed = m->rate_limit.has_value() != rate_limit.has_value();
    m->rate_limit = rate_limit;
    if (!rate_limit)
    {
        m->paced_until = {};
    }
    return changed;
}

std::optional<double> balancer::rate_limit(std::string_view id) const
{
    const member* m = find(id);
    return m == nullptr ? std::nullopt : m->rate_limit;
}

void balancer::on_node_stopping(std::string_view id, time_point now)
{
    if (member* m = find(id))
    {
        m->node_stopping_until = now + max_stopping_time;
    }
}

bool balancer::on_node_seen(std::string_view id, std::uint64_t incarnation)
{
    member* m = find(id);
    if (m == nullptr || m->node_incarnation == incarnation ||
        !enabled(mechanism::restart_detection))
    {
        return false;
    }
    const bool restarted = m->node_incarnation != 0;
    m->node_incarnation = incarnation;
    m->node_stopping_until = {};
    m->avoid_until = {};
    m->unreachable_count = 0;
    return restarted;
}

bool balancer::on_backend_leaving(std::string_view id)
{
    member* m = find(id);
    if (m == nullptr || m->info.leaving)
    {
        return false;
    }
    m->info.leaving = true;
    return true;
}

const balancer::member* balancer::find(std::string_view id) const
{
    const auto found =
        std::find_if(members_.begin(), members_.end(),
                     [id](const member& m) { return m.info.id == id; });
    return found == members_.end() ? nullptr : &*found;
}

balancer::member* balancer::find(std::string_view id)
{
    return const_cast<member*>(std::as_const(*this).find(id));
}

} // namespace jujubespan::mesh
