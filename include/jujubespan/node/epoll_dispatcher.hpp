#ifndef JUJUBESPAN_NODE_EPOLL_DISPATCHER_HPP
#define JUJUBESPAN_NODE_EPOLL_DISPATCHER_HPP

#include <QAbstractEventDispatcher>
#include <QSocketNotifier>

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include <array>
#include <atomic>
#include <chrono>
#include <span>
#include <thread>
#include <utility>
#include <vector>

struct epoll_event;

namespace jujubespan::node
{

/// @brief Qt event dispatcher based on epoll, for threads with many
/// descriptors.
///
/// The dispatchers that come with Qt pass all descriptors to poll() in each
/// iteration of the loop. With epoll the cost of an iteration depends only on
/// the number of ready descriptors.
class epoll_dispatcher final : public QAbstractEventDispatcher
{
public:
    epoll_dispatcher();
    ~epoll_dispatcher() override;
    epoll_dispatcher(const epoll_dispatcher&) = delete;
    epoll_dispatcher& operator=(const epoll_dispatcher&) = delete;

    bool processEvents(QEventLoop::ProcessEventsFlags flags) override;

    void registerSocketNotifier(QSocketNotifier* notifier) override;
    void unregisterSocketNotifier(QSocketNotifier* notifier) override;

    void registerTimer(int id, qint64 interval, Qt::TimerType type,
                       QObject* object) override;
    bool unregisterTimer(int id) override;
    bool unregisterTimers(QObject* object) override;
    [[nodiscard]] QList<TimerInfo>
    registeredTimers(QObject* object) const override;
    int remainingTime(int id) override;

    /// @brief Wakes the loop if it is waiting. Thread-safe.
    void wakeUp() override;
    void interrupt() override;

private:
    using clock = std::chrono::steady_clock;

    struct descriptor_state
    {
        // Indexed by QSocketNotifier::Type.
        std::array<QSocketNotifier*, 3> notifiers{};
        unsigned events{0}; // registered with epoll
        bool change_pending{false};
        // The descriptor had no notifier at some time since the last update, so
        // it may have been closed and opened again.
        bool possibly_reopened{false};
    };

    struct timer
    {
        clock::duration interval{};
        Qt::TimerType type{};
        QObject* object{nullptr};
        clock::time_point due_at{};
    };

    void mark_changed(int descriptor);
    void apply_pending_changes();
    void update_registration(int descriptor, descriptor_state& entry,
                             unsigned events);
    [[nodiscard]] int wait_timeout_ms(bool may_block) const;
    int activate_notifiers(std::span<const epoll_event> events);
    int fire_timers();
    void clear_wake_up();

    int epoll_descriptor_;
    int wake_up_descriptor_;
    std::atomic<std::thread::id> loop_thread_id_;
    // Set when wakeUp() is called on the thread that runs the loop.
    bool woken_by_loop_thread_{false};
    std::atomic<bool> wake_up_pending_{false};
    std::atomic<bool> interrupted_{false};
    // Keyed by descriptor.
    absl::flat_hash_map<int, descriptor_state> descriptors_;
    std::vector<int> changed_descriptors_;
    // Keyed by timer id.
    absl::flat_hash_map<int, timer> timers_;
    absl::btree_set<std::pair<clock::time_point, int>> timers_by_due_time_;
};

} // namespace jujubespan::node

#endif
