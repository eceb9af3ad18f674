#ifndef JUJUBESPAN_CONFIG_MESH_SETTINGS_HPP
#define JUJUBESPAN_CONFIG_MESH_SETTINGS_HPP

#include "jujubespan/config/endpoint.hpp"
#include "jujubespan/policy/mechanism.hpp"
#include "jujubespan/policy/time.hpp"

#include <absl/status/statusor.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace jujubespan::config
{

/// @brief The retry budget that all nodes of a service share.
struct retry_budget_settings
{
    double ratio{0.2}; ///< Retries allowed per client request.
    double slack{10};  ///< Additional retries of the service per window.
    duration window{std::chrono::seconds(10)};
};

/// @brief How long a revoked key may still be accepted.
struct revocation_settings
{
    /// True: a node that cannot show that its configuration is recent refuses
    /// requests with keys.
    bool strict{false};
    /// Time after the acknowledgement of a configuration within which the keys
    /// that it removed must be refused everywhere.
    duration bound{std::chrono::seconds(5)};
};

/// @brief By how much the allowance of an organisation may be exceeded.
struct allowance_settings
{
    duration window{std::chrono::seconds(5)};
    double tolerance{0.25}; ///< Share of the allowance in a window.
    double slack{20};       ///< Requests in a window, in addition.
};

/// @brief Settings of a node that routes requests between services.
struct mesh_settings
{
    std::string id;
    std::string service;
    std::string failure_domain;
    /// Address for requests from clients and from the backend server.
    endpoint client_address;
    /// Address that reports whether the node accepts requests.
    endpoint readiness_address;
    /// Address on which the node accepts calls from other nodes. All nodes use
    /// the same port.
    endpoint call_address;
    /// Listening address if it differs from `call_address`.
    std::optional<endpoint> call_listen_address;
    endpoint metrics_address;
    endpoint backend_address;
    endpoint discovery_address;
    /// True: the whole fleet is starting for the first time.
    bool first_start{false};
    /// False: no concurrency limit, queue or admission level.
    bool protection{true};
    duration queue_wait{std::chrono::milliseconds(50)};
    /// Time from SIGTERM to SIGKILL.
    duration stop_grace{std::chrono::seconds(6)};
    std::size_t max_buffered_bytes{64U << 20U};
    std::size_t max_connections{1400};
    retry_budget_settings retry_budget;
    revocation_settings revocation;
    allowance_settings allowance;
    /// All but those of `disabled_mechanisms`, a setting for experiments.
    mechanism_set mechanisms;
    std::string log_level{"info"};
};

/// @brief Parses and checks settings.
/// @param file name of the file in error messages.
/// @return the settings, or an invalid-argument status that lists all errors.
absl::StatusOr<mesh_settings> parse_mesh_settings(std::string_view text,
                                                  std::string_view file);

} // namespace jujubespan::config

#endif
