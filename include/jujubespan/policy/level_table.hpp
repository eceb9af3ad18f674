#ifndef JUJUBESPAN_POLICY_LEVEL_TABLE_HPP
#define JUJUBESPAN_POLICY_LEVEL_TABLE_HPP

#include "jujubespan/policy/admission_level.hpp"
#include "jujubespan/policy/string_map.hpp"
#include "jujubespan/policy/time.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jujubespan
{

/// @brief Admission level of one service.
struct service_level
{
    std::string service;
    admission_level level{admit_all_level};

    bool operator==(const service_level&) const = default;
};

/// @brief Admission levels of the services that this node calls directly or
/// indirectly, learned from replies.
///
/// A level learned from any reply applies to every method that is known to
/// reach the service. When no reply confirms a level for a second, the level
/// rises in doubling steps. Otherwise a service with a low level could not
/// recover, since the requests whose replies would raise the level are refused.
class level_table
{
public:
    /// @brief Records the levels that a reply reported.
    /// @param method entry method whose requests reach the services.
    void record_levels(std::string_view method,
                       std::span<const service_level> reported, time_point now);

    /// @brief Lowest level among the services that a method reaches.
    [[nodiscard]] admission_level level(std::string_view method,
                                        time_point now) const;

    /// @brief Levels to report in replies of a method, lowest first.
    [[nodiscard]] std::vector<service_level> report(std::string_view method,
                                                    time_point now) const;

    /// @brief Removes services and methods that no reply reported for a minute.
    void expire(time_point now);

    /// @brief Removes everything, for example after a pause.
    void clear();

    [[nodiscard]] std::size_t size() const { return services_.size(); }

private:
    struct learned_level
    {
        double level{admit_all_level};
        time_point learned_at{};
    };
    using reached_services = string_map<time_point>;

    static admission_level effective_level(const learned_level& entry,
                                           time_point now);

    string_map<learned_level> services_;
    string_map<reached_services> methods_;
};

} // namespace jujubespan

#endif
