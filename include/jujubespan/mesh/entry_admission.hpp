#ifndef JUJUBESPAN_MESH_ENTRY_ADMISSION_HPP
#define JUJUBESPAN_MESH_ENTRY_ADMISSION_HPP

#include "jujubespan/mesh/route_costs.hpp"
#include "jujubespan/policy/request_class.hpp"
#include "jujubespan/policy/shed_level.hpp"
#include "jujubespan/policy/string_map.hpp"
#include "jujubespan/policy/time.hpp"

#include <array>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jujubespan::mesh
{

/// @brief Calls in progress over the limits of a service's guards; above one
/// when calls wait.
struct service_pressure
{
    std::string service;
    double pressure{0};

    bool operator==(const service_pressure&) const = default;
};

/// @brief Pressure of a service of which no instance can be reached.
inline constexpr double unavailable_pressure = 12;

/// @brief Why a request was not admitted.
struct admission_refusal
{
    std::string service; ///< The one that has no room.
    double pressure{0};
    duration pressure_age{}; ///< Of the last news of the pressure.
    double admitted_share{
        0}; ///< Share of the request's route that is admitted.
};

/// @brief Decides at the entry which requests are admitted, by the pressure
/// of every service behind their route.
///
/// Each service has a share of the offered load that is admitted. It is the
/// share admitted some time ago, corrected by the ratio of the target to the
/// pressure that followed from it. The share is given to the classes in order,
/// so that a lower class gets what those above it leave. Within a class it is
/// divided among the routes by max-min fairness: a route that asks for little
/// is not refused because another asks for much. Within a route the position
/// of the request decides, which is the same for all services.
class entry_admission
{
public:
    /// @brief Learns the pressure of a service.
    void on_pressure(std::string_view service, double pressure, time_point now);

    /// @brief Learns the pressure of a service that the own backend server
    /// calls, or that is behind one; callers are told of it.
    void on_downstream_pressure(std::string_view service, double pressure,
                                time_point now);

    /// @brief Decides on a request and counts it as offered.
    /// @param route name of the request's route.
    /// @param costs of that route.
    /// @return the reason when the request is not admitted.
    std::optional<admission_refusal>
    check_request(std::string_view route, std::span<const service_cost> costs,
                  shed_key key, time_point now);

    /// @brief Adjusts the shares when an interval has passed.
    void on_tick(time_point now);

    /// @brief Pressures to report to callers, those worth acting on.
    ///
    /// Only of services behind the own backend server: nodes that passed on
    /// what others told them would keep old news alive among themselves.
    [[nodiscard]] std::vector<service_pressure>
    downstream_pressures(time_point now) const;

    /// @brief Share of the offered load of a service that is admitted.
    [[nodiscard]] double admitted_share(std::string_view service) const;

private:
    struct route_demand
    {
        std::string route;
        double offered{0}; ///< Slot-seconds in this interval.
        double demand{0};  ///< Smoothed.
        double share{1};   ///< Part that is admitted.
    };
    using class_demand = std::vector<route_demand>;

    struct pressure_estimate
    {
        double pressure{0};
        time_point updated_at{};

        void update(double value, time_point now);
    };

    struct service_state
    {
        pressure_estimate estimate;
        double admitted_share{1};
        double delayed_admitted_share{1}; ///< Mean of the time that now shows.
        std::array<class_demand, request_class_count> demand;
    };

    static route_demand& find_or_add_demand(class_demand& demand,
                                            std::string_view route);
    static void update_demand(service_state& state);
    static void allocate(class_demand& demand, double budget);
    static void update_share(service_state& state, time_point now);

    string_map<service_state> services_;
    string_map<pressure_estimate> downstream_estimates_; // by service
    time_point next_update_{};
};

} // namespace jujubespan::mesh

#endif
