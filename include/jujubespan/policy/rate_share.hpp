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

/// @brief This node's share of a rate that several nodes divide among
/// themselves without a shared counter.
///
/// The sum of the shares never exceeds the rate, even while the member lists of
/// the nodes differ, provided that every list is out of date by less than
/// `list_lag`:
/// - a new member is counted at once, but takes no share until its own list
///   has contained it for `list_lag`;
/// - a removed member is counted for another `list_lag`;
/// - a node without contact to the platform or a peer for half of `list_lag`
/// takes
///   no share, and is a new member when contact returns.
class rate_share
{
public:
    /// @param self id of this node.
    /// @param list_lag upper bound of the delay with which a change of the list
    /// reaches any node.
    rate_share(std::string self, duration list_lag);

    /// @brief Initialises membership and contact from what the node already
    /// knows.
    /// @param listed_since time since which the members have been listed.
    /// @param last_contact time of the last contact.
    void restore(std::span<const std::string> members, time_point listed_since,
                 time_point last_contact);

    /// @brief Applies a new list of the ids of all members of this failure
    /// domain.
    void apply(std::span<const std::string> members, time_point now);

    /// @brief Records contact with a peer of the domain or with the platform.
    void on_contact(time_point now);

    /// @brief This node's share of the domain's rate, in [0, 1].
    [[nodiscard]] double fraction(time_point now) const;

    /// @brief Number of members among which the rate is divided, including
    /// those removed at most `list_lag` ago.
    [[nodiscard]] std::size_t counted_members(time_point now) const;

    /// @brief Records that the node did not run for a while.
    ///
    /// It takes no share until the next contact. After a gap longer than half
    /// of `list_lag` it is a new member.
    void on_pause(duration gap, time_point now);

private:
    struct membership
    {
        time_point listed_since{};
        time_point removed_at{time_point::max()};
    };

    void restart_membership(time_point now);

    std::string self_;
    duration list_lag_;
    time_point last_contact_{};
    bool paused_{false}; // No contact since the last pause.
    string_map<membership> members_;
};

/// @brief Token bucket; the rate may change at any time.
class token_bucket
{
public:
    /// @param burst longest time over which unused tokens accumulate.
    explicit token_bucket(duration burst) : burst_(burst) {}

    /// @brief Takes a token; returns false when none is available.
    /// @param rate tokens per second from now on.
    bool try_take(double rate, time_point now);

    /// @brief Time until the next token is available at a rate, at most 10 s.
    [[nodiscard]] duration time_until_token(double rate) const;

private:
    duration burst_;
    double tokens_{0};
    time_point last_update_{};
};

/// @brief Exponentially weighted average rate of events.
class rate_meter
{
public:
    /// @brief Records an event.
    void add(time_point now);
    [[nodiscard]] double per_second(time_point now) const;

private:
    double rate_{0};
    time_point last_update_{};
};

/// @brief Parts of a shared rate that nodes of a failure domain lend to each
/// other.
///
/// The lender stops using the rate before it sends the grant and resumes after
/// the borrower's lease has ended. The borrower's lease starts at the time of
/// its request. If the grant is lost, neither uses the rate.
class share_leases
{
public:
    /// @param lease duration of a lease on the borrower's clock.
    /// @param margin time that the lender adds, to allow for clock drift.
    share_leases(duration lease, duration margin);

    /// @brief Grants a peer a lease on part of the spare rate.
    /// @param requested_rate rate that the borrower requested.
    /// @param share rate that is this node's share before leases.
    /// @param own_rate rate that this node uses itself.
    /// @return the rate granted; zero when no rate is spare.
    double grant_lease(double requested_rate, double share, double own_rate,
                       time_point now);

    /// @brief Records the grant of a peer for a request sent at `requested_at`.
    /// A grant that arrives after the end of the lease has no effect.
    void record_grant(double rate, time_point requested_at, time_point now);

    /// @brief The share without the rate lent, plus the rate borrowed.
    [[nodiscard]] double effective_rate(double share, time_point now) const;

    /// @brief Gives up all borrowed rate, for example after a pause.
    void clear_borrowed_rate() { borrowed_.clear(); }

private:
    struct lease
    {
        double rate;
        time_point expires_at;
    };

    static double sum(std::span<const lease> leases, time_point now);
    static void expire(std::vector<lease>& leases, time_point now);

    duration lease_duration_;
    duration margin_;
    std::vector<lease> lent_;
    std::vector<lease> borrowed_;
};

} // namespace jujubespan

#endif
