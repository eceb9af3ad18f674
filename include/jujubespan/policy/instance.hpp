#ifndef JUJUBESPAN_POLICY_INSTANCE_HPP
#define JUJUBESPAN_POLICY_INSTANCE_HPP

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

    bool operator==(const instance&) const = default;
};

} // namespace jujubespan

#endif
