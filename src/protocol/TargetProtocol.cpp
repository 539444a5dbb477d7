#include "protocol/TargetProtocol.h"

#include "protocol/JsonConvert.h"
#include "state/Errc.h"

#include <QJsonArray>
#include <array>

namespace figturn {

namespace {

QJsonObject encodeHeader(const CallHeader &Header) {
  return {{"callId", toJson(Header.m_Call.value())},
          {"vm", toQt(Header.m_Origin)},
          {"service", toQt(Header.m_Service.value())},
          {"deadlineMs", static_cast<qint64>(Header.m_Deadline.count())}};
}

template <typename Call> QJsonObject encodeShardCall(const Call &Message) {
  QJsonObject Object = encodeHeader(Message.m_Header);
  Object["indexVersion"] = toJson(Message.m_Version.value());
  Object["shard"] = toJson(Message.m_Shard.value());
  Object["priority"] =
      Message.m_Priority == Priority::Urgent ? "urgent" : "ordinary";
  return Object;
}

bool matchesCall(const QJsonObject &Reply, CallId Call) {
  return countAt(Reply, "callId") == Call.value();
}

template <typename Call>
bool matchesShard(const QJsonObject &Reply, const Call &Message) {
  return matchesCall(Reply, Message.m_Header.m_Call) &&
         countAt(Reply, "indexVersion") == Message.m_Version.value() &&
         countAt(Reply, "shard") == Message.m_Shard.value();
}

struct FailureStatus {
  unsigned m_Status;
  Errc m_Reason;
};

constexpr std::array<FailureStatus, 5> FailureStatuses = {
    {{409, Errc::VersionNotHeld},
     {499, Errc::Cancelled},
     {500, Errc::TargetFailed},
     {503, Errc::TargetShed},
     {504, Errc::DeadlineExceeded}}};

/** The error for \p Status; BadReply if the body names another one. */
Errc failureReason(const QJsonObject &Reply, unsigned Status) {
  for (const FailureStatus &Each : FailureStatuses) {
    if (Each.m_Status != Status)
      continue;
    const bool IsSame = Reply["error"] == toQt(errcName(Each.m_Reason));
    return IsSame ? Each.m_Reason : Errc::BadReply;
  }
  return Errc::BadReply;
}

template <typename T> TargetReply<T> badReply() {
  return {.m_Error = Errc::BadReply};
}

template <typename T>
TargetReply<T> decodeFailure(const QJsonObject &Reply, unsigned Status,
                             CallId Call) {
  if (!matchesCall(Reply, Call))
    return badReply<T>();
  const Errc Reason = failureReason(Reply, Status);
  if (Reason != Errc::VersionNotHeld)
    return {.m_Error = Reason};
  const auto Held = countAt(Reply, "indexVersion");
  if (!Held)
    return badReply<T>();
  return {.m_Error = Reason, .m_HeldVersion = IndexVersion(*Held)};
}

std::optional<SearchHit> decodeHit(const QJsonValue &Value) {
  const QJsonObject Hit = Value.toObject();
  const bool IsValid = Hit["id"].isString() && Hit["score"].isDouble() &&
                       Hit["fields"].isObject();
  if (!IsValid)
    return std::nullopt;
  return SearchHit{.m_Id = Hit["id"].toString().toStdString(),
                   .m_Score = Hit["score"].toDouble(),
                   .m_Fields = Hit["fields"].toObject()};
}

/** Decodes all hits; std::nullopt if one is malformed. */
std::optional<std::vector<SearchHit>> decodeHits(const QJsonArray &Array) {
  std::vector<SearchHit> Hits;
  Hits.reserve(static_cast<std::size_t>(Array.size()));
  for (const QJsonValueConstRef &Value : Array) {
    std::optional<SearchHit> Hit = decodeHit(Value);
    if (!Hit)
      return std::nullopt;
    Hits.push_back(std::move(*Hit));
  }
  return Hits;
}

} // namespace

std::string encodeCall(const SearchCall &Call) {
  QJsonObject Object = encodeShardCall(Call);
  Object["query"] = QJsonObject{{"text", toQt(Call.m_Query.m_Text)},
                                {"limit", toJson(Call.m_Query.m_Limit)}};
  return toCompactJson(Object);
}

std::string encodeCall(const LookupCall &Call) {
  QJsonObject Object = encodeShardCall(Call);
  Object["record"] = toQt(Call.m_Record);
  return toCompactJson(Object);
}

std::string encodeCall(const RunCall &Call) {
  QJsonObject Object = encodeHeader(Call.m_Header);
  Object["key"] = toQt(Call.m_Key.value());
  Object["record"] = toQt(Call.m_Record);
  Object["body"] = Call.m_Body;
  return toCompactJson(Object);
}

std::string encodeCall(const CancelRequest &Call) {
  return toCompactJson(
      {{"vm", toQt(Call.m_Origin)}, {"callId", toJson(Call.m_Call.value())}});
}

TargetReply<SearchReply> decodeReply(const SearchCall &Call, unsigned Status,
                                     std::string_view Body) {
  const QJsonObject Reply = parseJsonObject(Body);
  if (Status != 200)
    return decodeFailure<SearchReply>(Reply, Status, Call.m_Header.m_Call);
  const auto Documents = countAt(Reply, "documents");
  const auto HitCount = countAt(Reply, "hitCount");
  auto Hits = decodeHits(Reply["hits"].toArray());
  const bool IsValid = matchesShard(Reply, Call) && Documents && Hits &&
                       Reply["hits"].isArray() && HitCount == Hits->size() &&
                       Hits->size() <= Call.m_Query.m_Limit;
  if (!IsValid)
    return badReply<SearchReply>();
  return {.m_Value = {.m_Version = Call.m_Version,
                      .m_Shard = Call.m_Shard,
                      .m_Documents = *Documents,
                      .m_Hits = std::move(*Hits)}};
}

TargetReply<LookupReply> decodeReply(const LookupCall &Call, unsigned Status,
                                     std::string_view Body) {
  const QJsonObject Reply = parseJsonObject(Body);
  if (Status != 200)
    return decodeFailure<LookupReply>(Reply, Status, Call.m_Header.m_Call);
  const bool Found = Reply["found"].toBool();
  const bool IsValid = matchesShard(Reply, Call) && Reply["found"].isBool() &&
                       Found == Reply["record"].isObject();
  if (!IsValid)
    return badReply<LookupReply>();
  return {.m_Value = {.m_Version = Call.m_Version,
                      .m_Shard = Call.m_Shard,
                      .m_Found = Found,
                      .m_Record = Reply["record"].toObject()}};
}

TargetReply<RunReply> decodeReply(const RunCall &Call, unsigned Status,
                                  std::string_view Body) {
  const QJsonObject Reply = parseJsonObject(Body);
  if (Status != 200)
    return decodeFailure<RunReply>(Reply, Status, Call.m_Header.m_Call);
  const bool IsValid = matchesCall(Reply, Call.m_Header.m_Call) &&
                       Reply["key"] == toQt(Call.m_Key.value()) &&
                       Reply.contains("result");
  if (!IsValid)
    return badReply<RunReply>();
  return {.m_Value = {.m_Key = Call.m_Key, .m_Result = Reply["result"]}};
}

std::optional<HelloReply> decodeHello(std::string_view Body) {
  const QJsonObject Reply = parseJsonObject(Body);
  const std::string Target = Reply["target"].toString().toStdString();
  const std::string BootIdText = Reply["bootId"].toString().toStdString();
  if (Target.empty() || BootIdText.empty())
    return std::nullopt;
  return HelloReply{.m_Target = TargetName(Target),
                    .m_BootId = BootId(BootIdText)};
}

std::optional<HealthReply> decodeHealth(std::string_view Body) {
  using State = HealthReply::State;
  const QJsonObject Reply = parseJsonObject(Body);
  const QString Name = Reply["state"].toString();
  HealthReply Health{.m_Load = Reply["load"].toDouble()};
  if (Name == "ready")
    Health.m_State = State::Ready;
  else if (Name == "warming")
    Health.m_State = State::Warming;
  else if (Name == "draining")
    Health.m_State = State::Draining;
  else
    return std::nullopt;
  return Health;
}

} // namespace figturn
