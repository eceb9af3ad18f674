#include "jujubespan/mesh/discovery_sharing.hpp"

#include "jujubespan/policy/stable_hash.hpp"

#include <algorithm>
#include <map>
#include <numeric>
#include <utility>

namespace jujubespan::mesh
{

namespace
{

constexpr duration heartbeat_interval = std::chrono::milliseconds(400);
// Age of the last answer of the source to the reader of a node's updates, after
// which the node reads for itself; longer for those that another one reads for.
// A change must take effect within two seconds even if the source stops
// answering a reader, without an error, just before it.
constexpr duration relay_max_age = std::chrono::milliseconds(1200);
constexpr duration standby_max_age = std::chrono::milliseconds(1400);
constexpr duration subscriber_max_age = std::chrono::milliseconds(1600);
// Time allowed for a change that another node has applied to arrive here.
// Readers read changes in batches, at different times.
constexpr duration missing_change_delay = std::chrono::milliseconds(900);
// Relays read before the others when confirmations are missing, so that their
// subscribers need not.
constexpr double standby_confirmation_factor = 1.05;
constexpr double subscriber_confirmation_factor = 1.1;
// Bounds the calls to a source whose answers confirm nothing.
constexpr duration min_limited_wait = std::chrono::milliseconds(100);
// Larger changes would occupy the link of the reader for too long when they are
// sent to all nodes of a failure domain.
constexpr std::size_t max_forwarded_bytes = 64U << 10U;

std::size_t size_of(const versioned_delta& changes)
{
    return std::accumulate(
        changes.entries.begin(), changes.entries.end(), std::size_t{0},
        [](std::size_t sum, const versioned_entry& entry)
        { return sum + entry.key.size() + entry.value.size(); });
}

// The first two candidates of a failure domain, by rendezvous hash.
struct domain_readers
{
    const instance* first{nullptr};
    const instance* second{nullptr};
    std::uint64_t first_rank{0};
    std::uint64_t second_rank{0};

