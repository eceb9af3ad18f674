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

/// @brief Event loop of a thread with many descriptors.
///
/// The dispatchers that come with Qt pass all descriptors to poll() in each
/// turn of the loop. Here a turn costs only what became ready.
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

    /// @brief Ends the wait of the loop; may be called on any thread.
    void wakeUp() override;
    void interrupt() override;

private:
    using clock = std::chrono::steady_clock;

    // By QSocketNotifier::Type.
    struct watched
    {
        std::array<QSocketNotifier*, 3> notifiers{};
        unsigned events{0}; // those that the kernel watches
        bool changed{false};
        bool vacant{false}; // had no notifier since the last change: may have
                            // been closed and opened again
    };

    struct timer
    {
        clock::duration interval{};
        Qt::TimerType type{};
        QObject* object{nullptr};
        clock::time_point due{};
    };

    void note_change(int descriptor);
    void apply_changes();
    void update(int descriptor, watched& entry, unsigned events);
    [[nodiscard]] int wait_time(bool may_wait) const;
    int notify(std::span<const epoll_event> events);
    int fire_timers();
    void drain_wake_up();

    int epoll_;
    int wake_up_;
    std::atomic<std::thread::id> owner_; // the thread of the loop
    bool posted_here_{false};            // by the loop's own thread
    std::atomic<bool> woken_{false};
    std::atomic<bool> interrupted_{false};
    absl::flat_hash_map<int, watched> watched_; // by descriptor
    std::vector<int> changed_;
    absl::flat_hash_map<int, timer> timers_; // by id
    absl::btree_set<std::pair<clock::time_point, int>> due_;
};

} // namespace jujubespan::node

#endif
