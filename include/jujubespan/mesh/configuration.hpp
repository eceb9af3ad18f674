#ifndef JUJUBESPAN_MESH_CONFIGURATION_HPP
#define JUJUBESPAN_MESH_CONFIGURATION_HPP

#include "jujubespan/mesh/organisation.hpp"
#include "jujubespan/policy/string_map.hpp"
#include "jujubespan/policy/time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubespan::mesh
{

/// @brief A service that a route leads to, and its weight.
struct route_target
{
    std::string service;
    double weight{1};

    bool operator==(const route_target&) const = default;
};

/// @brief Whether a request may run more than once.
enum class request_kind : std::uint8_t
{
    non_idempotent, ///< Runs at most once.
    idempotent,
    upload ///< Has a large body; runs at most once.
};

/// @brief Target and treatment of the requests of one host and path prefix.
struct route
{
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    request_kind kind{request_kind::non_idempotent};
    duration timeout{}; ///< Zero: no timeout.
    /// Latency objective; zero when there is none.
    duration objective{};
    std::uint32_t priority{0}; ///< Zero is the highest: refused last.
    std::uint32_t max_attempts{1};
    bool anonymous{false}; ///< Its requests need no key.
    /// Empty when the configuration names no readable target: requests match
    /// the route and are refused.
    std::vector<route_target> targets;

    [[nodiscard]] bool idempotent() const
    {
        return kind == request_kind::idempotent;
    }

    bool operator==(const route&) const = default;
};

/// @brief Settings of the backend servers of a service.
struct backend_options
{
    std::string name;
    std::string health_path;
    std::uint32_t max_connections{0}; ///< Per backend server; zero: unknown.

    bool operator==(const backend_options&) const = default;
};

/// @brief Limits on the requests of clients.
struct client_limits
{
    std::size_t max_header_bytes{16U << 10U};
    std::size_t max_body_bytes{1U << 20U};
    duration header_timeout{std::chrono::seconds(10)};
    duration idle_timeout{std::chrono::seconds(60)};

    bool operator==(const client_limits&) const = default;
};

/// @brief One version of the configuration. Replaced as a whole, never
/// modified.
struct configuration
{
    std::uint64_t version{0};
    std::vector<route> routes;
    std::vector<backend_options> services;
    /// The organisations whose requests are admitted, by their keys; absent
    /// when requests need no key.
    std::optional<std::vector<organisation>> organisations;
    client_limits clients;
    /// Describes each entry or field that could not be read.
    std::vector<std::string> defects;

    bool operator==(const configuration&) const = default;
};

/// @brief Services that a configuration describes or routes requests to, each
/// once and in order.
[[nodiscard]] std::vector<std::string>
named_services(const configuration& value);

/// @brief Finds the route of a request and distributes requests among its
/// targets.
class route_table
{
public:
    explicit route_table(std::shared_ptr<const configuration> source);

    /// @brief Finds the route of the host with the longest prefix of the path.
    /// @param host Host header; its port is ignored.
    /// @return null when none matches.
    [[nodiscard]] const route* find(std::string_view host,
                                    std::string_view path) const;

    /// @brief Selects a target by smooth weighted round robin, so that short
    /// sequences of requests are also divided by weight.
    /// @return empty if the route has no target.
    [[nodiscard]] std::string_view choose_target(const route& matched);

    [[nodiscard]] const backend_options*
    backend_options_of(std::string_view service) const;
    [[nodiscard]] std::uint64_t version() const { return source_->version; }
    [[nodiscard]] const std::shared_ptr<const configuration>& source() const
    {
        return source_;
    }

private:
    std::shared_ptr<const configuration> source_;
    string_map<std::vector<const route*>> by_host_; // longest prefix first
    string_map<std::vector<double>> credits_;       // by route name
};

} // namespace jujubespan::mesh

#endif
