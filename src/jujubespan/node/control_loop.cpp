#include "jujubespan/node/control_loop.hpp"

#include "jujubespan/config/status_text.hpp"
#include "jujubespan/metrics/log.hpp"

#include <algorithm>

namespace jujubespan::node
{

namespace
{

constexpr auto tick_interval = std::chrono::milliseconds(50);
constexpr duration borrow_interval = std::chrono::milliseconds(500);
constexpr std::size_t lenders_per_request = 3;
constexpr std::size_t peers_in_other_domains = 2;
constexpr duration pause_threshold = std::chrono::milliseconds(1000);
constexpr duration min_heartbeat_interval = std::chrono::milliseconds(200);
constexpr duration max_heartbeat_interval = std::chrono::seconds(2);
constexpr int heartbeats_per_list_lag = 5;
constexpr duration fallback_read_delay = std::chrono::seconds(3);
constexpr duration fallback_read_jitter = std::chrono::seconds(6);
constexpr std::size_t max_pending_borrows = 1024;
constexpr int max_first_read_delay_ms = 1000;

std::string_view topic_name(topic topic_id)
{
    return topic_id == topic::contracts ? "contracts" : "instances";
}

} // namespace

control_loop::control_loop(const config::settings& options,
                           std::uint64_t incarnation, zmq::context_t& context,
                           traffic_loop& traffic, peer::authenticator* keys)
    : options_(options), incarnation_(incarnation), traffic_(traffic),
      keys_(keys), random_engine_(incarnation),
      peers_(context, options, incarnation, *this),
      platform_(options.platform_address, incarnation, *this),
      operators_(*this, traffic.memory()),
      fallback_reader_(fallback_read_delay, fallback_read_jitter),
      pause_detector_(pause_threshold)
{
    QObject::connect(&tick_timer_, &QTimer::timeout, &tick_timer_,
                     [this] { on_tick(); });
}

absl::Status control_loop::start()
{
    if (auto status = peers_.bind(options_.control_address); !status.ok())
    {
        return status;
    }
    if (auto status = operators_.listen(options_.operators_address);
        !status.ok())
    {
        return status;
    }
    update_allowed_keys();
    update_peers();
    // A random delay keeps nodes that start together within the read budget
    // of the platform.
    std::uniform_int_distribution<int> delay(0, max_first_read_delay_ms);
    QTimer::singleShot(delay(random_engine_), &tick_timer_,
                       [this] { platform_.read_topics(); });
    tick_timer_.start(tick_interval);
    return absl::OkStatus();
}

duration control_loop::heartbeat_interval() const
{
    return std::clamp(options_.list_lag / heartbeats_per_list_lag,
                      min_heartbeat_interval, max_heartbeat_interval);
}

void control_loop::on_tick()
{
    const auto now = boot_clock::now();
    if (pause_detector_.detect_pause(now))
    {
        // Revisions received before the process was paused may be out of date.
        broadcast_heartbeat();
        platform_.read_topics();
    }
    peers_.on_tick(now);
    send_heartbeats(now);
    if (now >= next_borrow_at_)
    {
        next_borrow_at_ = now + borrow_interval;
        collect_borrow_requests(now);
    }
    const double uniform_random =
        std::uniform_real_distribution<double>(0, 1)(random_engine_);
    if (!platform_.watching() &&
        fallback_reader_.should_read(uniform_random, now))
    {
        platform_.read_topics();
    }
}

void control_loop::send_heartbeats(time_point now)
{
    if (now < next_heartbeat_at_ || heartbeat_peers_.empty())
    {
        return;
    }
    // One peer at a time, evenly spaced: each peer receives one heartbeat per
    // interval.
    next_heartbeat_at_ =
        now + heartbeat_interval() / static_cast<int>(heartbeat_peers_.size());
    next_heartbeat_peer_ = (next_heartbeat_peer_ + 1) % heartbeat_peers_.size();
    peers_.send(heartbeat_peers_[next_heartbeat_peer_], current_heartbeat());
}

void control_loop::broadcast_heartbeat()
{
    for (const auto& peer : heartbeat_peers_)
    {
        peers_.send(peer, current_heartbeat());
    }
}

peer::heartbeat control_loop::current_heartbeat() const
{
    peer::heartbeat own_heartbeat;
    own_heartbeat.leaving = leaving_;
    own_heartbeat.contracts_revision = store_.revision(topic::contracts);
    own_heartbeat.instances_revision = store_.revision(topic::instances);
    own_heartbeat.load = traffic_.load();
    return own_heartbeat;
}

void control_loop::record_domain_contact(std::string_view peer)
{
    if (std::find(domain_peers_.begin(), domain_peers_.end(), peer) !=
        domain_peers_.end())
    {
        traffic_.post_task(
            [this] {
                traffic_.call_engine().customers().on_contact(
                    boot_clock::now());
            });
    }
}

void control_loop::on_heartbeat(std::string_view peer,
                                std::uint64_t incarnation,
                                const peer::heartbeat& peer_heartbeat)
{
    fallback_reader_.on_heartbeat(boot_clock::now());
    record_domain_contact(peer);
    auto& known = incarnations_[std::string(peer)];
    const bool restarted = known != 0 && known != incarnation;
    known = incarnation;
    traffic_.post_task(
        [this, id = std::string(peer), peer_heartbeat, restarted]
        {
            const auto now = boot_clock::now();
            if (restarted)
            {
                traffic_.call_engine().on_peer_restart(id, now);
            }
            if (peer_heartbeat.leaving)
            {
                traffic_.call_engine().on_peer_leaving(id);
            }
            traffic_.call_engine().on_peer_load(id, peer_heartbeat.load, now);
        });
    bool peer_is_behind = false;
    for (const auto topic_id : all_topics)
    {
        const auto peer_revision = peer_heartbeat.revision(topic_id);
        const auto own_revision = store_.revision(topic_id);
        if (peer_revision > own_revision &&
            peer_revision > store_.highest_rejected_revision(topic_id))
        {
            peers_.send_fetch(peer, topic_id, own_revision);
        }
        peer_is_behind = peer_is_behind || own_revision > peer_revision;
    }
    if (peer_is_behind)
    {
        peers_.send(peer, current_heartbeat());
    }
}

void control_loop::on_fetch(std::string_view peer, topic topic_id,
                            std::uint64_t after_revision)
{
    const auto delta = store_.delta_after(topic_id, after_revision);
    if (delta.revision > after_revision)
    {
        peers_.send(peer, topic_id, delta);
    }
}

void control_loop::on_delta(std::string_view peer, topic topic_id,
                            const versioned_delta& delta)
{
    apply(topic_id, delta, peer);
}

void control_loop::on_platform_delta(topic topic_id,
                                     const versioned_delta& delta)
{
    const auto result = apply(topic_id, delta, "platform");
    if (result == store_result::stale)
    {
        log(log_level::warn, "platform_stale",
            "topic={} revision={} in_force={}", topic_name(topic_id),
            delta.revision, store_.revision(topic_id));
        return;
    }
    traffic_.post_task(
        [this]
        { traffic_.call_engine().customers().on_contact(boot_clock::now()); });
}

void control_loop::on_platform_failure(topic topic_id,
                                       const absl::Status& error)
{
    log(log_level::warn, "platform_unavailable", "topic={} why=\"{}\"",
        topic_name(topic_id), text_of(error));
}

store_result control_loop::apply(topic topic_id, const versioned_delta& delta,
                                 std::string_view source)
{
    absl::Status error;
    const auto result = store_.apply(topic_id, delta, error);
    if (result == store_result::rejected)
    {
        log(log_level::error, "revision_rejected",
            "topic={} revision={} in_force={} source={} why=\"{}\"",
            topic_name(topic_id), delta.revision, store_.revision(topic_id),
            source, text_of(error));
    }
    if (result == store_result::applied)
    {
        log(log_level::info, "revision_applied",
            "topic={} revision={} source={}", topic_name(topic_id),
            store_.revision(topic_id), source);
        publish(topic_id);
    }
    return result;
}

void control_loop::publish(topic topic_id)
{
    if (topic_id == topic::contracts)
    {
        traffic_.post_task([this, table = store_.contracts()]
                           { traffic_.call_engine().apply_contracts(table); });
    }
    else
    {
        traffic_.post_task([this, list = store_.instances()]
                           { traffic_.apply_instances(list); });
        update_allowed_keys();
        update_peers();
        update_platform_watch();
    }
    broadcast_heartbeat();
}

void control_loop::update_allowed_keys()
{
    if (keys_ == nullptr)
    {
        return;
    }
    std::vector<std::string> keys = options_.keys.trusted_keys;
    for (const auto& item : store_.instances())
    {
        if (!item.public_key.empty())
        {
            keys.push_back(item.public_key);
        }
    }
    keys_->set_allowed_keys(keys);
}

void control_loop::update_peers()
{
    const auto& list = store_.instances();
    const auto selected = select_heartbeat_peers(
        options_.id, options_.failure_domain, list, peers_in_other_domains);
    std::vector<peer::peer_address> addresses;
    heartbeat_peers_.clear();
    lenders_.clear();
    domain_peers_.clear();
    for (const auto& item : list)
    {
        if (item.failure_domain == options_.failure_domain &&
            item.id != options_.id)
        {
            domain_peers_.push_back(item.id);
        }
    }
    for (const auto& item : selected)
    {
        addresses.push_back({item.id, item.control_address, item.public_key});
        heartbeat_peers_.push_back(item.id);
        if (item.failure_domain == options_.failure_domain)
        {
            lenders_.push_back(item.id);
        }
    }
    for (const auto& seed : options_.seeds)
    {
        const bool known =
            std::find(heartbeat_peers_.begin(), heartbeat_peers_.end(),
                      seed.id) != heartbeat_peers_.end();
        if (list.empty() && !known && seed.id != options_.id)
        {
            addresses.push_back({seed.id,
                                 config::to_string(seed.control_address),
                                 options_.keys.trusted_keys.empty()
                                     ? std::string()
                                     : options_.keys.trusted_keys[0]});
            heartbeat_peers_.push_back(seed.id);
        }
    }
    peers_.set_peers(addresses);
}

void control_loop::update_platform_watch()
{
    const bool reader = is_reader(options_.id, options_.failure_domain,
                                  store_.instances(), options_.readers);
    if (reader && !leaving_)
    {
        platform_.start_watching();
    }
    else
    {
        platform_.stop_watching();
    }
}

void control_loop::collect_borrow_requests(time_point now)
{
    traffic_.post_task(
        [this, now]
        {
            auto requests =
                traffic_.call_engine().customers().take_borrow_requests(now);
            if (!requests.empty())
            {
                post_task([this, requests = std::move(requests), now]
                          { send_borrow_requests(requests, now); });
            }
        });
}

void control_loop::send_borrow_requests(
    std::span<const engine::borrow_request> requests, time_point requested_at)
{
    if (pending_borrows_.size() > max_pending_borrows)
    {
        pending_borrows_.clear(); // Requests that were never answered.
    }
    if (lenders_.empty())
    {
        return;
    }
    for (const auto& request : requests)
    {
        for (std::size_t i = 0; i < lenders_per_request; ++i)
        {
            next_lender_ = (next_lender_ + 1) % lenders_.size();
            const auto id = next_borrow_id_++;
            pending_borrows_[id] = {request.customer, requested_at};
            peers_.send_borrow(
                lenders_[next_lender_],
                {id, request.customer, request.rate / lenders_per_request});
        }
    }
}

void control_loop::post_task(std::function<void()> task)
{
    QMetaObject::invokeMethod(&tick_timer_, std::move(task),
                              Qt::QueuedConnection);
}

void control_loop::on_borrow(std::string_view peer,
                             const peer::rate_lease& request)
{
    const bool same_domain =
        std::find(domain_peers_.begin(), domain_peers_.end(), peer) !=
        domain_peers_.end();
    if (!same_domain || leaving_)
    {
        return;
    }
    traffic_.post_task(
        [this, id = std::string(peer), request]
        {
            auto& engine = traffic_.call_engine();
            const auto contract = engine.contracts().find(request.customer);
            if (!contract)
            {
                return;
            }
            const double granted = engine.customers().lend_rate(
                *contract, request.rate, boot_clock::now());
            if (granted <= 0)
            {
                return;
            }
            post_task(
                [this, id, request, granted] {
                    peers_.send_grant(id,
                                      {request.id, request.customer, granted});
                });
        });
}

void control_loop::on_grant(const peer::rate_lease& grant)
{
    const auto found = pending_borrows_.find(grant.id);
    if (found == pending_borrows_.end() ||
        found->second.customer != grant.customer)
    {
        return;
    }
    const pending_borrow pending = found->second;
    pending_borrows_.erase(found);
    traffic_.post_task(
        [this, pending, rate = grant.rate]
        {
            traffic_.call_engine().customers().on_lease_granted(
                pending.customer, rate, pending.requested_at,
                boot_clock::now());
        });
}

void control_loop::begin_drain()
{
    leaving_ = true;
    platform_.stop_watching();
    broadcast_heartbeat();
}

operators::node_report control_loop::report()
{
    operators::node_report result;
    traffic_.run_and_wait([&] { traffic_.fill_report(result); });
    result.id = options_.id;
    result.service = options_.service;
    result.failure_domain = options_.failure_domain;
    result.incarnation = incarnation_;
    const auto& counters = peers_.counters();
    result.control = {counters.sent,
                      counters.sent_bytes,
                      counters.received,
                      counters.received_bytes,
                      counters.malformed + counters.wrong_version +
                          counters.wrong_receiver,
                      peers_.connection_count()};
    result.instances_revision = store_.revision(topic::instances);
    result.rejected_revision =
        store_.highest_rejected_revision(topic::contracts);
    result.stale_deltas = store_.stale_delta_count();
    result.platform_calls = platform_.call_count();
    result.watches_platform = platform_.watching();
    return result;
}

std::vector<engine::decision>
control_loop::decisions(std::string_view request_id)
{
    std::vector<engine::decision> result;
    traffic_.run_and_wait(
        [&] { result = traffic_.call_engine().decisions().find(request_id); });
    return result;
}

} // namespace jujubespan::node
