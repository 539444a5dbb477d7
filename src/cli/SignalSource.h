#ifndef FIGTURN_CLI_SIGNALSOURCE_H
#define FIGTURN_CLI_SIGNALSOURCE_H

/** Delivers Unix signals as events of Qt's event loop. */

#include <QObject>
#include <QSocketNotifier>

#include <functional>
#include <initializer_list>
#include <memory>

namespace figturn {

/** Blocks SIGTERM, SIGINT and SIGHUP, so that a signal received while a service
 *  starts stays pending for its SignalSource instead of ending the process. */
void blockServiceSignals();

/** Blocks the signals in the calling thread and in threads that it starts
 *  later, and reads them in the event loop. Also ignores SIGPIPE, because
 *  writes to closed connections return an error. */
class SignalSource {
public:
  explicit SignalSource(std::initializer_list<int> Signals);
  ~SignalSource();

  /** Runs \p Handler for each signal, on the thread that calls this. */
  void onSignal(std::function<void(int Signal)> Handler);

private:
  int m_Descriptor;
  std::unique_ptr<QSocketNotifier> m_Notifier;
};

} // namespace figturn

#endif // FIGTURN_CLI_SIGNALSOURCE_H
