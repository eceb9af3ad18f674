#ifndef JUJUBESPAN_MESH_ENTRY_ADMISSION_HPP
#define JUJUBESPAN_MESH_ENTRY_ADMISSION_HPP

#include "jujubespan/mesh/route_costs.hpp"
#include "jujubespan/policy/admission_level.hpp"
#include "jujubespan/policy/mechanism.hpp"
#include "jujubespan/policy/request_class.hpp"
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

/// @brief Ratio of the calls in progress to the concurrency limits of a
/// service's guards; above one when calls are queued.
struct service_pressure
{
    std::string service;
    double pressure{0};

    bool operator==(const service_pressure&) const = default;
};

/// @brief Pressure reported for a service without a reachable instance.
inline constexpr double unavailable_pressure = 12;

/// @brief Why a request was not admitted.
struct admission_refusal
{
    std::string service; ///< The overloaded service.
    double pressure{0};
    duration pressure_age{}; ///< Time since the pressure was last updated.
    /// Admitted share of the requests of the route and the sender.
    double admitted_share{0};
};

/// @brief The organisation that sends a request.
struct request_sender
{
    std::string_view organisation; ///< Empty: none.
    /// Rate of its allowance, in requests per second; zero: no limit.
    double rate{0};
};

/// @brief Admission control for client requests, by the pressure of every
/// service that their route calls, directly or indirectly.
///
/// Each service has an admitted share of its offered load. It moves towards the
/// share admitted some time ago times the ratio of the target pressure to the
/// pressure that resulted from it. The admitted load is allocated to the
/// classes in order, so that a lower class gets what the higher ones leave.
/// Within a class it is divided among the routes by max-min fairness: a route
/// with little demand is not refused because another has much. The part of a
/// route is divided among the organisations that send its requests: one half by
/// max-min fairness with equal weights, the rest with the rates of their
/// allowances as weights. Within a part the requests with the highest positions
/// in their class are refused. The position of a request, part of its shed key,
/// is the same for all services.
class entry_admission
{
public:
    /// @brief Sets which parts of the decisions are in use; all by default.
    void set_mechanisms(mechanism_set mechanisms) { mechanisms_ = mechanisms; }

    /// @brief Records the pressure of a service.
    void on_pressure(std::string_view service, double pressure, time_point now);

    /// @brief Records the pressure of a service that the local backend server
    /// calls, directly or indirectly. It is also reported to callers.
    void on_downstream_pressure(std::string_view service, double pressure,
                                time_point now);

    /// @brief Decides on a request and counts it as offered.
    /// @param route name of the request's route.
    /// @param costs mean costs of that route.
    /// @param key class of the request and its position in that class.
    /// @param sender organisation that sends the request, if any.
    /// @return nothing when the request is admitted.
    std::optional<admission_refusal>
    check_request(std::string_view route, std::span<const service_cost> costs,
                  shed_key key, time_point now, request_sender sender = {});

    /// @brief Updates the admitted shares once per interval.
    void on_tick(time_point now);

    /// @brief Pressures to report to callers, without those too low to react
    /// to.
    ///
    /// Contains only services that the local backend server calls, directly or
    /// indirectly: if nodes forwarded all reported pressures, they would keep
    /// each other's outdated values alive.
    [[nodiscard]] std::vector<service_pressure>
    downstream_pressures(time_point now) const;

    /// @brief Share of the offered load of a service that is admitted.
    [[nodiscard]] double admitted_share(std::string_view service) const;

private:
    struct sender_demand
    {
        std::string organisation;
        double rate{0};    ///< Of its allowance; zero: no limit.
        double offered{0}; ///< Slot-seconds in this interval.
        double demand{0};  ///< Slot-seconds per interval, smoothed.
        double share{1};   ///< Share that is admitted.
    };

    struct route_demand
    {
        std::string route;
        double offered{0}; ///< Slot-seconds in this interval.
        double demand{0};  ///< Slot-seconds per interval, smoothed.
        double share{1};   ///< Share that is admitted.
        /// The organisations that send its requests. Their demand is part of
        /// that of the route.
        std::vector<sender_demand> senders;
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
        /// Smoothed share of the time whose effect the current pressure shows.
        double delayed_admitted_share{1};
        std::array<class_demand, request_class_count> demand;
    };

    static route_demand& find_or_add_demand(class_demand& demand,
                                            std::string_view route);
    static sender_demand& find_or_add_sender(route_demand& demand,
                                             request_sender sender);
    static void update_demand(service_state& state);
    void allocate(class_demand& demand, double budget) const;
    static void allocate_to_senders(route_demand& route);
    void update_share(service_state& state, time_point now) const;

    mechanism_set mechanisms_;
    string_map<service_state> services_;
    string_map<pressure_estimate> downstream_estimates_; // by service
    time_point next_update_{};
};

} // namespace jujubespan::mesh

#endif
