#include "cli/ServeCommand.h"

#include "cli/ExitCode.h"
#include "cli/SignalSource.h"
#include "node/RoutedNode.h"
#include "platform/Binding.h"
#include "state/Event.h"
#include "transport/WorkerPool.h"

#include <QCoreApplication>
#include <QFileInfo>
#include <QTimer>
#include <csignal>
#include <fmt/format.h>
#include <future>
#include <memory>
#include <random>

namespace figturn {

namespace {

/** How often the settings file is checked for changes, since a change may be
 *  made without a SIGHUP and operators expect it to take effect within seconds.
 */
constexpr milliseconds SettingsPollInterval{2000};

/** Runs \p Task on the only thread of \p Worker and returns its result. */
template <typename Function>
auto runOnWorker(WorkerPool &Worker, Function Task) {
  auto Work =
      std::make_shared<std::packaged_task<decltype(Task())()>>(std::move(Task));
  auto Done = Work->get_future();
  Worker.post(0, [Work] { (*Work)(); });
  return Done.get();
}

/** Reads the settings again and passes them to \p Node if they are valid. */
void reloadSettings(const std::string &File, WorkerPool &Worker,
                    RoutedNode &Node) {
  const RoutedSettingsResult Loaded = readRoutedSettings(File);
  if (!Loaded.m_Problems.empty()) {
    logEvent(Event::SettingsRejected, "problems={}", Loaded.m_Problems.size());
    fmt::print(stderr, "{}", describeProblems(Loaded.m_Problems));
    return;
  }
  Worker.post(0,
              [&Node, Settings = Loaded.m_Settings] { Node.reload(Settings); });
}

} // namespace

int runRoutedServe(const RoutedSettings &Settings, const std::string &File) {
  // Before the first thread starts, so that all of them inherit the mask.
  SignalSource Signals({SIGTERM, SIGINT, SIGHUP});
  int Count = 1;
  char Name[] = "figturn";
  char *Arguments[] = {Name, nullptr};
  QCoreApplication Application(Count, Arguments);
  setLogOutput(LogOutput::StandardOutputInBlocks);
  WorkerPool Worker(1);
  std::random_device Device;
  std::unique_ptr<RoutedNode> Node;
  const std::error_code Error = runOnWorker(Worker, [&] {
    Node = std::make_unique<RoutedNode>(
        Settings, platform::makeBinding(Settings, Device()), Worker, Device());
    return Node->start();
  });
  if (Error) {
    fmt::print(stderr,
               "figturn: cannot listen on one of the addresses in {}: {}.\n",
               File, Error.message());
    runOnWorker(Worker, [&] { Node.reset(); });
    return static_cast<int>(ExitCode::Failed);
  }
  Signals.onSignal([&](int Signal) {
    if (Signal == SIGHUP) {
      reloadSettings(File, Worker, *Node);
      return;
    }
    Worker.post(0, [&] {
      Node->stop([] {
        QMetaObject::invokeMethod(QCoreApplication::instance(),
                                  &QCoreApplication::quit,
                                  Qt::QueuedConnection);
      });
    });
  });
  QDateTime LastModified =
      QFileInfo(QString::fromStdString(File)).lastModified();
  QTimer Check;
  QObject::connect(&Check, &QTimer::timeout, &Check, [&] {
    const QDateTime Now =
        QFileInfo(QString::fromStdString(File)).lastModified();
    if (std::exchange(LastModified, Now) != Now)
      reloadSettings(File, Worker, *Node);
  });
  Check.start(SettingsPollInterval);
  const int Code = QCoreApplication::exec();
  runOnWorker(Worker, [&] { Node.reset(); });
  return Code;
}

} // namespace figturn
