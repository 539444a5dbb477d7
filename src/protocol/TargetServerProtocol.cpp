#include "protocol/TargetServerProtocol.h"

#include "protocol/JsonConvert.h"

#include <QJsonArray>

namespace figturn {

namespace {

/** Reads keys of one object and records whether all had the right type. */
class ObjectReader {
public:
  explicit ObjectReader(std::string_view Body)
      : m_Object(parseJsonObject(Body)) {}
  explicit ObjectReader(const QJsonObject &Object) : m_Object(Object) {}

  std::string text(const char *Key) {
    const QJsonValue Value = m_Object[Key];
    m_IsValid &= Value.isString();
    return Value.toString().toStdString();
  }

  std::uint64_t count(const char *Key) {
    const auto Number = countAt(m_Object, Key);
    m_IsValid &= Number.has_value();
    return Number.value_or(0);
  }

  QJsonObject object(const char *Key) {
    const QJsonValue Value = m_Object[Key];
    m_IsValid &= Value.isObject();
    return Value.toObject();
  }

  bool isValid() const { return m_IsValid; }

private:
  QJsonObject m_Object;
  bool m_IsValid = true;
};

template <typename T>
std::optional<T> ifValid(const ObjectReader &Reader, T Call) {
  if (!Reader.isValid())
    return std::nullopt;
  return Call;
}

CallHeader decodeHeader(ObjectReader &Reader) {
  return {.m_Call = CallId(Reader.count("callId")),
          .m_Origin = Reader.text("vm"),
          .m_Service = ServiceName(Reader.text("service")),
          .m_Deadline = milliseconds(Reader.count("deadlineMs"))};
}

template <typename Call>
void decodeShardCall(ObjectReader &Reader, Call &Message) {
  Message.m_Header = decodeHeader(Reader);
  Message.m_Version = IndexVersion(Reader.count("indexVersion"));
  Message.m_Shard = ShardId(static_cast<std::uint32_t>(Reader.count("shard")));
  Message.m_Priority = Reader.text("priority") == "urgent" ? Priority::Urgent
                                                           : Priority::Ordinary;
}

template <typename Reply>
QJsonObject encodeShardReply(CallId Call, const Reply &Message) {
  return {{"callId", toJson(Call.value())},
          {"indexVersion", toJson(Message.m_Version.value())},
          {"shard", toJson(Message.m_Shard.value())}};
}

QString healthName(HealthReply::State State) {
  switch (State) {
  case HealthReply::State::Ready:
    return "ready";
  case HealthReply::State::Warming:
    return "warming";
  case HealthReply::State::Draining:
    return "draining";
  }
  return {};
}

unsigned failureStatus(Errc Reason) {
  switch (Reason) {
  case Errc::BadRequest:
    return 400;
  case Errc::VersionNotHeld:
    return 409;
  case Errc::Cancelled:
    return 499;
  case Errc::TargetShed:
    return 503;
  case Errc::DeadlineExceeded:
    return 504;
  default:
    return 500;
  }
}

} // namespace

std::optional<SearchCall> decodeSearchCall(std::string_view Body) {
  ObjectReader Reader(Body);
  SearchCall Call;
  decodeShardCall(Reader, Call);
  ObjectReader Query(Reader.object("query"));
  Call.m_Query.m_Text = Query.text("text");
  Call.m_Query.m_Limit = static_cast<std::uint32_t>(Query.count("limit"));
  if (!Query.isValid())
    return std::nullopt;
  return ifValid(Reader, Call);
}

std::optional<LookupCall> decodeLookupCall(std::string_view Body) {
  ObjectReader Reader(Body);
  LookupCall Call;
  decodeShardCall(Reader, Call);
  Call.m_Record = Reader.text("record");
  return ifValid(Reader, Call);
}

std::optional<RunCall> decodeRunCall(std::string_view Body) {
  ObjectReader Reader(Body);
  RunCall Call{.m_Header = decodeHeader(Reader),
               .m_Key = RequestKey(Reader.text("key")),
               .m_Record = Reader.text("record"),
               .m_Body = Reader.object("body")};
  return ifValid(Reader, Call);
}

std::optional<CancelRequest> decodeCancelCall(std::string_view Body) {
  ObjectReader Reader(Body);
  CancelRequest Call{.m_Origin = Reader.text("vm"),
                     .m_Call = CallId(Reader.count("callId"))};
  return ifValid(Reader, Call);
}

std::string encodeReply(CallId Call, const SearchReply &Reply) {
  QJsonArray Hits;
  for (const SearchHit &Hit : Reply.m_Hits)
    Hits.append(QJsonObject{{"id", toQt(Hit.m_Id)},
                            {"score", Hit.m_Score},
                            {"fields", Hit.m_Fields}});
  QJsonObject Object = encodeShardReply(Call, Reply);
  Object["documents"] = toJson(Reply.m_Documents);
  Object["hitCount"] = Hits.size();
  Object["hits"] = Hits;
  return toCompactJson(Object);
}

std::string encodeReply(CallId Call, const LookupReply &Reply) {
  QJsonObject Object = encodeShardReply(Call, Reply);
  Object["found"] = Reply.m_Found;
  if (Reply.m_Found)
    Object["record"] = Reply.m_Record;
  return toCompactJson(Object);
}

std::string encodeReply(CallId Call, const RunReply &Reply) {
  return toCompactJson({{"callId", toJson(Call.value())},
                        {"key", toQt(Reply.m_Key.value())},
                        {"result", Reply.m_Result}});
}

std::string encodeReply(const HelloReply &Reply) {
  return toCompactJson({{"target", toQt(Reply.m_Target.value())},
                        {"bootId", toQt(Reply.m_BootId.value())}});
}

std::string encodeReply(const HealthReply &Reply) {
  return toCompactJson(
      {{"state", healthName(Reply.m_State)}, {"load", Reply.m_Load}});
}

FailureReply encodeFailure(CallId Call, Errc Reason, IndexVersion Held) {
  QJsonObject Object{{"callId", toJson(Call.value())},
                     {"error", toQt(errcName(Reason))}};
  if (Reason == Errc::VersionNotHeld)
    Object["indexVersion"] = toJson(Held.value());
  return {.m_Status = failureStatus(Reason), .m_Body = toCompactJson(Object)};
}

} // namespace figturn
