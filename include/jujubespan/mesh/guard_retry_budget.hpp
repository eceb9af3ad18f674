#ifndef JUJUBESPAN_MESH_GUARD_RETRY_BUDGET_HPP
#define JUJUBESPAN_MESH_GUARD_RETRY_BUDGET_HPP

#include "jujubespan/policy/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace jujubespan::mesh
{

/// @brief Retry budget of a service.
struct retry_budget_options
{
    double ratio{0.2}; ///< Retries allowed per client request.
    /// Retries allowed in addition, for the whole service in one window.
    double slack{10};
    duration window{std::chrono::seconds(10)};
};

/// @brief Why a call counts as a retry.
enum class retry_cause : std::uint8_t
{
    none,
    attempt, ///< An earlier attempt reached a backend server.
    caller   ///< The calling request is itself a retry.
};

/// @brief Share of the retry budget of a service that one guard spends.
///
/// It consists of the ratio of the client requests that ran at this guard and
/// an equal part of the slack. A window's retries are paid by the requests of
/// that window and of the one before, each with a weight; both weights together
/// are less than one. Therefore the shares of all guards of a service sum to
/// less than its budget whichever guards the requests reach and whenever guards
/// restart, as long as no guard counts fewer guards than exist.
class guard_retry_budget
{
public:
    /// @param fleet_starting true when the whole fleet starts now, so that
    /// there was no earlier window. Otherwise an earlier process may have spent
    /// this guard's share, so the slack is withheld for one window.
    guard_retry_budget(retry_budget_options options, bool fleet_starting,
                       time_point now);

    void apply(const retry_budget_options& options) { options_ = options; }

    /// @brief Sets the number of guards that share the slack.
    void set_guard_count(std::size_t guard_count, time_point now);

    /// @brief Counts a client request that runs and is not a retry.
    void record_client_request(time_point now);

    /// @brief Removes a counted client request that has not reached the backend
    /// server: the guard that runs it counts it.
    void withdraw_client_request() { requests_ -= 1; }

    /// @brief Spends one retry if the budget allows it. Calls made by retried
    /// requests leave part of the budget to retries of single attempts, which
    /// are more effective.
    /// @return false when the budget does not allow it.
    bool try_spend(retry_cause cause, time_point now);

    /// @brief Number of retries that may still be spent.
    [[nodiscard]] double remaining(time_point now);

    /// @brief Number of guards that share the slack.
    [[nodiscard]] std::size_t guard_count() const { return guard_count_; }

private:
    // Totals at a time, without the events at that time.
    struct snapshot
    {
        time_point at;
        double requests{0};
        double spent{0};
    };

    void add_snapshot(time_point now);
    [[nodiscard]] bool is_first_window(time_point now) const;
    // This guard's part of the slack.
    [[nodiscard]] double slack(time_point now) const;
    // Client requests in the window that ends at `until`.
    [[nodiscard]] double requests_before(const snapshot& until) const;
    // Retries that the windows that begin at a time still allow.
    [[nodiscard]] double remaining_since(const snapshot& begin) const;
    // Retries that could be spent now if none had been spent in this window.
    [[nodiscard]] double most_at_once(time_point now) const;

    retry_budget_options options_;
    bool fleet_starting_;
    time_point started_at_;
    std::size_t guard_count_{0};
    time_point guard_count_at_{};
    std::deque<snapshot> snapshots_; // of the last two windows
    double requests_{0};             // client requests since the start
    double spent_{0};                // retries since the start
};

} // namespace jujubespan::mesh

#endif
