// Which nodes of a fleet read the discovery source, and how soon each of them
// knows a change, when readers stop, are cut off or hold an older list.

#include "jujubespan/mesh/configuration_age.hpp"
#include "jujubespan/mesh/discovery_sharing.hpp"
#include "jujubespan/mesh/transit_time.hpp"

#include <fmt/format.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>

namespace jujubespan::mesh
{
namespace
{

using namespace std::chrono_literals;

constexpr duration tick = 50ms;
constexpr duration batch_delay = 600ms; // between two reads of a node
constexpr duration watch_wait = 500ms;  // longest wait of a read for a change
constexpr duration read_timeout = 1200ms;
// Of the configuration, above which requests with keys are refused.
constexpr duration max_age = 3500ms;
constexpr duration clock_difference = 700s; // between sender and receiver

std::string backend_address(int number)
{
    return fmt::format("10.0.0.{}:80", number);
}

instance make_instance(int number, const std::string& domain)
{
    instance item;
    item.id = fmt::format("i-{}", number);
    item.service = "s";
    item.failure_domain = domain;
    item.call_address = fmt::format("10.0.0.{}:7620", number);
    item.backend_address = backend_address(number);
    return item;
}

// Nodes that read a source with one revision counter and forward updates. Calls
// take no time, and messages none unless a delay is set.
class simulated_fleet
{
public:
    struct message
    {
        time_point arrives{};
        std::string from;
        time_point sent_at{};
        discovery_update update;
    };

    struct node
    {
        instance self;
        std::unique_ptr<discovery_sharing> sharing;
        std::uint64_t revision{0};
        time_point next_read{};
        time_point read_since{}; // start of the read in progress
        bool alive{true};
        bool source_reachable{true};
        bool source_silent{false}; ///< Reads get no answer and no error.
        bool peers_reachable{true};
        int calls{0};

        transit_time transit{};
        configuration_age age{};
        std::deque<message> inbox{};
        time_point paused_until{};
        /// Revision in an answer that arrived at the beginning of a pause.
        std::optional<std::uint64_t> waiting_answer{};
        bool earlier_version{false}; ///< States no confirmations.
    };

    simulated_fleet(int node_count, int domains)
    {
        for (int i = 0; i < node_count; ++i)
        {
            const auto self =
                make_instance(i, fmt::format("domain-{}", i % domains));
            list.put(self);
            nodes.push_back({self, std::make_unique<discovery_sharing>(
                                       self.backend_address)});
        }
        for (auto& n : nodes)
        {
            n.sharing->apply(list);
        }
    }

    void run_for(duration length)
    {
        for (const auto end = now + length; now < end; now += tick)
        {
            for (auto& n : nodes)
            {
                if (n.alive)
                {
                    step(n);
                }
            }
            exchange_calls();
        }
    }

    // The first reader of a failure domain: its relay, or the root.
    node& first_reader_of(const std::string& domain)
    {
        return *std::find_if(nodes.begin(), nodes.end(),
                             [&](const node& n)
                             {
                                 const auto role = n.sharing->role();
                                 return n.self.failure_domain == domain &&
                                        (role == reader_role::root ||
                                         role == reader_role::relay);
                             });
    }

    [[nodiscard]] int total_calls() const
    {
        int sum = 0;
        for (const auto& n : nodes)
        {
            sum += n.calls;
        }
        return sum;
    }

    // Number of living nodes that reach the source and miss a change.
    [[nodiscard]] int outdated() const
    {
        return static_cast<int>(std::count_if(
            nodes.begin(), nodes.end(),
            [this](const node& n)
            {
                return n.alive && n.source_reachable && !n.source_silent &&
                       n.revision < source_revision;
            }));
    }

    instance_directory list;
    std::vector<node> nodes;
    std::uint64_t source_revision{1};
    time_point now{1000s};
    bool calls_between_nodes{true};
    duration link_delay{};
    time_point links_cut_until{}; ///< Messages of a cut arrive at its end.

    // The revision that revokes a key, and the results of requests with it that
    // clients send to each node all the time.
    std::uint64_t revoking_revision{1'000'000};
    time_point revoked_at{};
    int late_runs{0}; ///< Later than five seconds after the revocation.
    int stale_refusals{0};
    duration oldest{}; ///< Age at a request.

private:
    // Before messages are read: the worst order after a pause.
    void handle_request(node& n)
    {
        const auto age = n.age.age(now);
        const bool stale = !age || *age > max_age;
        stale_refusals += stale ? 1 : 0;
        oldest = std::max(oldest, age.value_or(0s));
        const bool runs = !stale && n.revision < revoking_revision;
        const bool late =
            source_revision >= revoking_revision && now - revoked_at > 5s;
        late_runs += runs && late ? 1 : 0;
    }

