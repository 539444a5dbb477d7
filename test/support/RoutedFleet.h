#ifndef FIGTURN_TEST_SUPPORT_ROUTEDFLEET_H
#define FIGTURN_TEST_SUPPORT_ROUTEDFLEET_H

/**
 * Runs VMs in routed mode as real processes on the loopback interface, and
 * stand-ins for the platform's store and the targets on a thread of the test.
 */

#include "protocol/JsonConvert.h"
#include "standin/RoutedStandins.h"
#include "support/FreePorts.h"
#include "support/Process.h"
#include "support/QtApplication.h"
#include "support/RawClient.h"
#include "transport/WorkerPool.h"

#include <QFile>
#include <QJsonArray>
#include <QTemporaryDir>

#include <fmt/format.h>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace figturn::test {

/** Status, headers and body of a reply. */
struct RoutedAnswer {
  unsigned m_Status = 0; ///< 0: no complete reply was received.
  HttpHeaders m_Headers;
  std::string m_Body;

  std::string header(std::string_view Name) const {
    return headerValue(m_Headers, Name);
  }
};

/** Owns the VMs and the stand-ins. The stand-ins are confined to their thread;
 *  use runOnStandinThread() to access them. */
class RoutedFleet {
public:
  struct Vm {
    std::string m_Name;
    std::uint16_t m_CallerPort = 0;
    std::uint16_t m_ReadinessPort = 0;
    std::uint16_t m_DirectoryPort = 0;
    std::uint16_t m_ControlPort = 0;
    std::uint32_t m_Ipv4Address = INADDR_LOOPBACK; ///< Unique per VM.
    std::string m_StoreAddress;                    ///< Its own proxy, if any.
    std::string m_DataCentre = "dc-a";
    std::unique_ptr<Process> m_Process;
  };

  /** VMs get consecutive addresses that start at \p FirstIpv4Address. */
  explicit RoutedFleet(std::uint32_t FirstIpv4Address = INADDR_LOOPBACK)
      : m_FirstIpv4Address(FirstIpv4Address), m_Thread(1) {
    runOnStandinThread(
        [this] { m_Store = std::make_unique<standin::StoreStandin>(); });
  }
  ~RoutedFleet() {
    m_Vms.clear();
    runOnStandinThread([this] {
      m_Searchers.clear();
      m_Store.reset();
    });
    m_Thread.stop();
  }

  /** Runs \p Task on the stand-ins' thread and waits for it. */
  void runOnStandinThread(const std::function<void()> &Task) {
    std::promise<void> Done;
    m_Thread.post(0, [&] {
      Task();
      Done.set_value();
    });
    Done.get_future().wait();
  }

  standin::SearcherStandin &
  addSearcher(const std::string &Id, const std::string &Service,
              const std::string &DataCentre = "dc-a") {
    runOnStandinThread([&] {
      m_Searchers.push_back(
          std::make_unique<standin::SearcherStandin>(Id, Service, DataCentre));
      m_Store->put("servers", Id, m_Searchers.back()->entry());
    });
    return *m_Searchers.back();
  }

  void publish(const QJsonObject &Config) {
    runOnStandinThread([&] { m_Store->put("config", "main", Config); });
  }

  /** Starts another VM and, if \p WaitUntilReady, waits until it is ready. */
  Vm &startVm(bool WaitUntilReady = true) {
    const std::vector<std::uint16_t> Ports = freePorts(4);
    const auto Index = static_cast<std::uint32_t>(m_Vms.size());
    m_Vms.push_back(std::make_unique<Vm>(
        Vm{.m_Name = fmt::format("vm-{}", Index + 1),
           .m_CallerPort = Ports[0],
           .m_ReadinessPort = Ports[1],
           .m_DirectoryPort = Ports[2],
           .m_ControlPort = Ports[3],
           .m_Ipv4Address = m_FirstIpv4Address + Index,
           .m_DataCentre = m_DataCentres[Index % m_DataCentres.size()],
           .m_Process = nullptr}));
    Vm &Started = *m_Vms.back();
    launch(Started, WaitUntilReady);
    return Started;
  }

  /** Writes the settings of \p Started and starts its process; restarts it if
   *  it has exited. */
  void launch(Vm &Started, bool WaitUntilReady = true) {
    const std::string File =
        m_Folder.filePath(QString::fromStdString(Started.m_Name)).toStdString();
    writeSettings(Started, File, m_GraceSeconds);
    Started.m_Process = std::make_unique<Process>(
        std::vector<std::string>{m_Binary, "serve", "--settings=" + File});
    if (WaitUntilReady && !Started.m_Process->waitForLine("F0102")) {
      const auto Lines = Started.m_Process->lines();
      throw std::runtime_error(
          "the VM did not become ready; last line of its output: " +
          (Lines.empty() ? "none" : Lines.back()));
    }
  }

