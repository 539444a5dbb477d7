#include "transport/HttpObjectStore.h"

#include "state/Errc.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QUrl>
#include <fmt/format.h>
#include <utility>

namespace figturn {

namespace {

// Qt's access manager opens at most six connections per address.
constexpr std::size_t MaxWatchesPerFetcher = 6;

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNoContent = 204;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusPreconditionFailed = 412;
constexpr unsigned StatusTooLarge = 413;
constexpr unsigned StatusUnavailable = 503;

std::string encodePath(const std::string &Path) {
  return QUrl::toPercentEncoding(QString::fromStdString(Path), "/")
      .toStdString();
}

std::optional<ObjectVersion> parseETag(const std::string &ETag) {
  if (ETag.size() < 3 || ETag.front() != '"' || ETag.back() != '"')
    return std::nullopt;
  bool IsNumber = false;
  const ObjectVersion Version =
      QByteArray(ETag.data() + 1, static_cast<qsizetype>(ETag.size()) - 2)
          .toULongLong(&IsNumber);
  return IsNumber ? std::optional(Version) : std::nullopt;
}

QJsonObject parseObject(const std::string &Body) {
  return QJsonDocument::fromJson(QByteArray::fromStdString(Body)).object();
}

std::optional<ObjectVersion> parseVersion(const QJsonObject &Object) {
  const qint64 Version = Object.value("version").toInteger(-1);
  if (Version < 0)
    return std::nullopt;
  return static_cast<ObjectVersion>(Version);
}

ObjectResult readResult(FetchResult Fetched) {
  if (Fetched.m_Error)
    return {.m_Error = Errc::PlatformUnavailable};
  if (Fetched.m_Status == StatusNotFound)
    return {.m_Error = Errc::ObjectNotFound};
  const auto Version = parseETag(Fetched.m_ETag);
  if (Fetched.m_Status != StatusOk || !Version)
    return {.m_Error = Errc::PlatformUnavailable};
  return {.m_Version = *Version, .m_Body = std::move(Fetched.m_Body)};
}

// Maps the reply to a write that was sent once.
ObjectResult resultForStatus(const FetchResult &Fetched) {
  const auto Version = parseVersion(parseObject(Fetched.m_Body));
  switch (Fetched.m_Status) {
  case StatusOk:
    if (!Version)
      return {.m_Error = Errc::OutcomeUnknown};
    return {.m_Version = *Version};
  case StatusPreconditionFailed:
    return {.m_Error = Errc::VersionConflict, .m_Version = Version.value_or(0)};
  case StatusNotFound:
    return {.m_Error = Errc::ObjectNotFound};
  case StatusTooLarge:
    return {.m_Error = Errc::BodyTooLarge};
  case StatusUnavailable:
    return {.m_Error = Errc::PlatformUnavailable};
  default:
    return {.m_Error = Errc::OutcomeUnknown};
  }
}

ObjectResult writeResult(const FetchResult &Fetched) {
  if (Fetched.m_Error)
    return {.m_Error = Fetched.m_SendCount == 0 ? Errc::PlatformUnavailable
                                                : Errc::OutcomeUnknown};
  ObjectResult Result = resultForStatus(Fetched);
  if (Result.m_Error && Fetched.m_SendCount > 1)
    Result.m_Error = Errc::OutcomeUnknown;
  return Result;
}

ObjectListing listResult(const FetchResult &Fetched) {
  if (Fetched.m_Error || Fetched.m_Status != StatusOk)
    return {.m_Error = Errc::PlatformUnavailable};
  ObjectListing Listing;
  for (const auto &Value :
       parseObject(Fetched.m_Body).value("objects").toArray()) {
    const QJsonObject Entry = Value.toObject();
    Listing.m_Objects.push_back(
        {.m_Path = Entry.value("path").toString().toStdString(),
         .m_Version = parseVersion(Entry).value_or(0)});
  }
  return Listing;
}

void addCondition(FetchRequest &Request, WriteCondition Condition) {
  if (Condition.isAlways())
    return;
  if (Condition.isIfAbsent())
    Request.m_Headers.emplace_back("If-None-Match", "*");
  else
    Request.m_Headers.emplace_back("If-Match",
                                   fmt::format("\"{}\"", Condition.version()));
}

} // namespace

HttpObjectStore::HttpObjectStore(HttpObjectStoreOptions Options)
    : m_Options(std::move(Options)) {}

std::string HttpObjectStore::objectUrl(const std::string &Path) const {
  return m_Options.m_BaseUrl + "/v1/objects/" + encodePath(Path);
}

void HttpObjectStore::get(const std::string &Path, ResultHandler OnResult) {
  m_CallFetcher.fetch(
      {.m_Url = objectUrl(Path), .m_Timeout = m_Options.m_Timeout},
      [OnResult = std::move(OnResult)](FetchResult Fetched) {
        OnResult(readResult(std::move(Fetched)));
      });
}

void HttpObjectStore::put(const std::string &Path, std::string Body,
                          WriteCondition Condition, ResultHandler OnResult) {
  FetchRequest Request{.m_Method = "PUT",
                       .m_Url = objectUrl(Path),
                       .m_Body = std::move(Body),
                       .m_Timeout = m_Options.m_Timeout};
  addCondition(Request, Condition);
  m_CallFetcher.fetch(
      Request, [OnResult = std::move(OnResult)](const FetchResult &Fetched) {
        OnResult(writeResult(Fetched));
      });
}

void HttpObjectStore::remove(const std::string &Path, WriteCondition Condition,
                             ResultHandler OnResult) {
  FetchRequest Request{.m_Method = "DELETE",
                       .m_Url = objectUrl(Path),
                       .m_Timeout = m_Options.m_Timeout};
  addCondition(Request, Condition);
  m_CallFetcher.fetch(
      Request, [OnResult = std::move(OnResult)](const FetchResult &Fetched) {
        OnResult(writeResult(Fetched));
      });
}

std::shared_ptr<HttpObjectStore::WatchFetcher>
HttpObjectStore::availableWatchFetcher() {
  for (const std::shared_ptr<WatchFetcher> &Watches : m_WatchFetchers)
    if (Watches->m_ActiveWatches < MaxWatchesPerFetcher)
      return Watches;
  return m_WatchFetchers.emplace_back(std::make_shared<WatchFetcher>());
}

void HttpObjectStore::watch(const std::string &Path, ObjectVersion After,
                            milliseconds Wait, ResultHandler OnResult) {
  const std::shared_ptr<WatchFetcher> Watches = availableWatchFetcher();
  ++Watches->m_ActiveWatches;
  Watches->m_Fetcher.fetch(
      {.m_Url =
           fmt::format("{}/v1/watch/{}?after={}&waitMs={}", m_Options.m_BaseUrl,
                       encodePath(Path), After, Wait.count()),
       .m_Timeout = Wait + m_Options.m_Timeout},
      [After, Watches = std::weak_ptr(Watches),
       OnResult = std::move(OnResult)](FetchResult Fetched) {
        if (const auto Locked = Watches.lock())
          --Locked->m_ActiveWatches;
        if (!Fetched.m_Error && Fetched.m_Status == StatusNoContent)
          return OnResult({.m_Version = After});
        OnResult(readResult(std::move(Fetched)));
      });
}

void HttpObjectStore::list(const std::string &Prefix, ListHandler OnListing) {
  m_CallFetcher.fetch(
      {.m_Url = m_Options.m_BaseUrl + "/v1/list?prefix=" + encodePath(Prefix),
       .m_Timeout = m_Options.m_Timeout},
      [OnListing = std::move(OnListing)](const FetchResult &Fetched) {
        OnListing(listResult(Fetched));
      });
}

} // namespace figturn