    void add(const instance& candidate)
    {
        const auto rank = stable_hash(candidate.id);
        if (first == nullptr || rank > first_rank)
        {
            second = std::exchange(first, &candidate);
            second_rank = std::exchange(first_rank, rank);
        }
        else if (second == nullptr || rank > second_rank)
        {
            second = &candidate;
            second_rank = rank;
        }
    }
};

using readers_by_domain = std::map<std::string_view, domain_readers>;

readers_by_domain select_readers(std::span<const instance> list)
{
    readers_by_domain readers;
    for (const auto& item : list)
    {
        if (!item.leaving)
        {
            readers[item.failure_domain].add(item);
        }
    }
    return readers;
}

const instance* select_root(const readers_by_domain& readers)
{
    const auto root =
        std::max_element(readers.begin(), readers.end(),
                         [](const auto& a, const auto& b)
                         { return a.second.first_rank < b.second.first_rank; });
    return root == readers.end() ? nullptr : root->second.first;
}

} // namespace

std::string_view to_string(reader_role role)
{
    switch (role)
    {
    case reader_role::root:
        return "root";
    case reader_role::relay:
        return "relay";
    case reader_role::standby:
        return "standby";
    case reader_role::subscriber:
        return "subscriber";
    }
    return "unknown";
}

discovery_sharing::discovery_sharing(std::string backend_address)
    : backend_address_(std::move(backend_address))
{
}

void discovery_sharing::apply(const instance_directory& list)
{
    subscribers_.clear();
    role_ = reader_role::subscriber;
    const auto* self = list.find_by_backend_address(backend_address_);
    listed_ = self != nullptr;
    if (self == nullptr || self->leaving)
    {
        return;
    }
    const auto all = list.all();
    const auto readers = select_readers(all);
    const auto& own_domain = readers.at(self->failure_domain);
    if (self->id == select_root(readers)->id)
    {
        role_ = reader_role::root;
    }
    else if (self->id == own_domain.first->id)
    {
        role_ = reader_role::relay;
    }
    else if (own_domain.second != nullptr && self->id == own_domain.second->id)
    {
        role_ = reader_role::standby;
    }
    for (const auto& item : all)
    {
        const bool same_domain = item.failure_domain == self->failure_domain;
        if (same_domain && item.call_address != self->call_address)
        {
            subscribers_.push_back(item.call_address);
        }
    }
    for (const auto& [domain, candidates] : readers)
    {
        if (role_ == reader_role::root && domain != self->failure_domain)
        {
            subscribers_.push_back(candidates.first->call_address);
        }
    }
}

void discovery_sharing::record_contact(time_point at)
{
    last_contact_ = std::max(last_contact_.value_or(at), at);
}

void discovery_sharing::on_own_read(std::uint64_t revision, time_point now)
{
    interrupted_ = false;
    must_read_ = false;
    last_own_read_ = now;
    confirmed_revision_ = std::max(confirmed_revision_, revision);
    record_contact(now);
}

void discovery_sharing::on_interrupted()
{
    interrupted_ = true;
}

bool discovery_sharing::is_recent(duration age)
{
    return age <= relay_max_age;
}

void discovery_sharing::on_update(std::uint64_t revision, duration age,
                                  time_point now)
{
    if (!is_recent(age))
    {
        return;
    }
    interrupted_ = false;
    const auto contact = now - age;
    update_contact_ = std::max(update_contact_.value_or(contact), contact);
    confirmed_revision_ = std::max(confirmed_revision_, revision);
    record_contact(contact);
}

void discovery_sharing::on_confirmed(std::uint64_t revision, time_point as_of)
{
    confirmed_revision_ = std::max(confirmed_revision_, revision);
    confirmed_at_ = std::max(confirmed_at_.value_or(as_of), as_of);
}

duration discovery_sharing::limit_wait(duration usual, time_point now) const
{
    if (!max_confirmed_age_)
    {
        return usual;
    }
    const auto left =
        confirmed_at_ ? *confirmed_at_ + *max_confirmed_age_ - now : duration{};
    return std::clamp(left, std::min(min_limited_wait, usual), usual);
}

void discovery_sharing::on_gap()
{
    must_read_ = true;
}

duration discovery_sharing::max_update_age() const
{
    switch (role_)
    {
    case reader_role::relay:
        return relay_max_age;
    case reader_role::standby:
        return standby_max_age;
    default:
        return subscriber_max_age;
    }
}

bool discovery_sharing::updates_arrive(time_point now) const
{
    return update_contact_ && now - *update_contact_ <= max_update_age();
}

bool discovery_sharing::lacks_confirmation(time_point now) const
{
    if (!max_confirmed_age_)
    {
        return false;
    }
    const double factor = role_ == reader_role::relay ? 1
                          : role_ == reader_role::standby
                              ? standby_confirmation_factor
                              : subscriber_confirmation_factor;
    return !confirmed_at_ || seconds(now - *confirmed_at_) >
                                 seconds(*max_confirmed_age_) * factor;
}

// Waits for one missing revision at a time. In a series of changes there is
// always one that has not arrived yet.
bool discovery_sharing::misses_change(std::uint64_t revision, time_point now)
{
    if (seen_revision_ <= revision)
    {
        missing_revision_ = 0;
        return false;
    }
    if (missing_revision_ <= revision)
    {
        missing_revision_ = seen_revision_;
        missing_since_ = now;
    }
    return now - missing_since_ > missing_change_delay;
}

bool discovery_sharing::should_read(std::uint64_t revision, time_point now)
{
    const bool missed = misses_change(revision, now);
    reading_ = role_ == reader_role::root || interrupted_ || must_read_ ||
               missed || !updates_arrive(now) || lacks_confirmation(now);
    return reading_;
}

bool discovery_sharing::should_forward(time_point now) const
{
    return role_ != reader_role::subscriber && reading_ && !interrupted_ &&
           !must_read_ && last_own_read_ && is_recent(now - *last_own_read_);
}

bool discovery_sharing::heartbeat_due(time_point now)
{
    if (!should_forward(now) || now < next_heartbeat_)
    {
        return false;
    }
    next_heartbeat_ = now + heartbeat_interval;
    return true;
}

discovery_update discovery_sharing::make_heartbeat(time_point now) const
{
    return make_update({confirmed_revision_, confirmed_revision_, false, {}},
                       now);
}

discovery_update discovery_sharing::make_update(versioned_delta changes,
                                                time_point now) const
{
    if (size_of(changes) > max_forwarded_bytes)
    {
        changes.after = changes.revision;
        changes.entries.clear();
    }
    return {std::move(changes),
            last_own_read_ ? now - *last_own_read_ : duration::zero(),
            confirmed_at_};
}

} // namespace jujubespan::mesh
