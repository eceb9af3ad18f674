#ifndef JUJUBESPAN_MESH_CONFIGURATION_HPP
#define JUJUBESPAN_MESH_CONFIGURATION_HPP

#include "jujubespan/policy/string_map.hpp"
#include "jujubespan/policy/time.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace jujubespan::mesh
{

/// @brief One service that a route leads to, and its share of the requests.
struct route_target
{
    std::string service;
    double weight{1};

    bool operator==(const route_target&) const = default;
};

/// @brief Where requests of one host and path prefix go.
struct route
{
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    bool idempotent{false};
    duration timeout{};        ///< Zero: none of its own.
    duration objective{};      ///< Latency within which an answer is in time.
    std::uint32_t priority{0}; ///< Zero is refused last.
    std::uint32_t max_attempts{1};
    std::vector<route_target> targets;

    bool operator==(const route&) const = default;
};

/// @brief What holds for the connections to a service's backend servers.
struct backend_options
{
    std::string name;
    std::string health_path;
    std::uint32_t max_connections{0}; ///< Per backend server; zero: unknown.

    bool operator==(const backend_options&) const = default;
};

/// @brief Bounds on what clients may send.
struct client_limits
{
    std::size_t max_header_bytes{16U << 10U};
    std::size_t max_body_bytes{1U << 20U};
    duration header_timeout{std::chrono::seconds(10)};
    duration idle_timeout{std::chrono::seconds(60)};

    bool operator==(const client_limits&) const = default;
};

/// @brief One version of the routes; replaced whole, never changed.
struct configuration
{
    std::uint64_t version{0};
    std::vector<route> routes;
    std::vector<backend_options> services;
    client_limits clients;

    bool operator==(const configuration&) const = default;
};

/// @brief Finds the route of a request and divides requests among targets.
class route_table
{
public:
    explicit route_table(std::shared_ptr<const configuration> source);

    /// @brief The route of the host with the longest prefix that begins the
    /// path.
    /// @param host Host header; a port in it is ignored.
    /// @return null when none matches.
    [[nodiscard]] const route* find(std::string_view host,
                                    std::string_view path) const;

    /// @brief Chooses a target by smooth weighted round robin, so that each
    /// gets its share in any longer run of requests.
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
