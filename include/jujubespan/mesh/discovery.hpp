#ifndef JUJUBESPAN_MESH_DISCOVERY_HPP
#define JUJUBESPAN_MESH_DISCOVERY_HPP

#include "jujubespan/config/endpoint.hpp"
#include "jujubespan/mesh/configuration.hpp"
#include "jujubespan/mesh/discovery_retry.hpp"
#include "jujubespan/policy/history_revision.hpp"
#include "jujubespan/policy/instance.hpp"
#include "jujubespan/policy/time.hpp"
#include "jujubespan/policy/versioned_map.hpp"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace jujubespan::mesh
{

/// @brief Receives the updates of a discovery source in order.
class discovery_handler
{
public:
    virtual ~discovery_handler() = default;

    virtual void
    on_configuration(std::shared_ptr<const configuration> next) = 0;
    virtual void on_instance(const instance& item) = 0;
    virtual void on_instance_removed(std::string_view id) = 0;

    /// @brief A full read is complete; instances that are not listed no longer
    /// exist.
    virtual void on_complete(std::span<const std::string> ids) = 0;

    virtual void on_interrupted(const failed_call& call) = 0;
    virtual void on_restored() = 0;

    /// @brief The source was restored from an older copy of itself. A full read
    /// of it follows; entries that are missing in it may be written again.
    virtual void on_history_replaced() = 0;

    /// @brief The source answered. Called after the handlers of the changes.
    /// @param changes all changes between two revisions, in the encoding of the
    /// source; other nodes pass them to `discovery::apply`.
    /// @param as_of time at which the answered call was sent: every change that
    /// the source acknowledged before is contained in the revision read.
    virtual void on_read(const versioned_delta& changes, time_point as_of) = 0;
};

/// @brief Delays between the calls to a discovery source.
struct discovery_pace
{
    /// Longest delay after a call that failed.
    duration max_retry_delay{std::chrono::milliseconds(800)};
    /// Delay after a call that returned changes.
    duration batch_delay{std::chrono::milliseconds(600)};
    /// Longest time that the source holds a call without changes.
    duration watch_wait{std::chrono::milliseconds(2000)};
};

/// @brief Read-only source of the configuration and the instances.
class discovery
{
public:
    virtual ~discovery() = default;

    /// @brief Starts a full read, then follows changes until destruction.
    virtual void start() = 0;

    /// @brief Connects to another address.
    virtual void set_address(const config::endpoint& address) = 0;

    /// @brief Starts or stops reading. A call in progress is completed.
    virtual void set_reading(bool enabled) = 0;

    virtual void set_pace(const discovery_pace& pace) = 0;

    /// @brief Applies changes that another node has read. Changes from the
    /// beginning of an era hold the whole content of the source.
    /// @return `gap` if changes before them are missing.
    virtual delta_result apply(const versioned_delta& changes) = 0;

    /// @brief Number of calls made to the source.
    [[nodiscard]] virtual std::uint64_t calls() const = 0;

    /// @brief Latest revision that was read.
    [[nodiscard]] virtual history_revision revision() const = 0;

    /// @brief Whether the latest configuration up to `revision` could be read
    /// and was passed to the handler, and the source has not been restored from
    /// a copy since.
    [[nodiscard]] virtual bool has_latest_configuration() const = 0;

    /// @brief Highest revision of a change that was applied.
    [[nodiscard]] virtual history_revision applied_revision() const = 0;
};

} // namespace jujubespan::mesh

#endif
