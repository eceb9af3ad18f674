#include "jujubespan/mesh/discovery_sharing.hpp"

#include "jujubespan/policy/control_plane.hpp"

#include <algorithm>
#include <numeric>

namespace jujubespan::mesh
{

namespace
{

constexpr duration heartbeat_interval = std::chrono::milliseconds(400);
// Time without an update after which a node reads for itself. A change must
// take effect within two seconds even if a reader stops just before it.
constexpr duration standby_timeout = std::chrono::milliseconds(900);
constexpr duration subscriber_timeout = std::chrono::milliseconds(1400);
// Time allowed for a change that another node has applied to arrive here.
// Readers read changes in batches, at different times.
constexpr duration missing_change_delay = std::chrono::milliseconds(900);
// A reader whose last response is older has lost its connection to the source
// without noticing, or was paused.
constexpr duration max_contact_age = std::chrono::milliseconds(3500);
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

} // namespace

std::string_view to_string(reader_role role)
{
    switch (role)
    {
    case reader_role::primary:
        return "primary";
    case reader_role::standby:
        return "standby";
    case reader_role::subscriber:
        return "subscriber";
    }
    return "unknown";
}

discovery_sharing::discovery_sharing(std::string failure_domain,
                                     std::string backend_address)
    : failure_domain_(std::move(failure_domain)),
      backend_address_(std::move(backend_address))
{
}

void discovery_sharing::apply(const instance_directory& list)
{
    subscribers_.clear();
    role_ = reader_role::subscriber;
    const auto* self = list.find_by_backend_address(backend_address_);
    if (self == nullptr || self->leaving)
    {
        return;
    }
    const auto all = list.all();
    for (const auto& item : all)
    {
        if (item.failure_domain == failure_domain_ &&
            item.call_address != self->call_address)
        {
            subscribers_.push_back(item.call_address);
        }
    }
    if (is_reader(self->id, failure_domain_, all, 1))
    {
        role_ = reader_role::primary;
    }
    else if (is_reader(self->id, failure_domain_, all, 2))
    {
        role_ = reader_role::standby;
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
    return age <= max_contact_age;
}

void discovery_sharing::on_update(std::uint64_t revision, duration age,
                                  time_point now)
{
    if (!is_recent(age))
    {
        return;
    }
    interrupted_ = false;
    last_update_ = now;
    confirmed_revision_ = std::max(confirmed_revision_, revision);
    record_contact(now - age);
}

void discovery_sharing::on_gap()
{
    must_read_ = true;
}

bool discovery_sharing::updates_arrive(time_point now) const
{
    const duration timeout =
        role_ == reader_role::standby ? standby_timeout : subscriber_timeout;
    return last_update_ && now - *last_update_ <= timeout;
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
    reading_ = role_ == reader_role::primary || interrupted_ || must_read_ ||
               missed || !updates_arrive(now);
    return reading_;
}

bool discovery_sharing::should_forward(time_point now) const
{
    return role_ != reader_role::subscriber && reading_ && !interrupted_ &&
           !must_read_ && last_own_read_ &&
           now - *last_own_read_ <= max_contact_age;
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
            last_own_read_ ? now - *last_own_read_ : duration::zero()};
}

} // namespace jujubespan::mesh
