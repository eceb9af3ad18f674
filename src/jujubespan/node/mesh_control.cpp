#include "jujubespan/node/mesh_control.hpp"

#include "jujubespan/config/settings.hpp"
#include "jujubespan/config/status_text.hpp"
#include "jujubespan/metrics/log.hpp"
#include "jujubespan/node/mesh_report_text.hpp"

#include <QFileInfo>

namespace jujubespan::node
{

namespace
{

constexpr auto tick_interval = std::chrono::milliseconds(100);
constexpr unsigned ticks_per_file_check = 10;
constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;

QDateTime changed_at(const std::string& file)
{
    QFileInfo info(QString::fromStdString(file));
    info.setCaching(false);
    return info.lastModified();
}

// True when settings differ that only a restart can change.
bool needs_restart(const config::mesh_settings& a,
                   const config::mesh_settings& b)
{
    return a.id != b.id || a.service != b.service ||
           a.failure_domain != b.failure_domain ||
           a.client_address != b.client_address ||
           a.readiness_address != b.readiness_address ||
           a.call_address != b.call_address ||
           a.metrics_address != b.metrics_address ||
           a.backend_address != b.backend_address ||
           a.protection != b.protection || a.queue_wait != b.queue_wait ||
           a.stop_grace != b.stop_grace ||
           a.max_buffered_bytes != b.max_buffered_bytes ||
           a.max_connections != b.max_connections;
}

} // namespace

mesh_control::mesh_control(const config::mesh_settings& options,
                           std::string settings_file, mesh_loop& traffic)
    : options_(options), settings_file_(std::move(settings_file)),
      settings_time_(changed_at(settings_file_)), traffic_(traffic),
      metrics_server_(config::resource_limits{}, *this)
{
    QObject::connect(&tick_timer_, &QTimer::timeout, &guard_,
                     [this] { on_tick(); });
}

mesh_control::~mesh_control() = default;

absl::Status mesh_control::start(mesh::discovery& source)
{
    if (auto status = metrics_server_.listen(options_.metrics_address);
        !status.ok())
    {
        return status;
    }
    source_ = &source;
    source.start();
    tick_timer_.start(tick_interval);
    return absl::OkStatus();
}

void mesh_control::on_configuration(
    std::shared_ptr<const mesh::configuration> next)
{
    if (next->version <= version_)
    {
        log(log_level::info, "configuration_stale", "version={} in_force={}",
            next->version, version_);
        return;
    }
    log(log_level::info, "configuration_applied",
        "version={} before={} routes={} revision={}", next->version, version_,
        next->routes.size(), source_->revision());
    version_ = next->version;
    traffic_.post([this, next] { traffic_.apply(next); });
}

void mesh_control::on_instance(const instance& item)
{
    log(log_level::info, "instance_listed",
        "instance={} service={} domain={} slots={} leaving={} lifetime={} "
        "revision={}",
        item.id, item.service, item.failure_domain, item.slots, item.leaving,
        item.incarnation, source_->revision());
    directory_.put(item);
    publish();
}

void mesh_control::on_instance_removed(std::string_view id)
{
    log(log_level::info, "instance_unlisted", "instance={} revision={}", id,
        source_->revision());
    directory_.remove(id, boot_clock::now());
    publish();
}

void mesh_control::on_complete(std::span<const std::string> ids)
{
    log(log_level::info, "discovery_read", "instances={} revision={}",
        ids.size(), source_->revision());
    complete_ = true;
    directory_.keep_only(ids, boot_clock::now());
    publish();
}

void mesh_control::on_interrupted(const absl::Status& why)
{
    if (!interrupted_)
    {
        log(log_level::warn, "discovery_lost", "revision={} why=\"{}\"",
            source_->revision(), text_of(why));
    }
    interrupted_ = true;
    directory_.on_interrupted(boot_clock::now());
}

void mesh_control::on_restored()
{
    if (interrupted_)
    {
        log(log_level::info, "discovery_back", "revision={}",
            source_->revision());
    }
    interrupted_ = false;
    directory_.on_restored(boot_clock::now());
}

void mesh_control::publish()
{
    if (publish_scheduled_ || !complete_)
    {
        return;
    }
    publish_scheduled_ = true;
    // Once for all changes of one answer.
    QMetaObject::invokeMethod(
        &guard_,
        [this]
        {
            publish_scheduled_ = false;
            auto list =
                std::make_shared<const mesh::instance_directory>(directory_);
            traffic_.post([this, list] { traffic_.apply(list); });
        },
        Qt::QueuedConnection);
}

void mesh_control::on_tick()
{
    if (directory_.expire(boot_clock::now()))
    {
        log(log_level::info, "instances_expired", "left={}", directory_.size());
        publish();
    }
    if (++ticks_ % ticks_per_file_check == 0 &&
        changed_at(settings_file_) != settings_time_)
    {
        reload();
    }
}

void mesh_control::reload()
{
    settings_time_ = changed_at(settings_file_);
    const auto text = config::read_file(settings_file_);
    if (!text.ok())
    {
        log(log_level::error, "settings_unreadable", "why=\"{}\"",
            text_of(text.status()));
        return;
    }
    const auto next = config::parse_mesh_settings(*text, settings_file_);
    if (!next.ok())
    {
        log(log_level::error, "settings_rejected", "why=\"{}\"",
            text_of(next.status()));
        return;
    }
    if (needs_restart(options_, *next))
    {
        log(log_level::warn, "settings_need_restart", "file={}",
            settings_file_);
    }
    set_log_level(parse_log_level(next->log_level).value_or(log_level::info));
    const mesh::repeat_terms terms{next->retry_budget.ratio,
                                   next->retry_budget.slack,
                                   next->retry_budget.window};
    traffic_.post([this, terms] { traffic_.apply(terms); });
    if (next->discovery_address != options_.discovery_address)
    {
        source_->retarget(next->discovery_address);
    }
    options_.discovery_address = next->discovery_address;
    options_.retry_budget = next->retry_budget;
    options_.log_level = next->log_level;
    log(log_level::info, "settings_reloaded", "file={}", settings_file_);
}

void mesh_control::on_request(std::uint64_t exchange, http_request request)
{
    http_response response;
    if (path_of(request.target) != "/metrics")
    {
        response.status = status_not_found;
        metrics_server_.respond(exchange, response);
        return;
    }
    mesh_report traffic;
    traffic_.run([&] { traffic = traffic_.report(); });
    control_report control;
    control.discovery_calls = source_->calls();
    control.discovery_revision = source_->revision();
    control.instances = directory_.size();
    control.interrupted = interrupted_;
    response.status = status_ok;
    response.headers = {{"Content-Type", "text/plain; version=0.0.4"}};
    response.body = to_metrics(traffic, control);
    metrics_server_.respond(exchange, response);
}

void mesh_control::on_gone(std::uint64_t /*exchange*/) {}

} // namespace jujubespan::node
