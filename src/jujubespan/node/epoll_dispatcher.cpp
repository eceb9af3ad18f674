#include "jujubespan/node/epoll_dispatcher.hpp"

#include "jujubespan/metrics/log.hpp"

#include <QCoreApplication>
#include <QEvent>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <cstring>

namespace jujubespan::node
{

namespace
{

// Descriptors handled per iteration of the loop; the rest are handled in the
// next one.
constexpr int max_events_per_iteration = 128;

constexpr std::array<unsigned, 3> events_of_type{EPOLLIN, EPOLLOUT, EPOLLPRI};
// A hang-up or an error activates every notifier of the descriptor, whose next
// read or write then reports it.
constexpr unsigned error_or_hangup_events = EPOLLERR | EPOLLHUP;

} // namespace

epoll_dispatcher::epoll_dispatcher()
    : epoll_descriptor_(::epoll_create1(EPOLL_CLOEXEC)),
      wake_up_descriptor_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = wake_up_descriptor_;
    if (epoll_descriptor_ < 0 || wake_up_descriptor_ < 0 ||
        ::epoll_ctl(epoll_descriptor_, EPOLL_CTL_ADD, wake_up_descriptor_,
                    &event) != 0)
    {
        qFatal("cannot create the descriptors of an event loop: %s",
               std::strerror(errno));
    }
}

epoll_dispatcher::~epoll_dispatcher()
{
    ::close(wake_up_descriptor_);
    ::close(epoll_descriptor_);
}

bool epoll_dispatcher::processEvents(QEventLoop::ProcessEventsFlags flags)
{
    interrupted_ = false;
    loop_thread_id_ = std::this_thread::get_id();
    woken_by_loop_thread_ = false;
    Q_EMIT awake();
    QCoreApplication::sendPostedEvents();
    if (interrupted_)
    {
        return false;
    }
    const bool may_block = flags.testFlag(QEventLoop::WaitForMoreEvents);
    if (may_block)
    {
        Q_EMIT aboutToBlock();
    }
    apply_pending_changes();
    std::array<epoll_event, max_events_per_iteration> events{};
    const int count =
        ::epoll_wait(epoll_descriptor_, events.data(), max_events_per_iteration,
                     wait_timeout_ms(may_block));
    int handled = 0;
    if (count > 0 && !flags.testFlag(QEventLoop::ExcludeSocketNotifiers))
    {
        handled += activate_notifiers(
            std::span(events).first(static_cast<std::size_t>(count)));
    }
    handled += fire_timers();
    return handled > 0;
}

int epoll_dispatcher::activate_notifiers(std::span<const epoll_event> events)
{
    int handled = 0;
    for (const auto& event : events)
    {
        if (event.data.fd == wake_up_descriptor_)
        {
            clear_wake_up();
            ++handled;
            continue;
        }
        for (std::size_t type = 0; type < events_of_type.size(); ++type)
        {
            if ((event.events &
                 (events_of_type[type] | error_or_hangup_events)) == 0)
            {
                continue;
            }
            // Looked up for each event: a handler may remove any notifier.
            const auto found = descriptors_.find(event.data.fd);
            if (found == descriptors_.end() ||
                found->second.notifiers[type] == nullptr)
            {
                continue;
            }
            QEvent activation(QEvent::SockAct);
            QCoreApplication::sendEvent(found->second.notifiers[type],
                                        &activation);
            ++handled;
        }
    }
    return handled;
}

void epoll_dispatcher::registerSocketNotifier(QSocketNotifier* notifier)
{
    const auto descriptor = static_cast<int>(notifier->socket());
    descriptors_[descriptor].notifiers[notifier->type()] = notifier;
    mark_changed(descriptor);
}

void epoll_dispatcher::unregisterSocketNotifier(QSocketNotifier* notifier)
{
    const auto descriptor = static_cast<int>(notifier->socket());
    const auto found = descriptors_.find(descriptor);
    if (found == descriptors_.end() ||
        found->second.notifiers[notifier->type()] != notifier)
    {
        return;
    }
    auto& notifiers = found->second.notifiers;
    notifiers[notifier->type()] = nullptr;
    found->second.possibly_reopened =
        found->second.possibly_reopened ||
        std::all_of(notifiers.begin(), notifiers.end(),
                    [](const auto* item) { return item == nullptr; });
    mark_changed(descriptor);
}

void epoll_dispatcher::mark_changed(int descriptor)
{
    auto& entry = descriptors_[descriptor];
    if (!entry.change_pending)
    {
        entry.change_pending = true;
        changed_descriptors_.push_back(descriptor);
    }
}

// Sockets enable and disable their notifiers often, so changes are collected
// and only the state before the next wait is passed to the kernel.
void epoll_dispatcher::apply_pending_changes()
{
    for (const int descriptor : changed_descriptors_)
    {
        auto& entry = descriptors_[descriptor];
        entry.change_pending = false;
        unsigned events = 0;
        for (std::size_t type = 0; type < events_of_type.size(); ++type)
        {
            events |=
                entry.notifiers[type] != nullptr ? events_of_type[type] : 0;
        }
        // Often unchanged: each write enables and disables a notifier.
        if (events != entry.events || entry.possibly_reopened)
        {
            update_registration(descriptor, entry, events);
        }
        entry.possibly_reopened = false;
        if (events == 0)
        {
            descriptors_.erase(descriptor);
        }
    }
    changed_descriptors_.clear();
}

