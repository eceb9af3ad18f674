#ifndef JUJUBESPAN_NODE_MESH_CONTROL_HPP
#define JUJUBESPAN_NODE_MESH_CONTROL_HPP

#include "jujubespan/mesh/discovery.hpp"
#include "jujubespan/mesh/discovery_sharing.hpp"
#include "jujubespan/node/mesh_loop.hpp"

#include <QDateTime>
#include <QObject>
#include <QTimer>

#include <memory>
#include <optional>
#include <string>

namespace jujubespan::node
{

/// @brief Receives routes and instances from discovery, reloads the settings
/// file and serves metrics for a node that routes requests. Lives on the
/// control thread.
class mesh_control final : private mesh::discovery_handler,
                           private mesh::discovery_update_handler,
                           private http::request_handler
{
public:
    /// @param traffic must outlive this object.
    /// @param settings_file is reloaded when it changes.
    mesh_control(const config::mesh_settings& options,
                 std::string settings_file, mesh_loop& traffic);
    ~mesh_control() override;

    [[nodiscard]] mesh::discovery_handler& handler() { return *this; }

    /// @param source must outlive this object.
    absl::Status start(mesh::discovery& source);

    /// @brief Reads the settings file again and applies what can change without
    /// a restart.
    void reload_settings();

private:
    void
    on_configuration(std::shared_ptr<const mesh::configuration> next) override;
    void on_instance(const instance& item) override;
    void on_instance_removed(std::string_view id) override;
    void on_complete(std::span<const std::string> ids) override;
    void on_interrupted(const mesh::failed_call& call) override;
    void on_restored() override;
    void on_history_replaced() override;
    void on_read(const versioned_delta& changes, time_point as_of) override;

    // Called on the traffic thread.
    void on_update(std::string_view peer,
                   const mesh::discovery_update& update) override;
    void on_revision_seen(std::uint64_t revision) override;

    void on_request(std::uint64_t exchange, http_request request) override;
    void on_client_disconnected(std::uint64_t exchange) override;

    void apply_update(const std::string& peer,
                      const mesh::discovery_update& update);
    /// @param answered_by "store", or the node that the source answered.
    void restore_contact(std::string_view answered_by);
    void confirm(std::uint64_t revision, time_point as_of);
    void forward(mesh::discovery_update update);
    void update_reading();
    void schedule_publish();
    void publish_instances();
    void on_tick();
    void expire_instances();

    config::mesh_settings options_;
    std::string settings_file_;
    QDateTime settings_modified_at_;
    mesh_loop& traffic_;
    mesh::discovery* source_{nullptr};
    mesh::instance_directory directory_;
    mesh::discovery_sharing sharing_;
    mesh::reader_role reader_role_{mesh::reader_role::subscriber};
    bool reading_{true}; ///< This node reads the discovery source itself.
    /// Last contact with the source, through another node, before this node
    /// began to read for itself.
    std::optional<time_point> contact_before_reading_;
    std::uint64_t announced_revision_{0};
    std::uint64_t configuration_version_{0};
    std::size_t configuration_defects_{0};
    bool keys_required_{false}; ///< By the configuration in force.
    bool discovery_complete_{false};
    bool discovery_interrupted_{false};
    bool publish_scheduled_{false};
    unsigned tick_count_{0};
    QObject context_object_;
    QTimer tick_timer_;
    QTimer removal_timer_; ///< For the next deferred removal.
    http::server metrics_server_;
};

} // namespace jujubespan::node

#endif
