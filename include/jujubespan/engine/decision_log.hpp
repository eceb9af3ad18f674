#ifndef JUJUBESPAN_ENGINE_DECISION_LOG_HPP
#define JUJUBESPAN_ENGINE_DECISION_LOG_HPP

#include "jujubespan/engine/answer.hpp"
#include "jujubespan/policy/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jujubespan::engine
{

/// @brief Record of why a request was not answered, for operators.
struct decision
{
    std::string request_id;
    std::string customer;
    std::string method;
    outcome result{outcome::answered};
    engine::reason reason{engine::reason::none};
    shed_key key{0};
    admission_level own_level{admit_all_level};
    admission_level downstream_level{admit_all_level};
    std::uint32_t depth{0};
    time_point at{};
};

/// @brief Ring buffer of the most recent requests that were not answered.
class decision_log
{
public:
    explicit decision_log(std::size_t capacity) : capacity_(capacity) {}

    void add(decision value);

    /// @brief Returns the decisions about a request, oldest first.
    [[nodiscard]] std::vector<decision> find(std::string_view request_id) const;

private:
    std::size_t capacity_;
    std::size_t next_{0};
    std::vector<decision> items_;
};

} // namespace jujubespan::engine

#endif
