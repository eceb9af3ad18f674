#ifndef JUJUBESPAN_MESH_SERVER_END_DETECTOR_HPP
#define JUJUBESPAN_MESH_SERVER_END_DETECTOR_HPP

#include "jujubespan/engine/call.hpp"
#include "jujubespan/policy/time.hpp"

#include <optional>

namespace jujubespan::mesh
{

/// @brief Distinguishes the end of the local backend server's process from
/// other failures of exchanges with it.
///
/// A damaged response, a lost answer or a reset connection looks like the end
/// of the process to a single exchange. Therefore a failed exchange is followed
/// by a probe: a refused connection shows that no process listens any more.
class server_end_detector
{
public:
    /// @brief What a failed exchange shows.
    enum class finding
    {
        probe_needed, ///< Unknown; the caller sends a probe.
        undecided,    ///< Unknown until the probe in progress ends.
        ended         ///< Part of the end that the last probe has shown.
    };

    finding on_exchange_failed(time_point started_at, time_point now);

    /// @brief The server answered an exchange.
    void on_response();

    /// @return true when the process has ended.
    bool on_probe_end(engine::backend_probe_result result, time_point now);

    /// @brief True while the result of a probe is outstanding.
    [[nodiscard]] bool is_probing() const { return probe_sent_at_.has_value(); }

    /// @brief Gives up a probe whose result is overdue.
    /// @return true when it did.
    bool give_up_probe(time_point now);

private:
    std::optional<time_point> probe_sent_at_;
    std::optional<time_point> ended_at_; ///< Nothing while it answers.
};

} // namespace jujubespan::mesh

#endif
