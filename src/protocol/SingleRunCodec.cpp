#include "protocol/SingleRunCodec.h"

#include "protocol/JsonConvert.h"

namespace figturn {

namespace {

/** Fingerprints are encoded as hexadecimal text because JSON numbers can't hold
 *  all 64 bits. */
constexpr int HexBase = 16;

RecordReply::Kind replyKind(const std::error_code &Error) {
  if (!Error)
    return RecordReply::Kind::Done;
  if (Error == Errc::VersionConflict)
    return RecordReply::Kind::Conflict;
  if (Error == Errc::ObjectNotFound)
    return RecordReply::Kind::NotFound;
  if (Error == Errc::PlatformUnavailable)
    return RecordReply::Kind::Unavailable;
  if (Error == Errc::BodyTooLarge)
    return RecordReply::Kind::TooLarge;
  return RecordReply::Kind::Unknown;
}

} // namespace

std::string encodeSingleRunRecord(const SingleRunRecord &Record) {
  return toCompactJson(
      {{"key", toQt(Record.m_Key.value())},
       {"fingerprint",
        QString::number(static_cast<qulonglong>(Record.m_Fingerprint.value()),
                        HexBase)},
       {"token", toQt(Record.m_Token.value())},
       {"vm", toQt(Record.m_Vm.value())},
       {"boot", toQt(Record.m_Boot.value())},
       {"phase", toQt(phaseName(Record.m_Phase))},
       {"result", toQt(Record.m_Result)}});
}

SingleRunRecord decodeSingleRunRecord(std::string_view Body) {
  const QJsonObject Object = parseJsonObject(Body);
  const auto Hash =
      Object.value("fingerprint").toString().toULongLong(nullptr, HexBase);
  return {.m_Key = RequestKey(stringAt(Object, "key")),
          .m_Fingerprint = Fingerprint(Hash),
          .m_Token = AttemptToken(stringAt(Object, "token")),
          .m_Vm = VmName(stringAt(Object, "vm")),
          .m_Boot = BootId(stringAt(Object, "boot")),
          .m_Phase = parsePhase(stringAt(Object, "phase")),
          .m_Result = stringAt(Object, "result")};
}

RecordReply toRecordReply(const ObjectResult &Result) {
  RecordReply Reply{.m_Kind = replyKind(Result.m_Error),
                    .m_Revision = StoreRevision(Result.m_Version)};
  if (!Result.m_Error && !Result.m_Body.empty())
    Reply.m_Record = decodeSingleRunRecord(Result.m_Body);
  return Reply;
}

} // namespace figturn
