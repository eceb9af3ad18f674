#ifndef JUJUBESPAN_POLICY_LEVEL_TABLE_HPP
#define JUJUBESPAN_POLICY_LEVEL_TABLE_HPP

#include "jujubespan/policy/shed_level.hpp"
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

/// @brief Admission levels of the services behind this node, learned from
/// replies.
///
/// A level learned from any reply holds for every method that is known to
/// reach the service. A level that is not confirmed for a second rises in
/// doubling steps, so that recovery does not wait for traffic that is never
/// admitted.
class level_table
{
public:
    /// @brief Records the levels that a reply carried.
    /// @param method entry method whose requests reach the services.
    void learn(std::string_view method, std::span<const service_level> reported,
               time_point now);

    /// @brief Lowest level among the services that a method reaches.
    [[nodiscard]] admission_level level(std::string_view method,
                                        time_point now) const;

    /// @brief Levels to pass on in replies of a method, lowest first.
    [[nodiscard]] std::vector<service_level> report(std::string_view method,
                                                    time_point now) const;

    /// @brief Drops what was not heard of for a minute.
    void expire(time_point now);

    /// @brief Forgets everything, as after a pause.
    void clear();

    [[nodiscard]] std::size_t size() const { return services_.size(); }

private:
    struct learned
    {
        double level{admit_all_level};
        time_point at{};
    };
    using reached = string_map<time_point>;

    static admission_level effective(const learned& entry, time_point now);

    string_map<learned> services_;
    string_map<reached> methods_;
};

} // namespace jujubespan

#endif
