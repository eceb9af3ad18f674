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
/// @param most milliseconds to wait at the most.
/// @return false when the condition does not hold by then.
inline bool wait_for(const std::function<bool()>& done, int most = 5000)
{
    constexpr int step = 10; // milliseconds
    app();
    QElapsedTimer timer;
    timer.start();
    while (!done() && timer.elapsed() < most)
    {
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, step);
    }
    return done();
}

} // namespace jujubespan::testing

#endif
