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
constexpr std::size_t lenders_asked = 3;
constexpr std::size_t foreign_peers = 2;
constexpr duration pause_threshold = std::chrono::milliseconds(1000);
constexpr duration shortest_heartbeat = std::chrono::milliseconds(200);
constexpr duration longest_heartbeat = std::chrono::seconds(2);
constexpr int heartbeats_per_lag = 5;
constexpr duration fallback_silence = std::chrono::seconds(3);
constexpr duration fallback_spread = std::chrono::seconds(6);
constexpr std::size_t max_borrows = 1024;
constexpr int start_spread_ms = 1000;

std::string_view name_of(topic which)
{
    return which == topic::contracts ? "contracts" : "instances";
}

} // namespace

control_loop::control_loop(const config::settings& options,
                           std::uint64_t incarnation, zmq::context_t& context,
                           traffic_loop& traffic, peer::authenticator* keys)
    : options_(options), incarnation_(incarnation), traffic_(traffic),
      keys_(keys), random_(incarnation),
      peers_(context, options, incarnation, *this),
      platform_(options.platform_address, incarnation, *this),
      operators_(*this), fallback_(fallback_silence, fallback_spread),
      pauses_(pause_threshold)
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
    allow_keys();
    choose_peers();
    // Spread, so that nodes that start together stay within the read budget.
    std::uniform_int_distribution<int> delay(0, start_spread_ms);
    QTimer::singleShot(delay(random_), &tick_timer_,
                       [this] { platform_.read_topics(); });
    tick_timer_.start(tick_interval);
    return absl::OkStatus();
}

duration control_loop::heartbeat_interval() const
{
    return std::clamp(options_.list_lag / heartbeats_per_lag,
                      shortest_heartbeat, longest_heartbeat);
}

void control_loop::on_tick()
{
    const auto now = boot_clock::now();
    if (pauses_.observe(now))
    {
        // What peers and platform said before the pause may be out of date.
        broadcast();
        platform_.read_topics();
    }
    peers_.on_tick(now);
    send_heartbeats(now);
    if (now >= next_borrow_)
    {
        next_borrow_ = now + borrow_interval;
        ask_for_shares(now);
    }
    const double random = std::uniform_real_distribution<double>(0, 1)(random_);
    if (!platform_.watching() && fallback_.should_read(random, now))
    {
        platform_.read_topics();
    }
}

void control_loop::send_heartbeats(time_point now)
{
    if (now < next_heartbeat_ || neighbours_.empty())
    {
        return;
    }
    // One peer at a time, so that each hears once in the interval.
    next_heartbeat_ =
        now + heartbeat_interval() / static_cast<int>(neighbours_.size());
    next_neighbour_ = (next_neighbour_ + 1) % neighbours_.size();
    peers_.send(neighbours_[next_neighbour_], present());
}

void control_loop::broadcast()
{
    for (const auto& peer : neighbours_)
    {
        peers_.send(peer, present());
    }
}

peer::heartbeat control_loop::present() const
{
    peer::heartbeat value;
    value.leaving = leaving_;
    value.contracts_revision = store_.revision(topic::contracts);
    value.instances_revision = store_.revision(topic::instances);
    value.load = traffic_.load();
    return value;
}

void control_loop::note_contact(std::string_view peer)
{
    if (std::find(own_domain_.begin(), own_domain_.end(), peer) !=
        own_domain_.end())
    {
        traffic_.post(
            [this]
            { traffic_.calls().customers().on_contact(boot_clock::now()); });
    }
}

void control_loop::on_heartbeat(std::string_view peer,
                                std::uint64_t incarnation,
                                const peer::heartbeat& value)
{
    fallback_.on_digest(boot_clock::now());
    note_contact(peer);
    auto& known = incarnations_[std::string(peer)];
    const bool restarted = known != 0 && known != incarnation;
    known = incarnation;
    traffic_.post(
        [this, id = std::string(peer), value, restarted]
        {
            const auto now = boot_clock::now();
            if (restarted)
            {
                traffic_.calls().on_peer_restart(id, now);
            }
            if (value.leaving)
            {
                traffic_.calls().on_peer_leaving(id);
            }
            traffic_.calls().on_peer_load(id, value.load, now);
        });
    bool ahead = false;
    for (const auto which : all_topics)
    {
        const auto theirs = value.revision(which);
        const auto ours = store_.revision(which);
        if (theirs > ours && theirs > store_.rejected(which))
        {
            peers_.send_fetch(peer, which, ours);
        }
        ahead = ahead || ours > theirs;
    }
    if (ahead)
    {
        peers_.send(peer, present());
    }
}

void control_loop::on_fetch(std::string_view peer, topic which,
                            std::uint64_t after)
{
    const auto delta = store_.delta_after(which, after);
    if (delta.revision > after)
    {
        peers_.send(peer, which, delta);
    }
}

void control_loop::on_delta(std::string_view peer, topic which,
                            const versioned_delta& delta)
{
    apply(which, delta, peer);
}

void control_loop::on_platform_delta(topic which, const versioned_delta& delta)
{
    const auto result = apply(which, delta, "platform");
    if (result == store_result::stale)
    {
        log(log_level::warn, "platform_stale",
            "topic={} revision={} in_force={}", name_of(which), delta.revision,
            store_.revision(which));
        return;
    }
    traffic_.post(
        [this] { traffic_.calls().customers().on_contact(boot_clock::now()); });
}

void control_loop::on_platform_failure(topic which, const absl::Status& why)
{
    log(log_level::warn, "platform_unavailable", "topic={} why=\"{}\"",
        name_of(which), text_of(why));
}

