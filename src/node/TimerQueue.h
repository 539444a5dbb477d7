#ifndef FIGTURN_NODE_TIMERQUEUE_H
#define FIGTURN_NODE_TIMERQUEUE_H

/**
 * Multiplexes many timers of one worker onto a single event loop timer. Also
 * measures how late they fire, which estimates the event loop's delay.
 */

#include "coordination/LatencyWindow.h"
#include "state/Time.h"

#include <QObject>
#include <QTimer>

#include <functional>
#include <map>
#include <memory>

namespace figturn {

/** Runs tasks at given times; confined to one worker. */
class TimerQueue : public QObject {
public:
  using Task = std::function<void()>;

  explicit TimerQueue(QObject *Parent = nullptr);

  /** Runs \p Callback at \p At, unless \p Owner has expired by then. */
  void runAt(TimePoint At, std::weak_ptr<void> Owner, Task Callback);

  /** The 90th percentile of recent timers' lateness; zero until enough timers
   *  have fired. */
  Duration lateness() const;

private:
  struct Entry {
    std::weak_ptr<void> m_Owner;
    Task m_Callback;
  };

  void runDue();
  void scheduleTimer();

  QTimer m_Timer;
  LatencyWindow m_Lateness{{.m_HalfLife = seconds(2)}};
  std::multimap<TimePoint, Entry> m_Entries;
};

} // namespace figturn

#endif // FIGTURN_NODE_TIMERQUEUE_H