    void step(node& n)
    {
        if (now < n.paused_until)
        {
            return;
        }
        handle_request(n);
        receive(n);
        if (n.sharing->should_read(n.revision, now) && now >= n.next_read)
        {
            read(n);
        }
        if (n.sharing->heartbeat_due(now))
        {
            send(n, n.sharing->make_heartbeat(now));
        }
    }

    void read(node& n)
    {
        if (n.source_silent)
        {
            n.read_since = n.read_since == time_point{} ? now : n.read_since;
            if (now - n.read_since >= read_timeout)
            {
                n.read_since = {};
                n.sharing->on_interrupted();
            }
            return;
        }
        if (!n.source_reachable)
        {
            n.sharing->on_interrupted();
            n.next_read = now + batch_delay;
            return;
        }
        const bool changed = source_revision > n.revision;
        n.read_since = n.read_since == time_point{} ? now : n.read_since;
        if (!changed && !n.waiting_answer && now - n.read_since < watch_wait)
        {
            return; // The source holds the read until there is a change.
        }
        const auto sent_at = std::exchange(n.read_since, time_point{});
        n.next_read = changed ? now + batch_delay : now;
        ++n.calls;
        const auto answered = std::exchange(n.waiting_answer, std::nullopt);
        const versioned_delta changes{
            n.revision, answered.value_or(source_revision), false, {}};
        n.revision = std::max(n.revision, changes.revision);
        n.sharing->on_own_read(n.revision, now);
        confirm(n, n.revision, sent_at);
        if (n.sharing->should_forward(now))
        {
            send(n, n.sharing->make_update(changes, now));
        }
    }

    void send(const node& from, const discovery_update& update)
    {
        for (auto& to : nodes)
        {
            const auto peers = from.sharing->subscribers();
            if (!to.alive || !from.peers_reachable || !to.peers_reachable ||
                std::find(peers.begin(), peers.end(), to.self.call_address) ==
                    peers.end())
            {
                continue;
            }
            to.inbox.push_back({std::max(now + link_delay, links_cut_until),
                                from.self.call_address, now, update});
            if (from.earlier_version)
            {
                to.inbox.back().update.confirmed_at.reset();
            }
            if (now >= to.paused_until)
            {
                receive(to);
            }
        }
    }

    void receive(node& n)
    {
        while (!n.inbox.empty() && n.inbox.front().arrives <= now)
        {
            auto received = std::move(n.inbox.front());
            n.inbox.pop_front();
            handle_update(n, received, received.update);
        }
    }

    void handle_update(node& to, const message& received,
                       discovery_update& update)
    {
        if (update.confirmed_at)
        {
            const auto age = received.sent_at - *update.confirmed_at;
            const auto transit = to.transit.on_message(
                received.from, 1,
                received.sent_at.time_since_epoch() - clock_difference, now);
            update.confirmed_at =
                transit ? std::optional(now - *transit - age) : std::nullopt;
        }
        if (update.changes.after > to.revision)
        {
            to.sharing->on_gap();
            return;
        }
        to.revision = std::max(to.revision, update.changes.revision);
        to.sharing->on_update(to.revision, update.age, now);
        if (update.confirmed_at)
        {
            confirm(to, update.changes.revision, *update.confirmed_at);
        }
        if (to.sharing->forwards_updates())
        {
            send(to, update);
        }
    }

    static void confirm(node& n, std::uint64_t revision, time_point as_of)
    {
        n.sharing->on_confirmed(revision, as_of);
        n.age.on_confirmed(as_of);
    }

