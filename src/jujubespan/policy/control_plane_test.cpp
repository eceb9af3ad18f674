#include "jujubespan/policy/control_plane.hpp"
#include "jujubespan/policy/pause_detector.hpp"
#include "jujubespan/policy/versioned_map.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <random>
#include <set>

namespace jujubespan
{
namespace
{

using namespace std::chrono_literals;

const time_point start(1000s);

std::vector<instance> make_list(int count)
{
    std::vector<instance> list;
    for (int i = 0; i < count; ++i)
    {
        instance item;
        item.id = fmt::format("n-{}", i);
        item.failure_domain = fmt::format("d-{}", i % 3);
        list.push_back(item);
    }
    return list;
}

TEST(readers, exactly_the_requested_number_in_each_domain)
{
    auto list = make_list(90);
    std::map<std::string, int> readers;
    for (const auto& item : list)
    {
        readers[item.failure_domain] +=
            is_reader(item.id, item.failure_domain, list, 2) ? 1 : 0;
    }
    for (const auto& [domain, count] : readers)
    {
        EXPECT_EQ(count, 2) << domain;
    }
}

TEST(readers, another_instance_takes_over_when_one_leaves)
{
    auto list = make_list(30);
    for (auto& item : list)
    {
        if (is_reader(item.id, item.failure_domain, list, 1))
        {
            item.leaving = true;
        }
    }
    int readers = 0;
    for (const auto& item : list)
    {
        readers +=
            !item.leaving && is_reader(item.id, item.failure_domain, list, 1);
    }
    EXPECT_EQ(readers, 3);
}

TEST(select_heartbeat_peers, updates_reach_all_nodes_in_few_steps)
{
    const auto list = make_list(300);
    std::map<std::string, std::vector<instance>> peers;
    for (const auto& item : list)
    {
        peers[item.id] =
            select_heartbeat_peers(item.id, item.failure_domain, list, 2);
        EXPECT_LE(peers[item.id].size(), 9U);
    }
    std::set<std::string> informed{"n-0"};
    int steps = 0;
    while (informed.size() < list.size() && steps < 20)
    {
        const auto before = informed;
        for (const auto& id : before)
        {
            for (const auto& peer : peers[id])
            {
                informed.insert(peer.id);
            }
        }
        ++steps;
    }
    EXPECT_EQ(informed.size(), list.size());
    EXPECT_LE(steps, 10);
}

TEST(fallback_reader, reads_after_heartbeat_timeout_and_random_delay)
{
    fallback_reader reader(3s, 6s);
    EXPECT_FALSE(reader.should_read(0.5, start));
    EXPECT_FALSE(reader.should_read(0.5, start + 5s));
    EXPECT_TRUE(reader.should_read(0.5, start + 6s));
    reader.should_read(0.5, start + 7s);
    reader.on_heartbeat(start + 8s);
    EXPECT_FALSE(reader.should_read(0.5, start + 13s));
}

TEST(pause_detector, reports_a_gap_once)
{
    pause_detector detector(500ms);
    EXPECT_FALSE(detector.detect_pause(start));
    EXPECT_FALSE(detector.detect_pause(start + 400ms));
    EXPECT_EQ(detector.detect_pause(start + 2400ms), duration(2s));
    EXPECT_FALSE(detector.detect_pause(start + 2500ms));
}

TEST(versioned_map, rejects_stale_deltas_and_gaps)
{
    versioned_map map;
    map.apply({0, 5, true, {{"a", 5, "x", false}}});
    EXPECT_EQ(map.check({0, 4, true, {}}), delta_result::stale);
    EXPECT_EQ(map.check({0, 5, true, {}}), delta_result::stale);
    EXPECT_EQ(map.check({6, 7, false, {}}), delta_result::gap);
    EXPECT_EQ(map.check({5, 6, false, {}}), delta_result::applicable);
}

// A reader that skips revisions and applies the delta since its own revision
// has the same entries as the origin.
TEST(versioned_map, deltas_rebuild_the_map)
{
    std::mt19937_64 random(11);
    versioned_map origin;
    versioned_map reader;
    for (int i = 1; i <= 6000; ++i)
    {
        const auto revision = origin.revision() + 1;
        const auto key = fmt::format("k{}", random() % 3000);
        const bool removed = random() % 3 == 0;
        origin.apply({origin.revision(),
                      revision,
                      false,
                      {{key, revision, fmt::format("v{}", i), removed}}});
        if (random() % 50 == 0 || i == 6000)
        {
            const auto delta = origin.delta_after(reader.revision());
            ASSERT_EQ(reader.check(delta), delta_result::applicable);
            reader.apply(delta);
            ASSERT_EQ(reader.entries(), origin.entries());
        }
    }
}

} // namespace
} // namespace jujubespan
