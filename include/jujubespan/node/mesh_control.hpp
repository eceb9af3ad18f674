#ifndef JUJUBESPAN_NODE_MESH_CONTROL_HPP
#define JUJUBESPAN_NODE_MESH_CONTROL_HPP

#include "jujubespan/mesh/discovery.hpp"
#include "jujubespan/node/mesh_loop.hpp"

#include <QDateTime>
#include <QObject>
#include <QTimer>

#include <memory>
#include <string>

namespace jujubespan::node
{

/// @brief Configuration, instances, settings and metrics of a node that
/// routes requests; lives on the control thread.
class mesh_control final : private mesh::discovery_handler,
                           private http::request_handler
{
public:
    /// @param traffic outlives the control.
    /// @param settings_file watched for changes.
    mesh_control(const config::mesh_settings& options,
                 std::string settings_file, mesh_loop& traffic);
    ~mesh_control() override;

    [[nodiscard]] mesh::discovery_handler& handler() { return *this; }

    /// @param source outlives the control.
    absl::Status start(mesh::discovery& source);

    /// @brief Reads the settings file again.
    void reload();

private:
    void
    on_configuration(std::shared_ptr<const mesh::configuration> next) override;
    void on_instance(const instance& item) override;
    void on_instance_removed(std::string_view id) override;
    void on_complete(std::span<const std::string> ids) override;
    void on_interrupted(const absl::Status& why) override;
    void on_restored() override;

    void on_request(std::uint64_t exchange, http_request request) override;
    void on_gone(std::uint64_t exchange) override;

    void publish();
    void on_tick();

    config::mesh_settings options_;
    std::string settings_file_;
    QDateTime settings_time_;
    mesh_loop& traffic_;
    mesh::discovery* source_{nullptr};
    mesh::instance_directory directory_;
    std::uint64_t version_{0};
    bool complete_{false};
    bool interrupted_{false};
    bool publish_scheduled_{false};
    unsigned ticks_{0};
    QObject guard_;
    QTimer tick_timer_;
    http::server metrics_server_;
};

} // namespace jujubespan::node

#endif