    // Every node calls nodes of all domains: each learns the highest revision.
    void exchange_calls()
    {
        std::uint64_t highest = 0;
        for (const auto& n : nodes)
        {
            highest = n.alive && n.peers_reachable
                          ? std::max(highest, n.revision)
                          : highest;
        }
        for (auto& n : nodes)
        {
            if (calls_between_nodes && n.alive && n.peers_reachable)
            {
                n.sharing->on_revision_seen(highest);
            }
        }
    }
};

TEST(discovery_sharing, one_node_of_a_calm_fleet_reads)
{
    simulated_fleet fleet(195, 5);
    fleet.run_for(5s);
    const int before = fleet.total_calls();
    EXPECT_LE(before, 195 * 2) << "calls of the start";
    fleet.run_for(60s);
    EXPECT_LE(fleet.total_calls() - before, 60 * 2)
        << "one read of half a second after the other";
}

// A rolling replacement of backend servers changes the source all the time.
TEST(discovery_sharing, calls_in_a_series_of_changes_do_not_grow_with_the_fleet)
{
    std::map<int, int> calls;
    for (const int nodes : {30, 300})
    {
        simulated_fleet fleet(nodes, 3);
        fleet.run_for(5s);
        const int before = fleet.total_calls();
        for (int i = 0; i < 100; ++i)
        {
            ++fleet.source_revision;
            fleet.run_for(200ms);
        }
        fleet.run_for(2s);
        EXPECT_EQ(fleet.outdated(), 0);
        calls[nodes] = fleet.total_calls() - before;
    }
    EXPECT_EQ(calls[30], calls[300]);
}

// The relay reads what it missed; its subscribers must not have to read it too.
TEST(discovery_sharing, relay_forwards_what_it_reads_after_a_gap)
{
    simulated_fleet fleet(60, 3);
    fleet.run_for(5s);
    for (const auto* domain : {"domain-0", "domain-1", "domain-2"})
    {
        auto& reader = fleet.first_reader_of(domain);
        if (reader.sharing->role() == reader_role::relay)
        {
            const int before = fleet.total_calls();
            ++fleet.source_revision;
            reader.sharing->on_gap();
            fleet.run_for(duration(tick));
            EXPECT_GE(fleet.total_calls() - before, 1);
            EXPECT_LE(fleet.total_calls() - before, 2) << "relay and root";
        }
    }
    fleet.run_for(1s);
    EXPECT_EQ(fleet.outdated(), 0);
}

class changed_fleet : public ::testing::Test
{
protected:
    // Publishes a change and expects all nodes to know it within two seconds.
    void expect_change_in_time()
    {
        ++fleet.source_revision;
        fleet.run_for(2s);
        EXPECT_EQ(fleet.outdated(), 0);
    }

    simulated_fleet fleet{60, 3};
};

TEST_F(changed_fleet, knows_a_change)
{
    fleet.run_for(5s);
    expect_change_in_time();
}

TEST_F(changed_fleet, knows_a_change_after_all_readers_are_killed)
{
    fleet.run_for(5s);
    for (const auto* domain : {"domain-0", "domain-1", "domain-2"})
    {
        fleet.first_reader_of(domain).alive = false;
    }
    expect_change_in_time();
}

// The killed readers and their standbys stay listed for a while.
TEST_F(changed_fleet, knows_a_change_after_half_of_the_fleet_is_killed)
{
    fleet.run_for(5s);
    for (auto& n : fleet.nodes)
    {
        n.alive = n.alive && n.sharing->role() == reader_role::subscriber &&
                  &n - fleet.nodes.data() < 40;
    }
    expect_change_in_time();
}

TEST_F(changed_fleet, knows_a_change_while_a_reader_is_cut_off_from_the_source)
{
    fleet.run_for(5s);
    fleet.first_reader_of("domain-1").source_reachable = false;
    expect_change_in_time();
    fleet.run_for(2s);
    expect_change_in_time();
}

// The store stops answering some nodes without an error, the readers among
// them, and serves the others.
TEST_F(changed_fleet, knows_a_change_while_the_source_is_silent_to_readers)
{
    for (const bool relays_too : {false, true})
    {
        fleet.run_for(5s);
        for (auto& n : fleet.nodes)
        {
            const auto role = n.sharing->role();
            n.source_silent = role == reader_role::root ||
                              (relays_too && (role == reader_role::relay ||
                                              role == reader_role::standby));
        }
        expect_change_in_time();
        for (auto& n : fleet.nodes)
        {
            n.source_silent = false;
        }
    }
}

TEST_F(changed_fleet, knows_a_change_without_calls_between_nodes)
{
    fleet.calls_between_nodes = false;
    fleet.run_for(5s);
    fleet.first_reader_of("domain-2").alive = false;
    expect_change_in_time();
}

TEST_F(changed_fleet, node_cut_off_from_its_peers_reads_for_itself)
{
    fleet.run_for(5s);
    for (auto& n : fleet.nodes)
    {
        n.peers_reachable = n.self.failure_domain != "domain-0";
    }
    expect_change_in_time();
}

TEST_F(changed_fleet, node_that_no_other_lists_reads_for_itself)
{
    const auto own = make_instance(100, "domain-0");
    fleet.nodes.push_back(
        {own, std::make_unique<discovery_sharing>(own.backend_address)});
    fleet.nodes.back().sharing->apply(fleet.list);
    fleet.run_for(5s);
    expect_change_in_time();
}

// With strict revocation. No request that a client sends later than the bound
// after the revocation of its key may run.
class strict_fleet : public ::testing::Test
{
protected:
    strict_fleet()
    {
        for (auto& n : fleet.nodes)
        {
            n.sharing->set_max_confirmed_age(2s);
        }
        fleet.link_delay = 100ms;
        fleet.run_for(5s);
        fleet.oldest = 0s;
        fleet.stale_refusals = 0;
    }