  void writeSettings(const Vm &ConfiguredVm, const std::string &File,
                     double GraceSeconds = 2) const {
    const auto AddressAt = [](std::uint32_t Host, std::uint16_t Port) {
      return QStringLiteral("%1:%2")
          .arg(QHostAddress(Host).toString())
          .arg(Port);
    };
    const auto Address = [&](std::uint16_t Port) {
      return AddressAt(ConfiguredVm.m_Ipv4Address, Port);
    };
    QFile Output(QString::fromStdString(File));
    if (!Output.open(QIODevice::WriteOnly))
      throw std::runtime_error("can't open the settings file for writing");
    Output.write(QByteArray::fromStdString(toCompactJson(
        {{"door", "routed"},
         {"vm", toQt(ConfiguredVm.m_Name)},
         {"dataCentre", toQt(ConfiguredVm.m_DataCentre)},
         {"callerAddress", Address(ConfiguredVm.m_CallerPort)},
         {"readinessAddress", Address(ConfiguredVm.m_ReadinessPort)},
         {"directoryAddress", Address(ConfiguredVm.m_DirectoryPort)},
         {"controlAddress", Address(ConfiguredVm.m_ControlPort)},
         {"gossipAddress", Address(m_GossipPort)},
         {"seeds", m_HasSeeds ? AddressAt(m_FirstIpv4Address,
                                          m_Vms.front()->m_ControlPort)
                              : QString()},
         {"storeAddress", toQt(storeAddress(ConfiguredVm))},
         {"retrySlack", 50},
         {"graceSeconds", GraceSeconds}})));
  }

  std::string storeAddress(const Vm &ConfiguredVm) const {
    if (!ConfiguredVm.m_StoreAddress.empty())
      return ConfiguredVm.m_StoreAddress;
    return m_StoreAddress.empty() ? m_Store->address() : m_StoreAddress;
  }

  static RoutedAnswer call(std::uint16_t Port, const std::string &Method,
                           const std::string &Target,
                           const std::string &Headers = "",
                           const std::string &Body = "",
                           std::uint32_t Host = INADDR_LOOPBACK) {
    RawClient Client(Port, Host);
    return exchange(Client, Method, Target, Headers, Body);
  }
  static RoutedAnswer exchange(RawClient &Client, const std::string &Method,
                               const std::string &Target,
                               const std::string &Headers,
                               const std::string &Body) {
    Client.send(fmt::format("{} {} HTTP/1.1\r\nHost: h.example\r\n{}"
                            "Content-Length: {}\r\n\r\n{}",
                            Method, Target, Headers, Body.size(), Body));
    const auto Reply = Client.receive();
    if (!Reply)
      return {};
    return {Reply->m_Status, Reply->m_Headers, Reply->m_Body};
  }
  static std::string requestHeaders(const std::string &Id,
                                    int DeadlineMs = 3000) {
    return fmt::format("X-Request-Id: {}\r\nX-Deadline-Milliseconds: {}\r\n",
                       Id, DeadlineMs);
  }

  struct QtInitializer {
    QtInitializer() { ensureQtApplication(); }
  };

  std::uint32_t m_FirstIpv4Address;
  QtInitializer m_Qt; ///< Declared before m_Thread, which needs it.
  WorkerPool m_Thread;
  std::uint16_t m_GossipPort = freePorts(1).front(); ///< Shared by all VMs.
  QTemporaryDir m_Folder;
  std::unique_ptr<standin::StoreStandin> m_Store;
  std::string m_StoreAddress; ///< Proxy in front of the store, if any.
  std::string m_Binary = FIGTURN_BINARY; ///< May be an earlier build.
  double m_GraceSeconds = 2;
  bool m_HasSeeds = true; ///< VMs are told where to find one another.
  std::vector<std::string> m_DataCentres{"dc-a"}; ///< Of the VMs, in turn.
  std::vector<std::unique_ptr<standin::SearcherStandin>> m_Searchers;
  std::vector<std::unique_ptr<Vm>> m_Vms;
};

/** A configuration with a search route over s-0 and s-1, and two routes
 *  to the service "desk". */
inline QJsonObject routedConfig(int Version) {
  const auto Service = [](const char *Name) {
    return QJsonObject{{"name", Name},           {"health_path", "/health"},
                       {"connection_limit", 20}, {"protocol", "h1"},
                       {"tls", false},           {"cold_start_s", 3.0},
                       {"cold_per_s", 0.0}};
  };
  const auto Route = [](const char *Name, const char *Prefix,
                        const char *Kind) {
    return QJsonObject{{"name", Name},          {"host", "h.example"},
                       {"path_prefix", Prefix}, {"kind", Kind},
                       {"timeout_ms", 3000},    {"target_latency_ms", 1000},
                       {"priority", 1},         {"attempts", 2}};
  };
  QJsonObject Search = Route("search", "/search/", "safe");
  Search["gather"] = QJsonArray{"s-0", "s-1"};
  Search["top"] = 5;
  Search["min_version"] = 0.5;
  QJsonObject Look = Route("look", "/look/", "safe");
  Look["service"] = "desk";
  QJsonObject Book = Route("book", "/book/", "unsafe");
  Book["service"] = "desk";
  return {
      {"version", Version},
      {"routes", QJsonArray{Search, Look, Book}},
      {"services", QJsonArray{Service("s-0"), Service("s-1"), Service("desk")}},
      {"limits", QJsonObject{{"header_bytes", 16384},
                             {"body_bytes", 262144},
                             {"header_timeout_ms", 3000},
                             {"idle_timeout_ms", 15000}}}};
}

} // namespace figturn::test

#endif // FIGTURN_TEST_SUPPORT_ROUTEDFLEET_H
