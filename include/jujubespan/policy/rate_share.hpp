#ifndef JUJUBESPAN_POLICY_RATE_SHARE_HPP
#define JUJUBESPAN_POLICY_RATE_SHARE_HPP

#include "jujubespan/policy/string_map.hpp"
#include "jujubespan/policy/time.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jujubespan
{

/// @brief This node's part of a rate that many nodes share, with no shared
/// counter.
///
/// The sum over nodes stays within the rate while their instance lists
/// disagree, provided that every list lags by less than `lag`:
/// - a new member counts at once, but takes no share before its own list has
///   named it for `lag`;
/// - a removed member counts for another `lag`;
/// - a node that hears of neither platform nor peer for half of `lag` stops
///   taking a share, and is a new member when it hears of them again.
class rate_share
{
public:
    /// @param self id of this node.
    /// @param lag bound on how late any node learns of the list.
    rate_share(std::string self, duration lag);

    /// @brief Takes over contact and membership known since earlier times.
    void restore(std::span<const std::string> members, time_point named,
                 time_point contact);

    /// @brief Applies the ids of all members of this failure domain.
    void apply(std::span<const std::string> members, time_point now);

    /// @brief A peer of the domain or the platform was heard.
    void on_contact(time_point now);

    /// @brief The part of the domain's rate that is this node's, in [0, 1].
    [[nodiscard]] double fraction(time_point now) const;

    /// @brief Members counted, including those removed lately.
    [[nodiscard]] std::size_t counted(time_point now) const;

    /// @brief Takes no share before the next contact; after a long gap this
    /// node is a new member.
    void on_pause(duration gap, time_point now);

private:
    struct membership
    {
        time_point named{};
        time_point removed{time_point::max()};
    };

    void reset(time_point now);

    std::string self_;
    duration lag_;
    time_point last_contact_{};
    bool paused_{false}; // since the last contact
    string_map<membership> members_;
};

/// @brief Token bucket; the rate may change at any time.
class token_bucket
{
public:
    /// @param burst longest time over which unused rate is saved up.
    explicit token_bucket(duration burst) : burst_(burst) {}

    /// @param rate tokens a second from now on.
    bool take(double rate, time_point now);

    /// @brief Time until the next token at a rate.
    [[nodiscard]] duration time_until_token(double rate) const;

private:
    duration burst_;
    double tokens_{0};
    time_point last_{};
};

/// @brief Exponentially averaged rate of events.
class rate_meter
{
public:
    void add(time_point now);
    [[nodiscard]] double per_second(time_point now) const;

private:
    double value_{0};
    time_point last_{};
};

/// @brief Parts of a rate lent and borrowed within a failure domain.
///
/// The lender gives up the rate before it answers and until after the
/// borrower's lease has ended; the borrower counts its lease from the time it
/// asked. A lost grant leaves the rate unused.
class share_leases
{
public:
    /// @param lease length of a lease on the borrower's clock.
    /// @param margin time the lender adds, for clocks that drift.
    share_leases(duration lease, duration margin);

    /// @brief Decides how much of the spare rate to lend.
    /// @return rate granted, zero when none is spare.
    double lend(double asked, double share, double used, time_point now);

    /// @brief A grant arrived for a request sent at `asked_at`.
    void on_grant(double rate, time_point asked_at, time_point now);

    /// @brief The static share, less what is lent, plus what is borrowed.
    [[nodiscard]] double effective_rate(double share, time_point now) const;

    /// @brief Gives up all that is borrowed, as after a pause.
    void forget_borrowed() { borrowed_.clear(); }

private:
    struct lease
    {
        double rate;
        time_point until;
    };

    static double sum(std::span<const lease> leases, time_point now);
    static void expire(std::vector<lease>& leases, time_point now);

    duration lease_;
    duration margin_;
    std::vector<lease> lent_;
    std::vector<lease> borrowed_;
};

} // namespace jujubespan

#endif