    void revoke()
    {
        fleet.revoking_revision = ++fleet.source_revision;
        fleet.revoked_at = fleet.now;
    }

    void silence(std::initializer_list<reader_role> roles)
    {
        for (auto& n : fleet.nodes)
        {
            n.source_silent = std::find(roles.begin(), roles.end(),
                                        n.sharing->role()) != roles.end();
        }
    }

    // Revokes the key a second from now, and expects whether nodes refuse
    // requests because of the age of their configuration.
    void expect_no_late_run(bool refusals)
    {
        fleet.run_for(1s);
        revoke();
        fleet.run_for(10s);
        EXPECT_EQ(fleet.late_runs, 0);
        EXPECT_EQ(fleet.stale_refusals > 0, refusals) << fleet.oldest / 1ms;
    }

    simulated_fleet fleet{30, 3};
};

// With an age that ordinary operation exceeds, requests with valid keys would
// be refused; with a lower limit for reads, all nodes would read.
TEST_F(strict_fleet, age_stays_low_in_ordinary_operation)
{
    const int before = fleet.total_calls();
    expect_no_late_run(false);
    EXPECT_LT(fleet.oldest, 1600ms);
    EXPECT_LE(fleet.total_calls() - before, 11 * 2);
}

// Requests, and an answer that does not contain the revocation, wait in the
// sockets of a paused node.
TEST_F(strict_fleet, revoked_while_waiting)
{
    fleet.run_for(100ms);
    int answers = 0;
    for (auto& n : fleet.nodes)
    {
        n.paused_until = fleet.now + 8s;
        if (n.read_since != time_point{})
        {
            n.waiting_answer = fleet.source_revision;
            ++answers;
        }
    }
    EXPECT_GT(answers, 0);
    expect_no_late_run(true);
    fleet.stale_refusals = 0;
    fleet.run_for(2s);
    EXPECT_EQ(fleet.stale_refusals, 0);
}

TEST_F(strict_fleet, message_delivered_late_is_not_taken_as_recent)
{
    silence(
        {reader_role::relay, reader_role::standby, reader_role::subscriber});
    fleet.links_cut_until = fleet.now + 6500ms;
    expect_no_late_run(true);
    fleet.stale_refusals = 0;
    fleet.run_for(2s);
    EXPECT_EQ(fleet.stale_refusals, 0) << "the updates of the root arrive";
}

TEST_F(strict_fleet, readers_that_the_source_no_longer_answers_are_replaced)
{
    silence({reader_role::root, reader_role::relay});
    expect_no_late_run(false);
}

TEST_F(strict_fleet, nodes_that_the_source_no_longer_answers_refuse)
{
    silence({reader_role::root, reader_role::relay, reader_role::standby,
             reader_role::subscriber});
    expect_no_late_run(true);
}

// During an upgrade, the senders of updates may not state their age.
TEST_F(strict_fleet, updates_of_an_earlier_version_do_not_replace_reads)
{
    for (auto& n : fleet.nodes)
    {
        n.earlier_version = true;
    }
    expect_no_late_run(false);
}

class single_node : public ::testing::Test
{
protected:
    single_node()
    {
        for (int i = 0; i < 8; ++i)
        {
            list.put(make_instance(i, "d"));
        }
        for (int i = 0; i < 8; ++i)
        {
            auto candidate =
                std::make_unique<discovery_sharing>(backend_address(i));
            candidate->apply(list);
            by_role[candidate->role()] = std::move(candidate);
        }
    }