void epoll_dispatcher::update_registration(int descriptor,
                                           descriptor_state& entry,
                                           unsigned events)
{
    epoll_event event{};
    event.events = events;
    event.data.fd = descriptor;
    if (events == 0)
    {
        // Fails if the descriptor has been closed: the kernel has then already
        // removed it.
        ::epoll_ctl(epoll_descriptor_, EPOLL_CTL_DEL, descriptor, &event);
        return;
    }
    // The descriptor may have been closed and opened again since the last
    // call, so that the kernel watches it although it is not expected to, or
    // the reverse.
    const int operation = entry.events == 0 ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
    int result = ::epoll_ctl(epoll_descriptor_, operation, descriptor, &event);
    if (result != 0 && (errno == ENOENT || errno == EEXIST))
    {
        const int fallback_operation =
            errno == ENOENT ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
        result = ::epoll_ctl(epoll_descriptor_, fallback_operation, descriptor,
                             &event);
    }
    if (result != 0)
    {
        log(log_level::error, "descriptor_not_watched",
            "descriptor={} why=\"{}\"", descriptor, std::strerror(errno));
    }
    entry.events = events;
}

int epoll_dispatcher::wait_timeout_ms(bool may_block) const
{
    if (!may_block || interrupted_ || woken_by_loop_thread_)
    {
        return 0;
    }
    if (timers_by_due_time_.empty())
    {
        return -1;
    }
    const auto remaining = timers_by_due_time_.begin()->first - clock::now();
    const auto ms =
        std::chrono::ceil<std::chrono::milliseconds>(remaining).count();
    return static_cast<int>(std::max<std::int64_t>(0, ms));
}

void epoll_dispatcher::registerTimer(int id, qint64 interval,
                                     Qt::TimerType type, QObject* object)
{
    unregisterTimer(id);
    const std::chrono::milliseconds timer_interval(interval);
    const auto due_at = clock::now() + timer_interval;
    timers_[id] = {timer_interval, type, object, due_at};
    timers_by_due_time_.insert({due_at, id});
}

bool epoll_dispatcher::unregisterTimer(int id)
{
    const auto found = timers_.find(id);
    if (found == timers_.end())
    {
        return false;
    }
    timers_by_due_time_.erase({found->second.due_at, id});
    timers_.erase(found);
    return true;
}

bool epoll_dispatcher::unregisterTimers(QObject* object)
{
    std::vector<int> ids;
    for (const auto& [id, item] : timers_)
    {
        if (item.object == object)
        {
            ids.push_back(id);
        }
    }
    for (const int id : ids)
    {
        unregisterTimer(id);
    }
    return !ids.empty();
}

QList<QAbstractEventDispatcher::TimerInfo>
epoll_dispatcher::registeredTimers(QObject* object) const
{
    QList<TimerInfo> result;
    for (const auto& [id, item] : timers_)
    {
        if (item.object == object)
        {
            const auto ms =
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    item.interval);
            result.append(
                TimerInfo(id, static_cast<int>(ms.count()), item.type));
        }
    }
    return result;
}

int epoll_dispatcher::remainingTime(int id)
{
    const auto found = timers_.find(id);
    if (found == timers_.end())
    {
        return -1;
    }
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            found->second.due_at - clock::now());
    return static_cast<int>(std::max<std::int64_t>(0, remaining.count()));
}

int epoll_dispatcher::fire_timers()
{
    const auto now = clock::now();
    std::vector<int> ids;
    for (const auto& [due_at, id] : timers_by_due_time_)
    {
        if (due_at > now)
        {
            break;
        }
        ids.push_back(id);
    }
    int fired = 0;
    for (const int id : ids)
    {
        const auto found = timers_.find(id);
        if (found == timers_.end() || found->second.due_at > now)
        {
            continue; // Removed or restarted by an earlier handler.
        }
        auto& item = found->second;
        timers_by_due_time_.erase({item.due_at, id});
        // Missed expirations are skipped.
        item.due_at = std::max(item.due_at + item.interval, now);
        timers_by_due_time_.insert({item.due_at, id});
        QTimerEvent event(id);
        QCoreApplication::sendEvent(item.object, &event);
        ++fired;
    }
    return fired;
}

void epoll_dispatcher::wakeUp()
{
    if (std::this_thread::get_id() == loop_thread_id_.load())
    {
        // The loop is not waiting now and must not block in this iteration.
        woken_by_loop_thread_ = true;
        return;
    }
    if (wake_up_pending_.exchange(true))
    {
        return;
    }
    const std::uint64_t increment = 1;
    // Fails only when the eventfd counter is at its maximum; the descriptor is
    // then readable and wakes the loop anyway.
    [[maybe_unused]] const auto bytes_written =
        ::write(wake_up_descriptor_, &increment, sizeof increment);
}

void epoll_dispatcher::clear_wake_up()
{
    std::uint64_t count = 0;
    [[maybe_unused]] const auto bytes_read =
        ::read(wake_up_descriptor_, &count, sizeof count);
    wake_up_pending_ = false;
}

void epoll_dispatcher::interrupt()
{
    interrupted_ = true;
    wakeUp();
}

} // namespace jujubespan::node
