#ifndef FIGTURN_TEST_SUPPORT_EVENTLOOP_H
#define FIGTURN_TEST_SUPPORT_EVENTLOOP_H

/** Runs the Qt event loop in a test until a condition holds. */

#include <QCoreApplication>
#include <QEventLoop>
#include <QTimer>
#include <chrono>
#include <functional>

namespace figturn {

/** Creates the process-wide Qt application object if there is none yet. */
inline void ensureQtApplication() {
  static int Count = 1;
  static char Name[] = "figturn-tests";
  static char *Arguments[] = {Name, nullptr};
  if (QCoreApplication::instance() == nullptr)
    new QCoreApplication(Count, Arguments); // Never destroyed.
}

/** Processes events until \p Condition returns true; returns false after a
 *  timeout of 20 s. */
inline bool runUntil(const std::function<bool()> &Condition) {
  constexpr std::chrono::seconds Timeout{20};
  ensureQtApplication();
  bool TimedOut = false;
  QTimer Timer;
  Timer.setSingleShot(true);
  QObject::connect(&Timer, &QTimer::timeout, &Timer, [&] { TimedOut = true; });
  Timer.start(Timeout);
  while (!Condition() && !TimedOut)
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
  return Condition();
}

} // namespace figturn

#endif // FIGTURN_TEST_SUPPORT_EVENTLOOP_H
