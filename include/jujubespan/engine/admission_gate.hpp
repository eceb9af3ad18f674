#ifndef JUJUBESPAN_ENGINE_ADMISSION_GATE_HPP
#define JUJUBESPAN_ENGINE_ADMISSION_GATE_HPP

#include "jujubespan/policy/admission_queue.hpp"
#include "jujubespan/policy/concurrency_limit.hpp"
#include "jujubespan/policy/shed_level.hpp"
#include "jujubespan/policy/time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace jujubespan::engine
{

/// @brief What happens to a call that arrives at the gate.
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
    std::optional<std::uint64_t> evicted;
};

/// @brief Calls that left the queue.
struct gate_release
{
    std::vector<std::uint64_t> run;
    std::vector<std::uint64_t> expired;
};

/// @brief Guards one backend server: concurrency limit, queue and admission
/// level.
class admission_gate
{
public:
    /// @param limit null: everything runs at once.
    admission_gate(std::unique_ptr<concurrency_limit> limit,
                   duration queue_wait, std::size_t max_queue);

    /// @brief Offers a call; `run` counts it as running.
    gate_result offer(const queued_call& call, time_point now);

    /// @brief Counts a call refused by its level, which is offered load too.
    void on_refused(shed_key key) { controller_.on_offered(key); }

    /// @brief A running call ended.
    /// @param self_time time without waits for other services.
    /// @param occupancy time that the call held its slot.
    void on_finish(duration self_time, duration occupancy, bool completed,
                   time_point now);

    /// @brief The backend server refused a call as overloaded.
    void on_backend_refusal(time_point now);

    /// @brief Takes calls off the queue while there is room.
    gate_release dequeue_ready(time_point now);

    /// @brief Replaces the limit, as when the published slots change.
    void replace_limit(std::unique_ptr<concurrency_limit> limit)
    {
        limit_ = std::move(limit);
    }

    /// @brief Removes a queued call.
    bool remove(std::uint64_t id) { return queue_.remove(id); }

    /// @brief Ends a control interval when it is due.
    /// @return calls whose deadline passed in the queue.
    std::vector<std::uint64_t> tick(time_point now);

    /// @brief Forgets measurements, as after a pause.
    void reset(time_point now);

    [[nodiscard]] shed_level level() const { return controller_.level(); }
    [[nodiscard]] std::uint32_t running() const { return running_; }
    [[nodiscard]] std::size_t queued() const { return queue_.size(); }
    [[nodiscard]] std::uint32_t limit(time_point now) const;

private:
    void count_start(time_point now);
    void integrate(time_point now);
    void measure_occupancy();

    std::unique_ptr<concurrency_limit> limit_;
    admission_queue queue_;
    shed_controller controller_;
    std::uint32_t running_{0};
    double busy_seconds_{0}; // slots in use, over the interval
    time_point integrated_to_{};
    time_point interval_start_{};
    load_sample sample_;
    double occupancy_{0};    // seconds that a call holds its slot
    double held_seconds_{0}; // by calls finished in the interval
    unsigned finished_{0};
};

} // namespace jujubespan::engine

#endif
