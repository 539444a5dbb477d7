#include "standin/TargetOptions.h"

#include <QString>
#include <QStringList>

namespace figturn::standin {

namespace {

template <typename T>
void readCount(const QJsonObject &Object, const char *Key, T &Value) {
  const qint64 Number = Object[Key].toInteger(-1);
  if (Number >= 0)
    Value = static_cast<T>(Number);
}

std::string readText(const QJsonObject &Object, const char *Key) {
  return Object[Key].toString().toStdString();
}

} // namespace

std::set<std::uint64_t> parseNumbers(const std::string &List) {
  std::set<std::uint64_t> Numbers;
  for (const QString &Part :
       QString::fromStdString(List).split(',', Qt::SkipEmptyParts))
    Numbers.insert(Part.trimmed().toULongLong());
  return Numbers;
}

TargetOptions parseTargetOptions(const QJsonObject &Object) {
  TargetOptions Options{.m_Target = TargetName(readText(Object, "name")),
                        .m_Service = ServiceName(readText(Object, "service")),
                        .m_DataFile = readText(Object, "data")};
  for (const std::uint64_t Shard : parseNumbers(readText(Object, "shards")))
    Options.m_Slice.m_Shards.insert(static_cast<std::uint32_t>(Shard));
  if (Object.contains("versions"))
    Options.m_Versions = parseNumbers(readText(Object, "versions"));
  readCount(Object, "shard-count", Options.m_Slice.m_ShardCount);
  readCount(Object, "port", Options.m_Port);
  readCount(Object, "control-port", Options.m_ControlPort);
  readCount(Object, "slots", Options.m_Slots);
  readCount(Object, "queue-limit", Options.m_QueueLimit);
  readCount(Object, "connection-limit", Options.m_ConnectionLimit);
  readCount(Object, "cold-slots", Options.m_ColdSlots);
  readCount(Object, "cold-calls", Options.m_ColdCalls);
  Options.m_ServiceTime = milliseconds(
      Object["service-ms"].toInteger(Options.m_ServiceTime.count()));
  Options.m_BootCold = Object["boot-cold"].toBool();
  Options.m_CrashOnOverload = Object["crash-on-overload"].toBool();
  return Options;
}

} // namespace figturn::standin
