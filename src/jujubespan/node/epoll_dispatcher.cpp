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

// Descriptors that are handled in one turn of the loop; more wait for the
// next.
constexpr int most_events = 128;

constexpr std::array<unsigned, 3> events_of_type{EPOLLIN, EPOLLOUT, EPOLLPRI};
// An end or error of a connection is read or written by whoever waits.
constexpr unsigned end_events = EPOLLERR | EPOLLHUP;

} // namespace

epoll_dispatcher::epoll_dispatcher()
    : epoll_(::epoll_create1(EPOLL_CLOEXEC)),
      wake_up_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = wake_up_;
    if (epoll_ < 0 || wake_up_ < 0 ||
        ::epoll_ctl(epoll_, EPOLL_CTL_ADD, wake_up_, &event) != 0)
    {
        qFatal("cannot create the descriptors of an event loop: %s",
               std::strerror(errno));
    }
}

epoll_dispatcher::~epoll_dispatcher()
{
    ::close(wake_up_);
    ::close(epoll_);
}

bool epoll_dispatcher::processEvents(QEventLoop::ProcessEventsFlags flags)
{
    interrupted_ = false;
    owner_ = std::this_thread::get_id();
    posted_here_ = false;
    Q_EMIT awake();
    QCoreApplication::sendPostedEvents();
    if (interrupted_)
    {
        return false;
    }
    const bool may_wait = flags.testFlag(QEventLoop::WaitForMoreEvents);
    if (may_wait)
    {
        Q_EMIT aboutToBlock();
    }
    apply_changes();
    std::array<epoll_event, most_events> events{};
    const int count =
        ::epoll_wait(epoll_, events.data(), most_events, wait_time(may_wait));
    int handled = 0;
    if (count > 0 && !flags.testFlag(QEventLoop::ExcludeSocketNotifiers))
    {
        handled +=
            notify(std::span(events).first(static_cast<std::size_t>(count)));
    }
    handled += fire_timers();
    return handled > 0;
}