    discovery_sharing& root() { return *by_role[reader_role::root]; }
    discovery_sharing& subscriber()
    {
        return *by_role[reader_role::subscriber];
    }

    instance_directory list;
    std::map<reader_role, std::unique_ptr<discovery_sharing>> by_role;
    time_point now{1000s};
};

TEST_F(single_node, has_each_role_in_a_failure_domain)
{
    EXPECT_EQ(by_role.size(), 3U);
    EXPECT_EQ(root().subscribers().size(), 7U);
}

TEST_F(single_node, reads_the_first_state_itself)
{
    EXPECT_TRUE(subscriber().should_read(0, now));
    subscriber().on_gap();
    EXPECT_TRUE(subscriber().should_read(0, now));
    subscriber().on_own_read(5, now);
    subscriber().on_update(5, 0ms, now);
    EXPECT_FALSE(subscriber().should_read(5, now));
}

TEST_F(single_node, reads_after_a_gap_until_its_read_is_complete)
{
    subscriber().on_own_read(5, now);
    subscriber().on_update(5, 0ms, now);
    subscriber().on_gap();
    EXPECT_TRUE(subscriber().should_read(5, now));
    subscriber().on_own_read(9, now);
    EXPECT_FALSE(subscriber().should_read(9, now));
}

// A reader that was paused, or whose connection to the source is dead, still
// has subscribers that it must not reassure.
TEST_F(single_node, reader_without_contact_sends_no_heartbeat)
{
    root().on_own_read(5, now);
    EXPECT_TRUE(root().should_read(5, now));
    EXPECT_TRUE(root().heartbeat_due(now));
    EXPECT_FALSE(root().heartbeat_due(now + 100ms));
    EXPECT_TRUE(root().heartbeat_due(now + 500ms));
    EXPECT_FALSE(root().heartbeat_due(now + 1300ms));
    EXPECT_FALSE(root().heartbeat_due(now + 10s));
    root().on_own_read(6, now + 10s);
    EXPECT_TRUE(root().heartbeat_due(now + 10s));
    root().on_interrupted();
    EXPECT_FALSE(root().heartbeat_due(now + 11s));
}

TEST_F(single_node, outdated_update_does_not_replace_a_read)
{
    subscriber().on_own_read(5, now);
    subscriber().on_update(5, 10s, now);
    EXPECT_TRUE(subscriber().should_read(5, now));
}

// The source turns this node away and serves its reader.
TEST_F(single_node, failing_reader_stops_when_updates_arrive)
{
    subscriber().on_own_read(5, now);
    subscriber().on_interrupted();
    subscriber().on_update(6, 10s, now);
    EXPECT_TRUE(subscriber().should_read(6, now)) << "outdated";
    subscriber().on_update(6, 100ms, now);
    EXPECT_FALSE(subscriber().should_read(6, now));
}

TEST_F(single_node, last_contact_counts_the_age_of_an_update)
{
    subscriber().on_own_read(5, now);
    subscriber().on_update(5, 400ms, now + 2s);
    EXPECT_EQ(subscriber().last_contact(), now + 1600ms);
}

// Sent to a whole failure domain, a large configuration would occupy the link
// of the reader for seconds.
TEST_F(single_node, large_changes_are_announced_and_not_forwarded)
{
    versioned_delta changes{5, 7, false, {}};
    changes.entries.push_back(
        {"configuration", 7, std::string(1U << 20U, 'x'), false});
    const auto update = root().make_update(changes, now);
    EXPECT_TRUE(update.changes.entries.empty());
    EXPECT_EQ(update.changes.after, 7U);
    EXPECT_EQ(update.changes.revision, 7U);
}

TEST_F(single_node, leaving_instance_is_not_a_reader)
{
    int readers = 0;
    for (int i = 0; i < 8; ++i)
    {
        auto leaving = make_instance(i, "d");
        leaving.leaving = true;
        instance_directory changed = list;
        changed.put(leaving);
        discovery_sharing node(backend_address(i));
        node.apply(changed);
        readers += node.role() == reader_role::subscriber ? 0 : 1;
    }
    EXPECT_EQ(readers, 0);
}

} // namespace
} // namespace jujubespan::mesh