store_result control_loop::apply(topic which, const versioned_delta& delta,
                                 std::string_view source)
{
    absl::Status why;
    const auto result = store_.apply(which, delta, why);
    if (result == store_result::rejected)
    {
        log(log_level::error, "revision_rejected",
            "topic={} revision={} in_force={} source={} why=\"{}\"",
            name_of(which), delta.revision, store_.revision(which), source,
            text_of(why));
    }
    if (result == store_result::applied)
    {
        log(log_level::info, "revision_applied",
            "topic={} revision={} source={}", name_of(which),
            store_.revision(which), source);
        publish(which);
    }
    return result;
}

void control_loop::publish(topic which)
{
    if (which == topic::contracts)
    {
        traffic_.post([this, table = store_.contracts()]
                      { traffic_.calls().apply_contracts(table); });
    }
    else
    {
        traffic_.post([this, list = store_.instances()]
                      { traffic_.apply_instances(list); });
        allow_keys();
        choose_peers();
        choose_reader();
    }
    broadcast();
}

void control_loop::allow_keys()
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

void control_loop::choose_peers()
{
    const auto& list = store_.instances();
    const auto chosen = select_heartbeat_peers(
        options_.id, options_.failure_domain, list, foreign_peers);
    std::vector<peer::peer_address> addresses;
    neighbours_.clear();
    lenders_.clear();
    own_domain_.clear();
    for (const auto& item : list)
    {
        if (item.failure_domain == options_.failure_domain &&
            item.id != options_.id)
        {
            own_domain_.push_back(item.id);
        }
    }
    for (const auto& item : chosen)
    {
        addresses.push_back({item.id, item.control_address, item.public_key});
        neighbours_.push_back(item.id);
        if (item.failure_domain == options_.failure_domain)
        {
            lenders_.push_back(item.id);
        }
    }
    for (const auto& seed : options_.seeds)
    {
        const bool known = std::find(neighbours_.begin(), neighbours_.end(),
                                     seed.id) != neighbours_.end();
        if (list.empty() && !known && seed.id != options_.id)
        {
            addresses.push_back({seed.id,
                                 config::to_string(seed.control_address),
                                 options_.keys.trusted_keys.empty()
                                     ? std::string()
                                     : options_.keys.trusted_keys[0]});
            neighbours_.push_back(seed.id);
        }
    }
    peers_.set_peers(addresses);
}

void control_loop::choose_reader()
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

void control_loop::ask_for_shares(time_point now)
{
    traffic_.post(
        [this, now]
        {
            auto wishes = traffic_.calls().customers().take_wishes(now);
            if (!wishes.empty())
            {
                post([this, wishes = std::move(wishes), now]
                     { borrow(wishes, now); });
            }
        });
}

void control_loop::borrow(std::span<const engine::borrow_wish> wishes,
                          time_point asked_at)
{
    if (borrows_.size() > max_borrows)
    {
        borrows_.clear(); // Grants that never came.
    }
    if (lenders_.empty())
    {
        return;
    }
    for (const auto& wish : wishes)
    {
        for (std::size_t i = 0; i < lenders_asked; ++i)
        {
            next_lender_ = (next_lender_ + 1) % lenders_.size();
            const auto id = next_borrow_id_++;
            borrows_[id] = {wish.customer, asked_at};
            peers_.send_borrow(lenders_[next_lender_],
                               {id, wish.customer, wish.rate / lenders_asked});
        }
    }
}

void control_loop::post(std::function<void()> task)
{
    QMetaObject::invokeMethod(&tick_timer_, std::move(task),
                              Qt::QueuedConnection);
}

void control_loop::on_borrow(std::string_view peer,
                             const peer::rate_lease& request)
{
    const bool same_domain = std::find(own_domain_.begin(), own_domain_.end(),
                                       peer) != own_domain_.end();
    if (!same_domain || leaving_)
    {
        return;
    }
    traffic_.post(
        [this, id = std::string(peer), request]
        {
            auto& calls = traffic_.calls();
            const auto terms = calls.contracts().find(request.customer);
            if (!terms)
            {
                return;
            }
            const double granted =
                calls.customers().lend(*terms, request.rate, boot_clock::now());
            if (granted <= 0)
            {
                return;
            }
            post(
                [this, id, request, granted] {
                    peers_.send_grant(id,
                                      {request.id, request.customer, granted});
                });
        });
}

void control_loop::on_grant(const peer::rate_lease& grant)
{
    const auto found = borrows_.find(grant.id);
    if (found == borrows_.end() || found->second.customer != grant.customer)
    {
        return;
    }
    const borrow_state asked = found->second;
    borrows_.erase(found);
    traffic_.post(
        [this, asked, rate = grant.rate]
        {
            traffic_.calls().customers().on_grant(
                asked.customer, rate, asked.asked_at, boot_clock::now());
        });
}

void control_loop::begin_drain()
{
    leaving_ = true;
    platform_.stop_watching();
    broadcast();
}

operators::node_report control_loop::report()
{
    operators::node_report result;
    traffic_.run([&] { traffic_.fill(result); });
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
    result.rejected_revision = store_.rejected(topic::contracts);
    result.stale_deltas = store_.stale();
    result.platform_calls = platform_.call_count();
    result.reader = platform_.watching();
    return result;
}

std::vector<engine::decision>
control_loop::decisions(std::string_view request_id)
{
    std::vector<engine::decision> result;
    traffic_.run([&]
                 { result = traffic_.calls().decisions().find(request_id); });
    return result;
}

} // namespace jujubespan::node
