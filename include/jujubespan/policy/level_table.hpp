#ifndef JUJUBESPAN_POLICY_LEVEL_TABLE_HPP
#define JUJUBESPAN_POLICY_LEVEL_TABLE_HPP

#include "jujubespan/policy/shed_level.hpp"
#include "jujubespan/policy/string_map.hpp"
#include "jujubespan/policy/time.hpp"

#include <string>
#include <string_view>

namespace jujubespan
{

/// @brief Admission levels of the subtrees behind each method, learned from
/// replies.
///
/// A level that is not confirmed for `level_lifetime` rises in doubling
/// steps, so that recovery does not wait for traffic that is never admitted.
class level_table
{
public:
    /// @brief Records the level that a reply carried.
    /// @param method entry method whose requests reach the callee.
    /// @param callee service and method that answered.
    void learn(std::string_view method, std::string_view callee,
               shed_level level, time_point now);

    /// @brief Lowest level among the callees of a method.
    [[nodiscard]] shed_level level(std::string_view method,
                                   time_point now) const;

    /// @brief Drops callees not heard of for a minute.
    void expire(time_point now);

    /// @brief Forgets everything, as after a pause.
    void clear() { methods_.clear(); }

    [[nodiscard]] std::size_t size() const { return methods_.size(); }

private:
    struct learned
    {
        double level;
        time_point at;
    };
    using callees = string_map<learned>;

    static shed_level effective(const learned& entry, time_point now);

    string_map<callees> methods_;
};

} // namespace jujubespan

#endif
