#include "protocol/VmList.h"

#include "state/Errc.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <optional>

namespace figturn {

namespace {

std::optional<VmEntry> readVm(const QJsonObject &Object) {
  const QString Role = Object.value("role").toString();
  if (Role != "entry" && Role != "target")
    return std::nullopt;
  VmEntry Entry;
  Entry.m_Name = VmName(Object.value("name").toString().toStdString());
  Entry.m_DataCentre =
      DataCentreName(Object.value("dataCentre").toString().toStdString());
  Entry.m_Address = Object.value("address").toString().toStdString();
  Entry.m_Role = Role == "entry" ? VmRole::Entry : VmRole::Target;
  Entry.m_State = Object.value("state").toString() == "live" ? VmState::Live
                                                             : VmState::Leaving;
  if (Entry.m_Name.value().empty())
    return std::nullopt;
  return Entry;
}

} // namespace

VmListResult decodeVmList(std::string_view Body) {
  const QJsonDocument Document = QJsonDocument::fromJson(
      QByteArray(Body.data(), static_cast<qsizetype>(Body.size())));
  const QJsonValue Vms = Document.object().value("vms");
  if (!Vms.isArray())
    return {.m_Error = Errc::BadReply};
  VmListResult Result;
  for (const auto &Value : Vms.toArray())
    if (auto Entry = readVm(Value.toObject()))
      Result.m_Vms.push_back(std::move(*Entry));
  return Result;
}

} // namespace figturn
