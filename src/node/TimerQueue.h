#ifndef FIGTURN_NODE_TIMERQUEUE_H
#define FIGTURN_NODE_TIMERQUEUE_H

/**
 * Many timers of one worker on a single timer of the event loop. Measures how
 * late they fire, which is how long anything waits for this loop.
 */

#include "coordination/LatencyWindow.h"
#include "state/Time.h"

#include <QObject>
#include <QTimer>

#include <functional>
#include <map>
#include <memory>

namespace figturn {

/** Runs tasks at their times; lives on one worker. */
class TimerQueue : public QObject {
public:
  using Task = std::function<void()>;

  explicit TimerQueue(QObject *Parent = nullptr);

  /** Runs \p Run at \p At, unless \p Owner has expired by then. */
  void schedule(TimePoint At, std::weak_ptr<void> Owner, Task Run);

  /** What nine of ten timers' lateness stays below lately; zero before
   *  enough of them fired. */
  Duration lateness() const;

private:
  struct Entry {
    std::weak_ptr<void> m_Owner;
    Task m_Run;
  };

  void runDue();
  void scheduleTimer();

  QTimer m_Timer;
  LatencyWindow m_Lateness{{.m_HalfLife = seconds(2)}};
  std::multimap<TimePoint, Entry> m_Entries;
};

} // namespace figturn

#endif // FIGTURN_NODE_TIMERQUEUE_H
