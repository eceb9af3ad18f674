#ifndef JUJUBESPAN_POLICY_INSTANCE_HPP
#define JUJUBESPAN_POLICY_INSTANCE_HPP

#include "jujubespan/policy/time.hpp"

#include <cstdint>
#include <string>

namespace jujubespan
{

/// @brief One backend server instance with its node, as listed by the
/// platform.
struct instance
{
    std::string id;
    std::string service;
    std::string failure_domain;
    std::string call_address;    ///< Endpoint of the node for calls.
    std::string control_address; ///< Endpoint of the node for control.
    std::string public_key; ///< Of the node, in Z85; empty without encryption.
    std::uint32_t slots{1};
    bool leaving{false};
    std::string backend_address;  ///< Endpoint of the backend server, if known.
    std::uint64_t incarnation{0}; ///< Changes at each start; zero when unknown.
    /// Revision at which the entry was created.
    std::uint64_t created_revision{0};
    time_point warm_at{}; ///< The backend server is warming up until then.

    bool operator==(const instance&) const = default;
};

} // namespace jujubespan

#endif
