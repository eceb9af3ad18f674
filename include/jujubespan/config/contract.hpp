#ifndef JUJUBESPAN_CONFIG_CONTRACT_HPP
#define JUJUBESPAN_CONFIG_CONTRACT_HPP

#include "jujubespan/config/diagnostics.hpp"
#include "jujubespan/policy/request_class.hpp"
#include "jujubespan/policy/time.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jujubespan::config
{

/// @brief The rules of a contract for one method of a service.
struct method_rule
{
    std::string service;
    std::string http_method;
    std::string path; ///< Exact path, or a prefix that ends with `*`.
    request_class cls{request_class::normal};
    bool idempotent{false};
    bool entry{true}; ///< False: only other services may call the method.
    duration deadline{};
    std::vector<std::string> calls; ///< Ids of the methods that this one calls.

    /// @brief Returns `service METHOD path`, such as `users GET /list`.
    [[nodiscard]] std::string id() const;

    bool operator==(const method_rule&) const = default;
};

/// @brief Limits and methods that the system enforces for one customer.
struct contract
{
    std::string customer;
    double requests_per_second{0};
    duration burst{};
    std::uint32_t retry_credits{0};
    double caller_retry_ratio{0};
    std::uint32_t max_depth{0};
    bool require_ticket{false};
    std::map<std::string, double> domain_shares; ///< Empty: equal shares.
    std::vector<method_rule> methods;

    /// @brief Services with at least one method that callers may call.
    [[nodiscard]] std::vector<std::string> entry_services() const;

    /// @brief The most specific rule for a request, or null.
    [[nodiscard]] const method_rule* find_rule(std::string_view service,
                                               std::string_view http_method,
                                               std::string_view path) const;

    bool operator==(const contract&) const = default;
};

/// @brief Parses and checks a contract.
/// @param file name of the file in error messages.
/// @return the contract, or an invalid-argument status that lists all errors.
absl::StatusOr<contract> parse_contract(std::string_view text,
                                        std::string_view file);

/// @brief Describes the differences between two versions of a contract, one per
/// line.
std::vector<std::string> describe_differences(const contract& before,
                                              const contract& after);

} // namespace jujubespan::config

#endif
