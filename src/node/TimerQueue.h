#ifndef FIGTURN_NODE_TIMERQUEUE_H
#define FIGTURN_NODE_TIMERQUEUE_H

/** Many timers of one worker on a single timer of the event loop. */

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
  void at(TimePoint At, std::weak_ptr<void> Owner, Task Run);

private:
  struct Entry {
    std::weak_ptr<void> m_Owner;
    Task m_Run;
  };

  void runDue();
  void arm();

  QTimer m_Timer;
  std::multimap<TimePoint, Entry> m_Entries;
};

} // namespace figturn

#endif // FIGTURN_NODE_TIMERQUEUE_H
