#ifndef FIGTURN_TEST_SUPPORT_EVENTLOOP_H
#define FIGTURN_TEST_SUPPORT_EVENTLOOP_H

/** Runs Qt's event loop in a test until something has happened. */

#include <QCoreApplication>
#include <QEventLoop>
#include <QTimer>
#include <chrono>
#include <functional>

namespace figturn {

/** Makes the process's Qt application if there is none yet. */
inline void ensureQtApplication() {
  static int Count = 1;
  static char Name[] = "figturn-tests";
  static char *Arguments[] = {Name, nullptr};
  if (QCoreApplication::instance() == nullptr)
    new QCoreApplication(Count, Arguments); // Lives to the process's end.
}

/** Handles events until \p Done holds; false if the watchdog bit first. */
inline bool runUntil(const std::function<bool()> &Done) {
  constexpr std::chrono::seconds Watchdog{20};
  ensureQtApplication();
  bool TimedOut = false;
  QTimer Timer;
  Timer.setSingleShot(true);
  QObject::connect(&Timer, &QTimer::timeout, &Timer, [&] { TimedOut = true; });
  Timer.start(Watchdog);
  while (!Done() && !TimedOut)
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
  return Done();
}

} // namespace figturn

#endif // FIGTURN_TEST_SUPPORT_EVENTLOOP_H
