#ifndef JUJUBESPAN_CONFIG_MESH_SETTINGS_HPP
#define JUJUBESPAN_CONFIG_MESH_SETTINGS_HPP

#include "jujubespan/config/endpoint.hpp"
#include "jujubespan/policy/time.hpp"

#include <absl/status/statusor.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace jujubespan::config
{

/// @brief The retry budget that all nodes share.
struct retry_budget_settings
{
    double ratio{0.2};
    double slack{10};
    duration window{std::chrono::seconds(10)};
};

/// @brief Settings of a node that routes requests between services.
struct mesh_settings
{
    std::string id;
    std::string service;
    std::string failure_domain;
    endpoint client_address;    ///< Requests of clients and the backend server.
    endpoint readiness_address; ///< Answers whether the node takes requests.
    endpoint call_address;      ///< Calls of other nodes; same port on all.
    std::optional<endpoint> call_listen_address; ///< If not `call_address`.
    endpoint metrics_address;
    endpoint backend_address;
    endpoint discovery_address;
    bool first_start{false}; ///< The whole fleet starts for the first time.
    bool protection{true};   ///< False: no limit, queue or admission level.
    duration queue_wait{std::chrono::milliseconds(50)};
    duration stop_grace{std::chrono::seconds(6)}; ///< SIGTERM to SIGKILL.
    std::size_t max_buffered_bytes{64U << 20U};
    std::size_t max_connections{1400};
    retry_budget_settings retry_budget;
    std::string log_level{"info"};
};

/// @brief Parses and checks settings.
/// @param file name shown in the messages.
/// @return the settings, or an invalid-argument status with every mistake.
absl::StatusOr<mesh_settings> parse_mesh_settings(std::string_view text,
                                                  std::string_view file);

} // namespace jujubespan::config

#endif
