// Tests of which instances count as removed while discovery is available,
// unavailable and available again.

#include "jujubespan/mesh/instance_directory.hpp"

#include "jujubespan/mesh/configuration.hpp"

#include <gtest/gtest.h>

namespace jujubespan::mesh
{
namespace
{

using namespace std::chrono_literals;

const time_point start{1000s};

instance make_instance(std::string id, std::uint64_t incarnation = 1)
{
    instance value;
    value.id = std::move(id);
    value.service = "s";
    value.backend_address = "10.0.0.1:8080";
    value.incarnation = incarnation;
    return value;
}

class instance_directory_test : public ::testing::Test
{
protected:
    instance_directory_test() { list.put(make_instance("a")); }

    instance_directory list;
};

TEST_F(instance_directory_test,
       removal_is_immediate_while_discovery_is_available)
{
    list.remove("a", start);
    EXPECT_EQ(list.state("a"), instance_state::removed);
}

TEST_F(instance_directory_test, unknown_instance_is_not_removed)
{
    EXPECT_EQ(list.state("b"), instance_state::unknown);
}

// Entries expire while the store is down and reappear after it recovers.
TEST_F(instance_directory_test,
       removal_of_an_expired_entry_is_deferred_after_an_outage)
{
    list.on_interrupted(start);
    list.on_restored(start + 5s);
    list.remove("a", start + 5s);
    EXPECT_EQ(list.state("a"), instance_state::usable);
    list.put(make_instance("a"));
    EXPECT_FALSE(list.expire(start + 8s));
    EXPECT_EQ(list.state("a"), instance_state::usable);
}

TEST_F(instance_directory_test,
       entry_missing_two_seconds_after_an_outage_is_removed)
{
    list.on_interrupted(start);
    list.on_restored(start + 5s);
    list.remove("a", start + 5s);
    EXPECT_FALSE(list.expire(start + 6900ms));
    EXPECT_TRUE(list.expire(start + 7s));
    EXPECT_EQ(list.state("a"), instance_state::removed);
}

// The store discards its history and ends its watches; a server left during
// the gap.
TEST_F(instance_directory_test, short_interruption_of_a_watch_defers_no_removal)
{
    list.on_interrupted(start);
    list.on_restored(start + 300ms);
    list.retain_only({}, start + 300ms);
    EXPECT_EQ(list.state("a"), instance_state::removed);
}

// Guards against a deferral that has ended before the removal is learned: an
// update that was delayed for long arrives during a later outage.
TEST_F(instance_directory_test,
       removal_learned_during_a_second_outage_is_deferred)
{
    list.on_interrupted(start);
    list.on_restored(start + 5s);
    list.on_interrupted(start + 60s);
    list.remove("a", start + 61s);
    EXPECT_FALSE(list.expire(start + 62900ms));
    EXPECT_EQ(list.state("a"), instance_state::usable);
    EXPECT_TRUE(list.expire(start + 63s));
}

TEST_F(instance_directory_test, leaving_is_never_deferred)
{
    list.on_interrupted(start);
    list.on_restored(start + 5s);
    auto leaving = make_instance("a");
    leaving.leaving = true;
    list.put(leaving);
    EXPECT_EQ(list.state("a"), instance_state::leaving);
}

TEST_F(instance_directory_test, restart_under_the_same_id_is_usable)
{
    list.remove("a", start);
    list.put(make_instance("a", 2));
    EXPECT_EQ(list.state("a"), instance_state::usable);
}

// All machines lose power. Servers restart under new ids while their old
// entries have not expired yet, and clocks may have jumped.
TEST_F(instance_directory_test, latest_entry_is_valid_for_its_address)
{
    auto restarted = make_instance("b", 0);
    restarted.created_revision = 7;
    list.put(restarted);
    ASSERT_NE(list.find_by_backend_address("10.0.0.1:8080"), nullptr);
    EXPECT_EQ(list.find_by_backend_address("10.0.0.1:8080")->id, "b");
    EXPECT_EQ(list.state("a"), instance_state::removed);
    ASSERT_EQ(list.all().size(), 1U);
    list.put(make_instance("a")); // A late report of the old entry.
    EXPECT_EQ(list.all().front().id, "b");
}

// An instance that registered after the copy was made is missing in it although
// it lives, however short the outage was.
TEST_F(instance_directory_test, restored_copy_defers_removals_for_two_seconds)
{
    list.put(make_instance("b"));
    list.on_interrupted(start);
    const auto restored = start + 300ms;
    list.on_restored(restored);
    list.on_history_replaced(restored);
    list.retain_only({}, restored);
    EXPECT_FALSE(list.expire(restored + 1900ms));
    EXPECT_EQ(list.state("a"), instance_state::usable);
    list.put(make_instance("a"));
    EXPECT_TRUE(list.expire(restored + 2100ms));
    EXPECT_EQ(list.state("a"), instance_state::usable);
    EXPECT_EQ(list.state("b"), instance_state::removed);
}

// An entry of another program, such as an agent on the machine of a server.
instance make_foreign_entry()
{
    auto item = make_instance("agent");
    item.service = "host-agent";
    item.created_revision = 9;
    return item;
}

// Guards against entries of another program taking servers out of use because
// they list the same address.
TEST_F(instance_directory_test,
       entry_of_an_unnamed_service_replaces_no_instance)
{
    list.set_services({"s", "t"});
    list.put(make_foreign_entry());
    EXPECT_EQ(list.state("a"), instance_state::usable);
    ASSERT_EQ(list.all().size(), 1U);
    EXPECT_EQ(list.all()[0].id, "a");
    EXPECT_EQ(list.find_by_backend_address("10.0.0.1:8080")->id, "a");
    list.remove("agent", start);
    EXPECT_EQ(list.state("a"), instance_state::usable);
}

// The address of a server that has ended may be given to another service, also
// one that the configuration names only later.
TEST_F(instance_directory_test, entry_of_a_named_service_replaces_an_instance)
{
    list.set_services({"s"});
    auto next = make_foreign_entry();
    next.service = "t";
    list.put(next);
    EXPECT_EQ(list.state("a"), instance_state::usable);
    EXPECT_TRUE(list.set_services({"s", "t"}));
    EXPECT_FALSE(list.set_services({"s", "t"}));
    EXPECT_EQ(list.state("a"), instance_state::removed);
    EXPECT_EQ(list.find_by_backend_address("10.0.0.1:8080")->id, "agent");
}

TEST(named_services, are_described_or_targets_of_routes)
{
    configuration value;
    value.services = {{"b", "", 0}, {"a", "", 0}};
    value.routes.resize(2);
    value.routes[0].targets = {{"c", 1}, {"a", 1}};
    EXPECT_EQ(named_services(value), (std::vector<std::string>{"a", "b", "c"}));
}

} // namespace
} // namespace jujubespan::mesh
