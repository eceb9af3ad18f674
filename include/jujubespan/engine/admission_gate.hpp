#ifndef JUJUBESPAN_ENGINE_ADMISSION_GATE_HPP
#define JUJUBESPAN_ENGINE_ADMISSION_GATE_HPP

#include "jujubespan/policy/admission_level.hpp"
#include "jujubespan/policy/admission_queue.hpp"
#include "jujubespan/policy/concurrency_limit.hpp"
#include "jujubespan/policy/start_pacer.hpp"
#include "jujubespan/policy/time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace jujubespan::engine
{

/// @brief Decision on a call offered to the gate.
enum class gate_verdict
{
    run,
    queued,
    refused
};

/// @brief Result of offering a call.
struct gate_result
{
    gate_verdict verdict{gate_verdict::refused};
    std::optional<std::uint64_t> evicted; ///< Call removed to make room.
};

/// @brief Calls that left the queue.
struct dequeued_calls
{
    std::vector<std::uint64_t> run;
    std::vector<std::uint64_t> expired;
};

/// @brief Controls admission to one backend server with a concurrency limit, a
/// queue and an admission level.
class admission_gate
{
public:
    /// @param limit null disables the concurrency limit.
    /// @param queue_wait target for the wait in the queue.
    admission_gate(std::unique_ptr<concurrency_limit> limit,
                   duration queue_wait, std::size_t max_queue);

    /// @brief Offers a call; on verdict `run` it already counts as running.
    gate_result offer(const queued_call& call, time_point now);

    /// @brief Counts a call refused by the admission level as offered load.
    void count_refused(shed_key key) { controller_.on_offered(key); }

    /// @brief Records the end of a running call.
    /// @param self_time running time without waits for other services.
    /// @param occupancy time for which the call held its slot.
    void on_finish(duration self_time, duration occupancy, bool completed,
                   time_point now);

    /// @brief Records that the backend server refused a call for overload.
    void on_backend_refusal(time_point now);

    /// @brief Removes calls from the queue while slots are free; they then
    /// count as running.
    dequeued_calls dequeue_ready(time_point now);

    /// @brief Replaces the concurrency limit, for example when the published
    /// number of slots has changed.
    void replace_limit(std::unique_ptr<concurrency_limit> limit)
    {
        limit_ = std::move(limit);
    }

    /// @brief Sets a limit of the calls started per second, beside the
    /// concurrency limit; nothing: no limit. The queue then holds no more than
    /// starts within the target wait.
    /// @return ids of the calls removed from the queue.
    std::vector<std::uint64_t> set_start_rate(std::optional<double> rate,
                                              time_point now);

    /// @brief Removes queued calls of lowest priority while there are more than
    /// start within the target wait if calls take `run_time`. Prioritized
    /// calls may be four times as many.
    /// @param run_time zero when it is not known; then none is removed.
    /// @return ids of the calls removed.
    std::vector<std::uint64_t> trim_queue(duration run_time, time_point now);

    /// @brief True while the start rate, and not the concurrency limit, keeps
    /// calls from starting.
    [[nodiscard]] bool is_paced(time_point now) const
    {
        return running_ < limit(now) && !pacer_.may_start(now);
    }

    /// @brief Number of calls in progress that the limits allow on average: the
    /// concurrency limit, or less if the start rate does not reach it.
    [[nodiscard]] std::uint32_t usable_concurrency(time_point now) const;

    /// @brief Removes a queued call.
    bool remove(std::uint64_t id) { return queue_.remove(id); }

    /// @brief Updates the admission level if the control interval has elapsed.
    /// @return ids of the calls whose deadline passed in the queue.
    std::vector<std::uint64_t> update_level(time_point now);

    /// @brief Discards measurements, for example after a pause of the process.
    void reset(time_point now);

    [[nodiscard]] admission_level level() const { return controller_.level(); }
    [[nodiscard]] std::uint32_t running() const { return running_; }
    [[nodiscard]] std::size_t queued() const { return queue_.size(); }
    [[nodiscard]] std::uint32_t limit(time_point now) const;

private:
    [[nodiscard]] bool may_start(time_point now) const;
    void record_start(time_point now);
    void accumulate_busy_time(time_point now);
    void update_mean_occupancy();

    std::unique_ptr<concurrency_limit> limit_;
    start_pacer pacer_;
    duration queue_wait_;
    std::size_t max_queue_;
    admission_queue queue_;
    shed_controller controller_;
    std::uint32_t running_{0};
    // Slots in use, integrated over the interval.
    double busy_slot_seconds_{0};
    time_point busy_time_counted_until_{};
    time_point interval_start_{};
    load_sample sample_;
    // Smoothed mean time for which a call holds its slot.
    double mean_occupancy_seconds_{0};
    // Sum of the occupancy of the calls finished in the interval.
    double finished_occupancy_seconds_{0};
    unsigned finished_calls_{0};
};

} // namespace jujubespan::engine

#endif
