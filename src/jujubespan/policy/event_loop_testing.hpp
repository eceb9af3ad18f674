#ifndef JUJUBESPAN_POLICY_EVENT_LOOP_TESTING_HPP
#define JUJUBESPAN_POLICY_EVENT_LOOP_TESTING_HPP

#include <QCoreApplication>
#include <QElapsedTimer>

#include <functional>

namespace jujubespan::testing
{

/// @brief The application object that Qt's event loop needs.
inline QCoreApplication& app()
{
    static int argc = 1;
    static char name[] = "test";
    static char* argv[] = {name, nullptr};
    static QCoreApplication instance(argc, argv);
    return instance;
}

/// @brief Runs the event loop until a condition holds.
/// @param timeout_ms longest wait in milliseconds.
/// @return false when the condition does not hold within that time.
inline bool wait_for(const std::function<bool()>& condition,
                     int timeout_ms = 5000)
{
    constexpr int poll_interval_ms = 10;
    app();
    QElapsedTimer timer;
    timer.start();
    while (!condition() && timer.elapsed() < timeout_ms)
    {
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents,
                                        poll_interval_ms);
    }
    return condition();
}

} // namespace jujubespan::testing

#endif
