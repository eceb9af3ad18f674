#ifndef JUJUBESPAN_MESH_SERVER_LOAD_HPP
#define JUJUBESPAN_MESH_SERVER_LOAD_HPP

#include "jujubespan/policy/string_map.hpp"
#include "jujubespan/policy/time.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace jujubespan::mesh
{

/// @brief Load and present speed that a backend server states in a response.
struct server_load
{
    std::uint32_t running{0};
    std::uint32_t waiting{0};
    std::uint32_t slots{0};
    /// Execution time relative to the usual one, 1: as usual; zero when the
    /// header has only the first three figures.
    double slowness{0};

    bool operator==(const server_load&) const = default;
};

/// @brief Parses a load header: running requests, waiting requests, slots and
/// the execution time in percent of the usual one, separated by commas. The
/// last figure may be absent; blanks around a figure are allowed.
/// @return nothing when a figure is missing, negative, not a number or out of
/// range, or when there are more than four.
std::optional<server_load> parse_server_load(std::string_view header);

/// @brief Factor by which execution takes longer than usual, given what was
/// reported some time ago. Returns to `usual` linearly between 0.3 and 1 s of
/// age.
double faded_slowness(double reported, double usual, duration age);

/// @brief Present speed of one backend server, from its load headers.
///
/// A factor is accepted only within bounds that follow from run times: at most
/// four times the ratio of the recent run times to the usual ones of the same
/// routes, or 1 if that is higher; at least half of that ratio, or 1 if that is
/// lower. The ratio counts as 1 until a run has been measured.
class server_speed
{
public:
    void on_header(const server_load& load, time_point now);

    /// @brief Records a call that the server answered.
    /// @param run_time time from its start to its response.
    void on_run(std::string_view route, duration run_time, time_point now);

    /// @brief True when the last report with a slow-down factor still has an
    /// effect.
    [[nodiscard]] bool is_known(time_point now) const;

    /// @brief Slow-down factor, 1: as usual; at least 1/4, at most 16.
    [[nodiscard]] double slowness(time_point now) const;

    /// @brief Expected run time of a call at the present speed; zero when no
    /// run has been measured.
    [[nodiscard]] duration expected_run_time(time_point now) const;

private:
    struct usual_run_time
    {
        double run_time{0}; // seconds, smoothed over the averaging time
        double runs{0};
        time_point first_run_at{};
        time_point updated_at{};
    };

    double reported_{0}; // zero: never
    time_point reported_at_{};
    string_map<usual_run_time> usual_; // by route
    double recent_ratio_{1};           // of run times to the usual ones
    double mean_usual_{0};             // seconds, of the recent calls
    time_point last_run_at_{};
};

} // namespace jujubespan::mesh

#endif
