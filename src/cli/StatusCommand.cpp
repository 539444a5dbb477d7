#include "cli/BlockingHttp.h"
#include "cli/Commands.h"
#include "cli/Flags.h"
#include "protocol/JsonChecker.h"
#include "protocol/SettingsCodec.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <absl/flags/flag.h>
#include <cstdio>
#include <fmt/format.h>

namespace figturn {

namespace {

constexpr milliseconds StatusTimeout{3000};

// Formats a string without quotes and other values as JSON; "-" if missing.
std::string formatCell(const QJsonObject &Object, const char *Key) {
  const QJsonValue Value = Object.value(QLatin1StringView(Key));
  if (Value.isString())
    return Value.toString().toStdString();
  const std::string Text = printJson(Value);
  return Text.empty() ? "-" : Text;
}

void printRows(const QJsonArray &Rows, std::string_view Title,
               const std::vector<const char *> &Keys) {
  if (Rows.isEmpty())
    return;
  fmt::print("  {}\n   ", Title);
  for (const char *Key : Keys)
    fmt::print(" {:<16}", Key);
  fmt::print("\n");
  for (const auto &Row : Rows) {
    fmt::print("   ");
    for (const char *Key : Keys)
      fmt::print(" {:<16}", formatCell(Row.toObject(), Key));
    fmt::print("\n");
  }
}

// A VM with the routed frontend reports the state used for routing.
void printRoutedStatus(const QJsonObject &Status) {
  fmt::print("{}: ready {}, configuration {}, follows the platform {}\n",
             formatCell(Status, "vm"), formatCell(Status, "ready"),
             formatCell(Status, "configVersion"),
             formatCell(Status, "followsPlatform"));
  fmt::print("  store: era {}, returned {} times since this VM's start\n",
             formatCell(Status, "storeEra"),
             formatCell(Status, "storeReturns"));
  printRows(Status.value("vms").toArray(), "other VMs",
            {"vm", "phase", "configVersion"});
  printRows(Status.value("targets").toArray(), "targets",
            {"target", "service", "dataCentre", "draining", "missing", "cold",
             "leavingMs", "waitMs", "outstanding", "slowness", "failureShare",
             "rateLimit", "rateLimitAgeMs"});
}

void printStatus(const QJsonObject &Status) {
  if (Status.contains("followsPlatform")) {
    printRoutedStatus(Status);
    return;
  }
  const QJsonObject Epoch = Status.value("epoch").toObject();
  fmt::print("{} ({}): ready {}, draining {}, configuration {} (change {}), "
             "epoch {} (usable {})\n",
             formatCell(Status, "vm"), formatCell(Status, "dataCentre"),
             formatCell(Status, "ready"), formatCell(Status, "draining"),
             formatCell(Status, "configVersion"),
             formatCell(Status, "changeId"), formatCell(Epoch, "number"),
             formatCell(Epoch, "usable"));
  printRows(Status.value("members").toArray(), "members",
            {"vm", "dataCentre", "callerAddress", "draining"});
  printRows(Status.value("services").toArray(), "services",
            {"service", "indexVersion", "answers", "partialAnswers",
             "firstCalls", "hedges", "retries"});
  printRows(Status.value("targets").toArray(), "targets",
            {"target", "service", "dataCentre", "acceptsNewWork", "cold",
             "usableSlots", "slots", "connections", "outstanding"});
}

bool printReply(const std::string &Entry, const FetchResult &Answer) {
  const QJsonDocument Status =
      QJsonDocument::fromJson(QByteArray::fromStdString(Answer.m_Body));
  if (Answer.m_Error || !Status.isObject()) {
    fmt::print(stderr, "figturn: no answer from {}\n", Entry);
    return false;
  }
  if (absl::GetFlag(FLAGS_json))
    fmt::print("{}\n", Status.toJson(QJsonDocument::Compact).toStdString());
  else
    printStatus(Status.object());
  return true;
}

} // namespace

ExitCode statusCommand(const std::vector<std::string> &) {
  const std::vector<std::string> Entries =
      splitList(absl::GetFlag(FLAGS_entry));
  if (Entries.empty())
    return usageError("`figturn status` requires --entry=IP:PORT");
  std::vector<FetchRequest> Requests;
  for (const std::string &Entry : Entries) {
    if (!parseSocketAddress(Entry))
      return usageError(
          fmt::format("--entry contains \"{}\", which is not an ip:port "
                      "address",
                      Entry));
    Requests.push_back({.m_Url = "http://" + Entry + "/v1/status",
                        .m_Timeout = StatusTimeout});
  }
  ensureApplication();
  HttpFetcher Fetcher;
  const std::vector<FetchResult> Answers = fetchAll(Fetcher, Requests);
  bool AllAnswered = true;
  for (std::size_t I = 0; I < Entries.size(); ++I)
    AllAnswered = printReply(Entries[I], Answers[I]) && AllAnswered;
  return AllAnswered ? ExitCode::Ok : ExitCode::NoAnswer;
}

} // namespace figturn