int epoll_dispatcher::notify(std::span<const epoll_event> events)
{
    int handled = 0;
    for (const auto& event : events)
    {
        if (event.data.fd == wake_up_)
        {
            drain_wake_up();
            ++handled;
            continue;
        }
        for (std::size_t type = 0; type < events_of_type.size(); ++type)
        {
            if ((event.events & (events_of_type[type] | end_events)) == 0)
            {
                continue;
            }
            // Looked up each time: a handler may remove any notifier.
            const auto found = watched_.find(event.data.fd);
            if (found == watched_.end() ||
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
    watched_[descriptor].notifiers[notifier->type()] = notifier;
    note_change(descriptor);
}

void epoll_dispatcher::unregisterSocketNotifier(QSocketNotifier* notifier)
{
    const auto descriptor = static_cast<int>(notifier->socket());
    const auto found = watched_.find(descriptor);
    if (found == watched_.end() ||
        found->second.notifiers[notifier->type()] != notifier)
    {
        return;
    }
    auto& notifiers = found->second.notifiers;
    notifiers[notifier->type()] = nullptr;
    found->second.vacant =
        found->second.vacant ||
        std::all_of(notifiers.begin(), notifiers.end(),
                    [](const auto* item) { return item == nullptr; });
    note_change(descriptor);
}

void epoll_dispatcher::note_change(int descriptor)
{
    auto& entry = watched_[descriptor];
    if (!entry.changed)
    {
        entry.changed = true;
        changed_.push_back(descriptor);
    }
}

// Sockets enable and disable their notifiers often; only the state before the
// next wait matters.
void epoll_dispatcher::apply_changes()
{
    for (const int descriptor : changed_)
    {
        auto& entry = watched_[descriptor];
        entry.changed = false;
        unsigned events = 0;
        for (std::size_t type = 0; type < events_of_type.size(); ++type)
        {
            events |=
                entry.notifiers[type] != nullptr ? events_of_type[type] : 0;
        }
        // Each write enables and disables a notifier.
        if (events != entry.events || entry.vacant)
        {
            update(descriptor, entry, events);
        }
        entry.vacant = false;
        if (events == 0)
        {
            watched_.erase(descriptor);
        }
    }
    changed_.clear();
}

void epoll_dispatcher::update(int descriptor, watched& entry, unsigned events)
{
    epoll_event event{};
    event.events = events;
    event.data.fd = descriptor;
    if (events == 0)
    {
        // Fails when the descriptor was closed, which removed it.
        ::epoll_ctl(epoll_, EPOLL_CTL_DEL, descriptor, &event);
        return;
    }
    // The descriptor may have been closed and opened again since.
    const int first = entry.events == 0 ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
    int result = ::epoll_ctl(epoll_, first, descriptor, &event);
    if (result != 0 && (errno == ENOENT || errno == EEXIST))
    {
        const int second = errno == ENOENT ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
        result = ::epoll_ctl(epoll_, second, descriptor, &event);
    }
    if (result != 0)
    {
        log(log_level::error, "descriptor_not_watched",
            "descriptor={} why=\"{}\"", descriptor, std::strerror(errno));
    }
    entry.events = events;
}

int epoll_dispatcher::wait_time(bool may_wait) const
{
    if (!may_wait || interrupted_ || posted_here_)
    {
        return 0;
    }
    if (due_.empty())
    {
        return -1;
    }
    const auto left = due_.begin()->first - clock::now();
    const auto ms = std::chrono::ceil<std::chrono::milliseconds>(left).count();
    return static_cast<int>(std::max<std::int64_t>(0, ms));
}

void epoll_dispatcher::registerTimer(int id, qint64 interval,
                                     Qt::TimerType type, QObject* object)
{
    unregisterTimer(id);
    const std::chrono::milliseconds length(interval);
    const auto due = clock::now() + length;
    timers_[id] = {length, type, object, due};
    due_.insert({due, id});
}

bool epoll_dispatcher::unregisterTimer(int id)
{
    const auto found = timers_.find(id);
    if (found == timers_.end())
    {
        return false;
    }
    due_.erase({found->second.due, id});
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
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        found->second.due - clock::now());
    return static_cast<int>(std::max<std::int64_t>(0, left.count()));
}

int epoll_dispatcher::fire_timers()
{
    const auto now = clock::now();
    std::vector<int> ids;
    for (const auto& [at, id] : due_)
    {
        if (at > now)
        {
            break;
        }
        ids.push_back(id);
    }
    int fired = 0;
    for (const int id : ids)
    {
        const auto found = timers_.find(id);
        if (found == timers_.end() || found->second.due > now)
        {
            continue; // Removed or started anew by a handler before it.
        }
        auto& item = found->second;
        due_.erase({item.due, id});
        // Missed turns are not made up for.
        item.due = std::max(item.due + item.interval, now);
        due_.insert({item.due, id});
        QTimerEvent event(id);
        QCoreApplication::sendEvent(item.object, &event);
        ++fired;
    }
    return fired;
}

void epoll_dispatcher::wakeUp()
{
    if (std::this_thread::get_id() == owner_.load())
    {
        // The loop is not waiting; it must not begin to.
        posted_here_ = true;
        return;
    }
    if (woken_.exchange(true))
    {
        return;
    }
    const std::uint64_t one = 1;
    // Can only fail when the counter is full, and then the loop wakes up.
    [[maybe_unused]] const auto written = ::write(wake_up_, &one, sizeof one);
}

void epoll_dispatcher::drain_wake_up()
{
    std::uint64_t count = 0;
    [[maybe_unused]] const auto got = ::read(wake_up_, &count, sizeof count);
    woken_ = false;
}

void epoll_dispatcher::interrupt()
{
    interrupted_ = true;
    wakeUp();
}

} // namespace jujubespan::node
