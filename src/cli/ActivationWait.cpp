#include "cli/ActivationWait.h"

#include "cli/BlockingHttp.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <fmt/format.h>

namespace figturn {

namespace {

constexpr milliseconds RequestTimeout{1000};

std::vector<FetchRequest> requestsFor(const std::vector<LaggingEntry> &Entries,
                                      const FetchRequest &Template) {
  std::vector<FetchRequest> Requests;
  Requests.reserve(Entries.size());
  for (const LaggingEntry &Entry : Entries) {
    FetchRequest &Request = Requests.emplace_back(Template);
    Request.m_Url = "http://" + Entry.m_Entry + Template.m_Url;
  }
  return Requests;
}

// Returns why an entry VM counts as lagging; empty if the version or a later
// one is in force.
std::string lagReason(const FetchResult &Status,
                      ConfigVersion RequiredVersion) {
  const QJsonValue InForce =
      QJsonDocument::fromJson(QByteArray::fromStdString(Status.m_Body))
          .object()
          .value("configVersion");
  if (Status.m_Error || !InForce.isDouble())
    return "no answer";
  const auto Version = static_cast<std::uint64_t>(InForce.toInteger());
  if (Version >= RequiredVersion.value())
    return {};
  return fmt::format("version {} in force", Version);
}

std::vector<LaggingEntry>
findLaggingEntries(HttpFetcher &Fetcher,
                   const std::vector<LaggingEntry> &Entries,
                   ConfigVersion RequiredVersion) {
  const std::vector<FetchResult> Statuses =
      fetchAll(Fetcher, requestsFor(Entries, {.m_Url = "/v1/status",
                                              .m_Timeout = RequestTimeout}));
  std::vector<LaggingEntry> Lagging;
  for (std::size_t I = 0; I < Entries.size(); ++I) {
    std::string Reason = lagReason(Statuses[I], RequiredVersion);
    if (!Reason.empty())
      Lagging.push_back({Entries[I].m_Entry, std::move(Reason)});
  }
  return Lagging;
}

} // namespace

std::vector<LaggingEntry>
waitUntilActive(const ActivationWaitOptions &Options) {
  HttpFetcher Fetcher;
  const TimePoint Deadline = Clock::now() + Options.m_WaitTimeout;
  const FetchRequest Push{
      .m_Method = "POST",
      .m_Url = "/v1/config",
      .m_Body = Options.m_Body,
      .m_Headers = {{"X-Config-Version",
                     fmt::to_string(Options.m_Version.value())}},
      .m_Timeout = RequestTimeout};
  std::vector<LaggingEntry> Lagging;
  for (const std::string &Entry : Options.m_Entries)
    Lagging.push_back({Entry, "no answer"});
  for (;;) {
    if (!Options.m_Body.empty())
      fetchAll(Fetcher, requestsFor(Lagging, Push));
    Lagging = findLaggingEntries(Fetcher, Lagging, Options.m_Version);
    if (Lagging.empty() || Clock::now() >= Deadline)
      return Lagging;
    sleepInEventLoop(Options.m_PollInterval);
  }
}

} // namespace figturn
