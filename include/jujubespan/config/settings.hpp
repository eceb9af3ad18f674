#ifndef JUJUBESPAN_CONFIG_SETTINGS_HPP
#define JUJUBESPAN_CONFIG_SETTINGS_HPP

#include "jujubespan/config/endpoint.hpp"
#include "jujubespan/policy/time.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jujubespan::config
{

/// @brief A node to contact before the instance list is known.
struct seed_node
{
    std::string id;
    endpoint control_address;

    bool operator==(const seed_node&) const = default;
};

/// @brief Limits on the resources of a node that callers and peers can use.
struct resource_limits
{
    std::size_t max_body_bytes{1 << 20};
    std::size_t max_header_bytes{16 << 10};
    /// Total size of all unanswered requests.
    std::size_t max_buffered_bytes{16 << 20};
    std::size_t max_connections{1400};
    std::size_t max_in_flight{2048};
    std::size_t max_queue{512};
    duration idle_timeout{std::chrono::seconds(60)};
    duration receive_timeout{std::chrono::seconds(10)};
};

/// @brief Z85-encoded keys for the connections between nodes.
struct peer_keys
{
    std::string public_key; ///< Empty: connections are not encrypted.
    std::string secret_key;
    std::vector<std::string> trusted_keys; ///< Public keys of allowed peers.

    [[nodiscard]] bool encryption_enabled() const
    {
        return !public_key.empty();
    }
};

/// @brief Settings of one node.
struct settings
{
    std::string id;
    std::string service;
    std::string failure_domain;
    std::vector<std::string> failure_domains;
    endpoint caller_address;
    endpoint outbound_address;
    endpoint call_address;
    endpoint control_address;
    endpoint operators_address;
    endpoint backend_address;
    endpoint platform_address;
    std::vector<seed_node> seeds;
    std::uint32_t slots{1}; ///< Concurrent requests of the backend server.
    bool protection{true};  ///< False: forwards calls without overload control.
    duration cold_start{};  ///< Time from the first call to the full limit.
    duration queue_wait{std::chrono::milliseconds(100)};
    duration drain_timeout{std::chrono::seconds(30)};
    /// Maximum delay until a change of the instance list reaches all nodes.
    duration list_lag{std::chrono::seconds(11)};
    std::size_t readers{2}; ///< Platform readers per failure domain.
    std::size_t subset_size{8};
    std::string log_level{"info"};
    resource_limits limits;
    peer_keys keys;
};

/// @brief Parses and checks settings.
/// @param file name of the file in error messages.
/// @return the settings, or an invalid-argument status that lists all errors.
absl::StatusOr<settings> parse_settings(std::string_view text,
                                        std::string_view file);

/// @brief Reads a file.
/// @return its content, or a not-found status that contains the path.
absl::StatusOr<std::string> read_file(const std::string& path);

} // namespace jujubespan::config

#endif
