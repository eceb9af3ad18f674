#ifndef JUJUBESPAN_MESH_TRANSIT_TIME_HPP
#define JUJUBESPAN_MESH_TRANSIT_TIME_HPP

#include "jujubespan/policy/string_map.hpp"
#include "jujubespan/policy/time.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace jujubespan::mesh
{

/// @brief Estimates how long messages of other nodes were under way, including
/// the time that they waited in queues of the sender and the receiver.
///
/// The boot clocks of two hosts differ by an unknown amount. The smallest
/// difference between receipt and sending that was observed counts as a
/// message without delay; the estimate is the excess over it. It is too small
/// by the delay of the fastest message, which is why it is given only after
/// messages have arrived for some time.
class transit_time
{
public:
    /// @param incarnation of the sender's process, whose host may have been
    /// restarted in between.
    /// @param sent_at boot clock of the sender.
    /// @return empty while too few messages of this incarnation have arrived.
    std::optional<duration> on_message(std::string_view sender,
                                       std::uint64_t incarnation,
                                       duration sent_at,
                                       time_point received_at);

private:
    struct estimate
    {
        std::uint64_t incarnation{0};
        std::uint64_t message_count{0};
        time_point first_received_at{};
        time_point last_received_at{};
        /// Difference between the clocks for a message without delay.
        duration min_difference{};
    };

    estimate& find_estimate(std::string_view sender, std::uint64_t incarnation,
                            duration difference, time_point received_at);

    string_map<estimate> estimates_; // by sender
};

} // namespace jujubespan::mesh

#endif
