#ifndef JUJUBESPAN_POLICY_ADMISSION_QUEUE_HPP
#define JUJUBESPAN_POLICY_ADMISSION_QUEUE_HPP

#include "jujubespan/policy/admission_level.hpp"
#include "jujubespan/policy/time.hpp"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace jujubespan
{

/// @brief A call that waits for a concurrency slot of the backend server.
struct queued_call
{
    std::uint64_t id{0};
    shed_key key{0};
    /// Queued before the other calls of its class, for example because other
    /// services have already worked on its request.
    bool prioritized{false};
    time_point arrived{};
    time_point deadline{};
};

/// @brief Outcome of offering a call to the queue.
struct offer_result
{
    bool accepted{false};
    /// Id of the call removed to make room.
    std::optional<std::uint64_t> evicted;
};

/// @brief Priority queue bounded by waiting time.
///
/// Calls are ordered by request class, then prioritized calls before others,
/// then by shed key, then by arrival. The bound is the number of calls that
/// complete within the target wait. It is four times as high for prioritized
/// calls, because a refusal wastes the work that other services have done for
/// them. When the bound is reached, a call of higher priority evicts the call
/// of lowest priority.
class admission_queue
{
public:
    /// @param target_wait wait that the bound allows at the current completion
    /// rate.
    /// @param hard_limit maximum number of queued calls at any rate.
    admission_queue(duration target_wait, std::size_t hard_limit);

    /// @brief Queues a call if the bound and its priority allow it.
    offer_result offer(const queued_call& call);

    /// @brief Removes and returns the call to run next.
    ///
    /// Calls that cannot finish before their deadline are moved to `expired`.
    std::optional<queued_call> pop(time_point now,
                                   std::vector<std::uint64_t>& expired);

    /// @brief Removes calls that cannot finish before their deadline.
    std::vector<std::uint64_t> take_expired(time_point now);

    /// @brief Sets the maximum number of queued calls at any rate.
    /// @return ids of the calls removed because they exceed it, lowest priority
    /// first.
    std::vector<std::uint64_t> set_hard_limit(std::size_t hard_limit);

    /// @brief Removes the calls of lowest priority while there are more than
    /// `bound`, or four times as many if the lowest one is prioritized. Does
    /// not change the bound for further calls.
    /// @return ids of the calls removed, lowest priority first.
    std::vector<std::uint64_t> trim(std::size_t bound);

    /// @brief Removes a call; returns false when it is not queued.
    bool remove(std::uint64_t id);

    /// @brief Sets the completion rate, from which the bound follows, and the
    /// service time, from which the expiry of calls follows.
    void update_service_rate(double completions_per_second,
                             duration service_time);

    [[nodiscard]] std::size_t size() const { return order_.size(); }
    [[nodiscard]] bool empty() const { return order_.empty(); }
    [[nodiscard]] std::size_t bound() const { return bound_; }

    /// @brief Wait of the call queued longest; zero when the queue is empty.
    [[nodiscard]] duration oldest_wait(time_point now) const;

private:
    struct priority
    {
        std::uint64_t rank;
        std::uint64_t sequence;
        std::uint64_t id;

        bool operator<(const priority& other) const
        {
            return std::pair(rank, sequence) <
                   std::pair(other.rank, other.sequence);
        }
    };

    static std::uint64_t rank_of(const queued_call& call);
    [[nodiscard]] bool cannot_finish(const queued_call& call,
                                     time_point now) const;
    void erase(const priority& entry);

    duration target_wait_;
    std::size_t hard_limit_;
    std::size_t bound_;
    duration service_time_{};
    std::uint64_t next_sequence_{0};
    absl::btree_set<priority> order_;
    absl::flat_hash_map<std::uint64_t, std::pair<priority, queued_call>> calls_;
    absl::btree_set<std::pair<time_point, std::uint64_t>> by_arrival_;
};

} // namespace jujubespan

#endif
