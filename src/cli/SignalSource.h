#ifndef FIGTURN_CLI_SIGNALSOURCE_H
#define FIGTURN_CLI_SIGNALSOURCE_H

/** Unix signals as events of Qt's loop. */

#include <QObject>
#include <QSocketNotifier>

#include <functional>
#include <initializer_list>
#include <memory>

namespace figturn {

/** Keeps signals that a service handles pending from here on, until its
 *  SignalSource reads them: one that comes while it starts is not lost and
 *  doesn't end it. */
void blockServiceSignals();

/** Blocks signals for all threads started later and reads them in the loop.
 *  Also ignores SIGPIPE: writes to closed connections report by themselves. */
class SignalSource {
public:
  explicit SignalSource(std::initializer_list<int> Signals);
  ~SignalSource();

  /** \p Handler runs for each signal, on the thread that calls this. */
  void onSignal(std::function<void(int Signal)> Handler);

private:
  int m_Descriptor;
  std::unique_ptr<QSocketNotifier> m_Notifier;
};

} // namespace figturn

#endif // FIGTURN_CLI_SIGNALSOURCE_H
