// Tests of revisions of a source that may be restored from an older copy.

#include "jujubespan/policy/history_revision.hpp"

#include <gtest/gtest.h>

namespace jujubespan
{
namespace
{

TEST(history_revision, restored_copy_has_higher_revisions_than_all_before)
{
    EXPECT_GT(make_history_revision(2, 1), make_history_revision(1, 1'000'000));
    EXPECT_GT(make_history_revision(1, 0),
              make_history_revision(0, max_history_number));
    EXPECT_GT(make_history_revision(1, 8), make_history_revision(1, 7));
}

TEST(history_revision, parts_are_kept)
{
    const auto revision = make_history_revision(max_history_era, 12);
    EXPECT_EQ(era_of(revision), max_history_era);
    EXPECT_EQ(number_of(revision), 12U);
}

// Nodes of the version before know only numbers.
TEST(history_revision, is_the_number_in_era_zero)
{
    EXPECT_EQ(make_history_revision(0, 31), 31U);
    EXPECT_EQ(history_revision_text(31), "31");
    EXPECT_EQ(history_revision_text(make_history_revision(2, 31)), "2-31");
}

} // namespace
} // namespace jujubespan
