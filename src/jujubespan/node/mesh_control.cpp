#include "jujubespan/node/mesh_control.hpp"

#include "jujubespan/config/settings.hpp"
#include "jujubespan/config/status_text.hpp"
#include "jujubespan/metrics/log.hpp"
#include "jujubespan/node/mesh_report_text.hpp"
#include "jujubespan/node/process.hpp"

#include <QFileInfo>

#include <algorithm>
#include <span>
#include <vector>

namespace jujubespan::node
{

namespace
{

constexpr auto tick_interval = std::chrono::milliseconds(100);
constexpr unsigned ticks_per_file_check = 10;
// Longest delays between reads that fail. Readers find the end of an outage of
// the discovery source for their subscribers. All are within three seconds,
// with the timeout of a read.
constexpr duration reader_retry_delay = std::chrono::milliseconds(800);
constexpr duration subscriber_retry_delay = std::chrono::milliseconds(1600);
// Delays of the next read after one that returned changes, which it then
// returns together. A change must take effect within two seconds, also on a
// node that learns from another one only that it is missing a change. At the
// start of a fleet, its nodes are not listed and many instances are added.
constexpr duration batch_delay = std::chrono::milliseconds(600);
constexpr duration unlisted_batch_delay = std::chrono::milliseconds(1200);
// Longest times that the source holds a read. A node must have contact with the
// source again within three seconds after an outage, which bounds the wait with
// the timeout of a read. Readers must notice within about a second that the
// source does not answer them, since their subscribers rely on them.
constexpr duration subscriber_watch_wait = std::chrono::milliseconds(2000);
constexpr duration reader_watch_wait = std::chrono::milliseconds(500);
// With strict revocation, the age of the configuration, as a share of the
// revocation bound, above which a node reads the source for itself. Calls that
// would exceed it are held for 0.1 s only, so that the age stays below this
// share, plus 0.1 s and the time that the source takes to answer; requests with
// keys are refused above 0.7. With the bound of 5 s, this is 2 s. Ordinary ages
// are lower: the root reads every 0.5 s, or 0.6 s after changes, and its next
// answer arrives when the time of the previous call is 1.1 s ago at most. An
// update that is lost is repeated by the next heartbeat, 0.4 s later: 1.5 s,
// plus the transit through root and relay.
constexpr double max_confirmed_age_share = 0.4;
// Further defects of a configuration are only counted.
constexpr std::size_t max_logged_defects = 16;
constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;

// A report has about 10 KB.
constexpr std::size_t max_metrics_bytes = 2U << 20U;
constexpr std::size_t max_metrics_connections = 64;

config::resource_limits make_metrics_limits()
{
    config::resource_limits limits;
    limits.max_buffered_bytes = max_metrics_bytes;
    limits.max_connections = max_metrics_connections;
    return limits;
}

QDateTime modification_time(const std::string& file)
{
    QFileInfo info(QString::fromStdString(file));
    info.setCaching(false);
    return info.lastModified();
}

// True when settings differ that take effect only at a restart.
bool needs_restart(const config::mesh_settings& current,
                   const config::mesh_settings& candidate)
{
    return current.id != candidate.id || current.service != candidate.service ||
           current.failure_domain != candidate.failure_domain ||
           current.client_address != candidate.client_address ||
           current.readiness_address != candidate.readiness_address ||
           current.call_address != candidate.call_address ||
           current.metrics_address != candidate.metrics_address ||
           current.backend_address != candidate.backend_address ||
           current.protection != candidate.protection ||
           current.queue_wait != candidate.queue_wait ||
           current.mechanisms != candidate.mechanisms ||
           current.revocation.strict != candidate.revocation.strict ||
           current.revocation.bound != candidate.revocation.bound ||
           current.allowance.window != candidate.allowance.window ||
           current.allowance.tolerance != candidate.allowance.tolerance ||
           current.allowance.slack != candidate.allowance.slack ||
           current.stop_grace != candidate.stop_grace ||
           current.max_buffered_bytes != candidate.max_buffered_bytes ||
           current.max_connections != candidate.max_connections;
}

} // namespace

mesh_control::mesh_control(const config::mesh_settings& options,
                           std::string settings_file, mesh_loop& traffic)
    : options_(options), settings_file_(std::move(settings_file)),
      settings_modified_at_(modification_time(settings_file_)),
      traffic_(traffic), sharing_(config::to_string(options.backend_address)),
      metrics_server_(make_metrics_limits(), *this, traffic.memory())
{
    QObject::connect(&tick_timer_, &QTimer::timeout, &context_object_,
                     [this] { on_tick(); });
    removal_timer_.setSingleShot(true);
    removal_timer_.setTimerType(Qt::PreciseTimer);
    QObject::connect(&removal_timer_, &QTimer::timeout, &context_object_,
                     [this] { expire_instances(); });
}

mesh_control::~mesh_control()
{
    // The traffic thread outlives this object.
    traffic_.run_and_wait([this] { traffic_.set_update_handler(nullptr); });
}

absl::Status mesh_control::start(mesh::discovery& source)
{
    if (auto status = listen_with_retry(
            [this]
            { return metrics_server_.listen(options_.metrics_address); });
        !status.ok())
    {
        return status;
    }
    source_ = &source;
    traffic_.post_task([this] { traffic_.set_update_handler(this); });
    source.start();
    tick_timer_.start(tick_interval);
    return absl::OkStatus();
}

void mesh_control::on_configuration(
    std::shared_ptr<const mesh::configuration> next)
{
    if (next->version <= configuration_version_)
    {
        log(log_level::info, "configuration_stale", "version={} in_force={}",
            next->version, configuration_version_);
        return;
    }
    log(log_level::info, "configuration_applied",
        "version={} before={} routes={} defects={} revision={}", next->version,
        configuration_version_, next->routes.size(), next->defects.size(),
        history_revision_text(source_->revision()));
    const auto logged = std::min(next->defects.size(), max_logged_defects);
    for (const auto& defect : std::span(next->defects).first(logged))
    {
        log(log_level::error, "configuration_defect", "version={} why=\"{}\"",
            next->version, defect);
    }
    configuration_version_ = next->version;
    configuration_defects_ = next->defects.size();
    keys_required_ = next->organisations.has_value();
    sharing_.set_max_confirmed_age(
        options_.revocation.strict && keys_required_
            ? std::optional(from_seconds(seconds(options_.revocation.bound) *
                                         max_confirmed_age_share))
            : std::nullopt);
    if (directory_.set_services(mesh::named_services(*next)) &&
        discovery_complete_)
    {
        // Before the configuration that sends requests to them.
        publish_instances();
        schedule_publish();
    }
    traffic_.post_task([this, next] { traffic_.apply_configuration(next); });
}

void mesh_control::on_instance(const instance& item)
{
    log(log_level::info, "instance_listed",
        "instance={} service={} domain={} slots={} leaving={} lifetime={} "
        "revision={}",
        item.id, item.service, item.failure_domain, item.slots, item.leaving,
        item.incarnation, history_revision_text(source_->revision()));
    directory_.put(item);
    schedule_publish();
}

void mesh_control::on_instance_removed(std::string_view id)
{
    const auto pending_before = directory_.pending_removals();
    directory_.remove(id, boot_clock::now());
    log(log_level::info, "instance_unlisted",
        "instance={} deferred={} revision={}", id,
        directory_.pending_removals() > pending_before,
        history_revision_text(source_->revision()));
    expire_instances();
    schedule_publish();
}

void mesh_control::on_complete(std::span<const std::string> ids)
{
    discovery_complete_ = true;
    directory_.retain_only(ids, boot_clock::now());
    log(log_level::info, "discovery_read",
        "instances={} deferred_removals={} revision={}", ids.size(),
        directory_.pending_removals(),
        history_revision_text(source_->revision()));
    expire_instances();
    schedule_publish();
}

void mesh_control::on_interrupted(const mesh::failed_call& call)
{
    if (!discovery_interrupted_)
    {
        log(log_level::warn, "discovery_lost", "revision={} why=\"{}\"",
            history_revision_text(source_->revision()), text_of(call.error));
    }
    discovery_interrupted_ = true;
    directory_.on_interrupted(contact_before_reading_.value_or(call.away_since),
                              call.answered ? std::nullopt
                                            : std::optional(call.sent_at));
    sharing_.on_interrupted();
    update_reading();
}

void mesh_control::on_restored()
{
    restore_contact("store");
}

void mesh_control::restore_contact(std::string_view answered_by)
{
    const auto now = boot_clock::now();
    directory_.on_restored(now);
    if (discovery_interrupted_)
    {
        const auto deferred_for = directory_.defer_until().value_or(now) - now;
        log(log_level::info, "discovery_back",
            "by={} removals_deferred_ms={} revision={}", answered_by,
            std::max<std::int64_t>(milliseconds(deferred_for), 0),
            history_revision_text(source_->revision()));
    }
    discovery_interrupted_ = false;
    contact_before_reading_.reset();
}

void mesh_control::on_history_replaced()
{
    directory_.on_history_replaced(boot_clock::now());
}

void mesh_control::on_read(const versioned_delta& changes, time_point as_of)
{
    const auto now = boot_clock::now();
    sharing_.on_own_read(changes.revision, now);
    confirm(changes.revision, as_of);
    // Before the decision to stop reading: the subscribers miss the changes
    // too.
    if (sharing_.should_forward(now))
    {
        forward(sharing_.make_update(changes, now));
    }
    update_reading();
}

// The changes up to the revision were passed to the traffic thread before, and
// its tasks run in order.
void mesh_control::confirm(std::uint64_t revision, time_point as_of)
{
    sharing_.on_confirmed(revision, as_of);
    if (source_->has_latest_configuration())
    {
        traffic_.post_task([this, as_of]
                           { traffic_.confirm_configuration(as_of); });
    }
}

void mesh_control::on_update(std::string_view peer,
                             const mesh::discovery_update& update)
{
    QMetaObject::invokeMethod(
        &context_object_,
        [this, peer = std::string(peer), update]
        { apply_update(peer, update); },
        Qt::QueuedConnection);
}

void mesh_control::on_revision_seen(std::uint64_t revision)
{
    QMetaObject::invokeMethod(
        &context_object_,
        [this, revision]
        {
            sharing_.on_revision_seen(revision);
            update_reading();
        },
        Qt::QueuedConnection);
}

void mesh_control::apply_update(const std::string& peer,
                                const mesh::discovery_update& update)
{
    if (era_of(update.changes.revision) < era_of(source_->revision()))
    {
        // The sender has not noticed that the source was restored from a copy,
        // or does not know of eras.
        log(log_level::debug, "discovery_update_late",
            "peer={} era={} latest={}", peer, era_of(update.changes.revision),
            era_of(source_->revision()));
        return;
    }
    // Before the changes, among which may be entries that expired while the
    // source was unavailable.
    if (mesh::discovery_sharing::is_recent(update.age))
    {
        restore_contact(peer);
    }
    // A state older than this node's shows nothing about its present validity.
    const bool is_current = update.changes.revision >= source_->revision();
    const auto result = source_->apply(update.changes);
    if (result == delta_result::gap)
    {
        log(log_level::debug, "discovery_update_gap",
            "peer={} after={} revision={}", peer,
            history_revision_text(update.changes.after),
            history_revision_text(source_->revision()));
        sharing_.on_gap();
    }
    else
    {
        sharing_.on_update(update.changes.revision, update.age,
                           boot_clock::now());
        if (update.confirmed_at && is_current)
        {
            confirm(update.changes.revision, *update.confirmed_at);
        }
        if (sharing_.forwards_updates())
        {
            forward(update);
        }
    }
    update_reading();
}

void mesh_control::forward(mesh::discovery_update update)
{
    if (sharing_.subscribers().empty())
    {
        return;
    }
    if (!source_->has_latest_configuration())
    {
        update.confirmed_at.reset();
    }
    if (!keys_required_)
    {
        update.confirmed_at.reset();
    }
    const auto peers = std::vector<std::string>(sharing_.subscribers().begin(),
                                                sharing_.subscribers().end());
    traffic_.post_task([this, peers, update]
                       { traffic_.send_update(peers, update); });
}

void mesh_control::update_reading()
{
    const auto now = boot_clock::now();
    const bool reading = sharing_.should_read(source_->revision(), now);
    if (reading != reading_ || sharing_.role() != reader_role_)
    {
        log(log_level::info, "discovery_reader",
            "role={} reading={} subscribers={} revision={}",
            to_string(sharing_.role()), reading, sharing_.subscribers().size(),
            history_revision_text(source_->revision()));
    }
    if (reading && !reading_)
    {
        contact_before_reading_ = sharing_.last_contact();
    }
    reading_ = reading;
    reader_role_ = sharing_.role();
    const bool is_subscriber = reader_role_ == mesh::reader_role::subscriber;
    source_->set_pace(
        {is_subscriber ? subscriber_retry_delay : reader_retry_delay,
         sharing_.limit_wait(
             sharing_.listed() ? batch_delay : unlisted_batch_delay, now),
         sharing_.limit_wait(
             is_subscriber ? subscriber_watch_wait : reader_watch_wait, now)});
    source_->set_reading(reading);
    if (announced_revision_ != source_->applied_revision())
    {
        announced_revision_ = source_->applied_revision();
        traffic_.post_task([this, revision = announced_revision_]
                           { traffic_.set_discovery_revision(revision); });
    }
}

void mesh_control::schedule_publish()
{
    if (publish_scheduled_ || !discovery_complete_)
    {
        return;
    }
    publish_scheduled_ = true;
    // Queued, so that all changes of one discovery response are published
    // together.
    QMetaObject::invokeMethod(
        &context_object_,
        [this]
        {
            publish_scheduled_ = false;
            sharing_.apply(directory_);
            update_reading();
            publish_instances();
        },
        Qt::QueuedConnection);
}

void mesh_control::publish_instances()
{
    auto list = std::make_shared<const mesh::instance_directory>(directory_);
    traffic_.post_task([this, list] { traffic_.apply_instances(list); });
}

void mesh_control::on_tick()
{
    update_reading();
    const auto now = boot_clock::now();
    if (sharing_.heartbeat_due(now))
    {
        forward(sharing_.make_heartbeat(now));
    }
    if (++tick_count_ % ticks_per_file_check == 0 &&
        modification_time(settings_file_) != settings_modified_at_)
    {
        reload_settings();
    }
}

void mesh_control::expire_instances()
{
    const auto now = boot_clock::now();
    if (directory_.expire(now))
    {
        log(log_level::info, "instances_expired", "left={} deferred={}",
            directory_.size(), directory_.pending_removals());
        schedule_publish();
    }
    if (const auto next = directory_.next_removal())
    {
        removal_timer_.start(
            std::chrono::ceil<std::chrono::milliseconds>(*next - now));
    }
}

void mesh_control::reload_settings()
{
    settings_modified_at_ = modification_time(settings_file_);
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
    const mesh::retry_budget_options retry_budget{next->retry_budget.ratio,
                                                  next->retry_budget.slack,
                                                  next->retry_budget.window};
    traffic_.post_task([this, retry_budget]
                       { traffic_.apply_retry_budget(retry_budget); });
    if (next->discovery_address != options_.discovery_address)
    {
        source_->set_address(next->discovery_address);
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
    traffic_.run_and_wait([&] { traffic = traffic_.make_report(); });
    control_report control;
    control.discovery_calls = source_->calls();
    control.discovery_revision = source_->revision();
    control.instance_count = directory_.size();
    control.configuration_defects = configuration_defects_;
    control.discovery_interrupted = discovery_interrupted_;
    control.reads_discovery = reading_;
    response.status = status_ok;
    response.headers = {{"Content-Type", "text/plain; version=0.0.4"}};
    response.body = to_metrics(traffic, control);
    metrics_server_.respond(exchange, response);
}

void mesh_control::on_client_disconnected(std::uint64_t /*exchange*/) {}

} // namespace jujubespan::node
