#ifndef JUJUBESPAN_POLICY_INSTANCE_HPP
#define JUJUBESPAN_POLICY_INSTANCE_HPP

#include "jujubespan/policy/time.hpp"

#include <cstdint>
#include <string>

namespace jujubespan
{

/// @brief One backend server instance with its node, as the platform lists
/// it.
struct instance
{
    std::string id;
    std::string service;
    std::string failure_domain;
    std::string call_address;    ///< Endpoint of the node for calls.
    std::string control_address; ///< Endpoint of the node for control.
    std::string public_key;      ///< Of the node, Z85; empty: no encryption.
    std::uint32_t slots{1};
    bool leaving{false};
    std::string backend_address;  ///< Of the backend server; may be unknown.
    std::uint64_t incarnation{0}; ///< Differs at each start; zero: unknown.
    std::uint64_t created_revision{0}; ///< Order in which entries were created.
    time_point warm_at{}; ///< The backend server is slow until then.

    bool operator==(const instance&) const = default;
};

} // namespace jujubespan

#endif
