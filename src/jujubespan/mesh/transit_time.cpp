#include "jujubespan/mesh/transit_time.hpp"

#include <algorithm>
#include <string>

namespace jujubespan::mesh
{

namespace
{

// Messages that arrive together after a cut of the connection may all be
// seconds late. Within this time after the first one, the queue is empty and a
// message has arrived without delay.
constexpr duration settling_time = std::chrono::seconds(1);
constexpr std::uint64_t min_message_count = 3;
// Boot clocks of two hosts drift apart by up to 500 ppm each while NTP adjusts
// them. The smallest difference rises at this rate: a constant one would, after
// hours, count the drift as delay. If every message is delayed, the estimate is
// too small by 60 ms after a minute.
constexpr double drift_allowance = 0.001;
// After silence for this time, the sender counts as a new one.
constexpr duration retention = std::chrono::seconds(30);

} // namespace

transit_time::estimate& transit_time::find_estimate(std::string_view sender,
                                                    std::uint64_t incarnation,
                                                    duration difference,
                                                    time_point received_at)
{
    const auto found = estimates_.find(sender);
    if (found != estimates_.end() && found->second.incarnation == incarnation &&
        received_at - found->second.last_received_at <= retention)
    {
        return found->second;
    }
    std::erase_if(
        estimates_, [received_at](const auto& entry)
        { return received_at - entry.second.last_received_at > retention; });
    return estimates_
        .insert_or_assign(
            std::string(sender),
            estimate{incarnation, 0, received_at, received_at, difference})
        .first->second;
}

std::optional<duration> transit_time::on_message(std::string_view sender,
                                                 std::uint64_t incarnation,
                                                 duration sent_at,
                                                 time_point received_at)
{
    const duration difference = received_at.time_since_epoch() - sent_at;
    auto& known = find_estimate(sender, incarnation, difference, received_at);
    const duration drift = from_seconds(
        seconds(received_at - known.last_received_at) * drift_allowance);
    known.min_difference = std::min(known.min_difference + drift, difference);
    known.last_received_at = received_at;
    ++known.message_count;
    if (known.message_count < min_message_count ||
        received_at - known.first_received_at < settling_time)
    {
        return std::nullopt;
    }
    return difference - known.min_difference;
}

} // namespace jujubespan::mesh
