#include "node/TimerQueue.h"

#include <algorithm>
#include <utility>

namespace figturn {

TimerQueue::TimerQueue(QObject *Parent) : QObject(Parent), m_Timer(this) {
  m_Timer.setSingleShot(true);
  m_Timer.setTimerType(Qt::PreciseTimer);
  connect(&m_Timer, &QTimer::timeout, this, [this] { runDue(); });
}

void TimerQueue::runAt(TimePoint At, std::weak_ptr<void> Owner, Task Callback) {
  const bool IsFirst = m_Entries.empty() || At < m_Entries.begin()->first;
  m_Entries.emplace(At, Entry{std::move(Owner), std::move(Callback)});
  if (IsFirst)
    scheduleTimer();
}

void TimerQueue::runDue() {
  const TimePoint Now = Clock::now();
  while (!m_Entries.empty() && m_Entries.begin()->first <= Now) {
    m_Lateness.record(Now - m_Entries.begin()->first, Now);
    const Entry Due = std::move(m_Entries.begin()->second);
    m_Entries.erase(m_Entries.begin());
    if (const auto Owner = Due.m_Owner.lock())
      Due.m_Callback();
  }
  scheduleTimer();
}

Duration TimerQueue::lateness() const {
  constexpr double LatenessQuantile = 0.9;
  return m_Lateness.quantile(LatenessQuantile).value_or(Duration(0));
}

void TimerQueue::scheduleTimer() {
  while (!m_Entries.empty() && m_Entries.begin()->second.m_Owner.expired())
    m_Entries.erase(m_Entries.begin());
  if (m_Entries.empty()) {
    m_Timer.stop();
    return;
  }
  const auto Delay =
      std::chrono::ceil<milliseconds>(m_Entries.begin()->first - Clock::now());
  m_Timer.start(std::max(Delay, milliseconds(0)));
}

} // namespace figturn
