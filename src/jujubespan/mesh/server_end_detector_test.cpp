// Tests of how the end of a backend server is distinguished from other
// failures.

#include "jujubespan/mesh/server_end_detector.hpp"

#include <gtest/gtest.h>

namespace jujubespan::mesh
{
namespace
{

using namespace std::chrono_literals;
using engine::backend_probe_result;
using finding = server_end_detector::finding;

const time_point start{1000s};

TEST(server_end_detector, refused_probe_shows_the_end_to_all_open_exchanges)
{
    server_end_detector target;
    EXPECT_EQ(target.on_exchange_failed(start, start + 90ms),
              finding::probe_needed);
    EXPECT_EQ(target.on_exchange_failed(start + 50ms, start + 90ms),
              finding::undecided);
    EXPECT_TRUE(
        target.on_probe_end(backend_probe_result::refused, start + 91ms));
    EXPECT_EQ(target.on_exchange_failed(start + 80ms, start + 92ms),
              finding::ended);
}

TEST(server_end_detector, server_that_accepts_connections_has_not_ended)
{
    for (const auto result :
         {backend_probe_result::accepted, backend_probe_result::unknown})
    {
        server_end_detector target;
        EXPECT_EQ(target.on_exchange_failed(start, start + 90ms),
                  finding::probe_needed);
        EXPECT_FALSE(target.on_probe_end(result, start + 91ms));
        EXPECT_EQ(target.on_exchange_failed(start, start + 92ms),
                  finding::probe_needed);
    }
}

// A restarted server may end again before it has answered anything.
TEST(server_end_detector, exchange_of_a_new_process_needs_its_own_probe)
{
    server_end_detector target;
    target.on_exchange_failed(start, start + 90ms);
    target.on_probe_end(backend_probe_result::refused, start + 91ms);
    EXPECT_EQ(target.on_exchange_failed(start + 2s, start + 2100ms),
              finding::probe_needed);
}

TEST(server_end_detector, overdue_probe_is_given_up)
{
    server_end_detector target;
    target.on_exchange_failed(start, start);
    EXPECT_FALSE(target.give_up_probe(start + 50ms));
    EXPECT_TRUE(target.is_probing());
    EXPECT_TRUE(target.give_up_probe(start + 150ms));
    EXPECT_FALSE(target.is_probing());
    EXPECT_FALSE(
        target.on_probe_end(backend_probe_result::refused, start + 160ms));
}

} // namespace
} // namespace jujubespan::mesh
