#include "cli/SignalSource.h"

#include <csignal>
#include <sys/signalfd.h>
#include <unistd.h>
#include <utility>

namespace figturn {

namespace {

void blockSignals(const sigset_t &Mask) {
  pthread_sigmask(SIG_BLOCK, &Mask, nullptr);
}

} // namespace

void blockServiceSignals() {
  sigset_t Mask;
  sigemptyset(&Mask);
  for (const int Signal : {SIGTERM, SIGINT, SIGHUP})
    sigaddset(&Mask, Signal);
  blockSignals(Mask);
}

SignalSource::SignalSource(std::initializer_list<int> Signals) {
  sigset_t Mask;
  sigemptyset(&Mask);
  for (const int Signal : Signals)
    sigaddset(&Mask, Signal);
  blockSignals(Mask);
  m_Descriptor = signalfd(-1, &Mask, SFD_CLOEXEC | SFD_NONBLOCK);
  std::signal(SIGPIPE, SIG_IGN);
}

SignalSource::~SignalSource() {
  m_Notifier.reset();
  ::close(m_Descriptor);
}

void SignalSource::onSignal(std::function<void(int)> Handler) {
  m_Notifier =
      std::make_unique<QSocketNotifier>(m_Descriptor, QSocketNotifier::Read);
  QObject::connect(m_Notifier.get(), &QSocketNotifier::activated,
                   m_Notifier.get(), [this, Handler = std::move(Handler)] {
                     signalfd_siginfo Info;
                     while (::read(m_Descriptor, &Info, sizeof Info) > 0)
                       Handler(static_cast<int>(Info.ssi_signo));
                   });
}

} // namespace figturn
