#ifndef JUJUBESPAN_MESH_DISCOVERY_HPP
#define JUJUBESPAN_MESH_DISCOVERY_HPP

#include "jujubespan/config/endpoint.hpp"
#include "jujubespan/mesh/configuration.hpp"
#include "jujubespan/policy/instance.hpp"

#include <absl/status/status.h>

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace jujubespan::mesh
{

/// @brief Receives what a discovery source learns, in the order of changes.
class discovery_handler
{
public:
    virtual ~discovery_handler() = default;

    virtual void
    on_configuration(std::shared_ptr<const configuration> next) = 0;
    virtual void on_instance(const instance& item) = 0;
    virtual void on_instance_removed(std::string_view id) = 0;

    /// @brief A complete read has ended; instances that are not listed are
    /// gone.
    virtual void on_complete(std::span<const std::string> ids) = 0;

    virtual void on_interrupted(const absl::Status& why) = 0;
    virtual void on_restored() = 0;
};

/// @brief Where configuration and instances come from; read, never written.
class discovery
{
public:
    virtual ~discovery() = default;

    /// @brief Reads everything, then follows changes until destroyed.
    virtual void start() = 0;

    /// @brief Moves to another address.
    virtual void retarget(const config::endpoint& address) = 0;

    /// @brief Calls made so far.
    [[nodiscard]] virtual std::uint64_t calls() const = 0;

    /// @brief Revision up to which changes were read.
    [[nodiscard]] virtual std::uint64_t revision() const = 0;
};

} // namespace jujubespan::mesh

#endif
