#include "protocol/MemberListCodec.h"

#include "protocol/JsonConvert.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>

namespace figturn {

namespace {

QJsonArray encodeMembers(const std::vector<Member> &Members) {
  QJsonArray Array;
  for (const Member &Each : Members)
    Array.append(QJsonObject{{"vm", toQt(Each.m_Vm.value())},
                             {"boot", toQt(Each.m_Boot.value())},
                             {"dataCentre", toQt(Each.m_DataCentre.value())},
                             {"peerAddress", toQt(Each.m_PeerAddress)},
                             {"callerAddress", toQt(Each.m_CallerAddress)}});
  return Array;
}

std::vector<Member> decodeMembers(const QJsonArray &Array) {
  std::vector<Member> Members;
  for (const QJsonValueConstRef Value : Array) {
    const QJsonObject Object = Value.toObject();
    Members.push_back(
        {.m_Vm = VmName(stringAt(Object, "vm")),
         .m_Boot = BootId(stringAt(Object, "boot")),
         .m_DataCentre = DataCentreName(stringAt(Object, "dataCentre")),
         .m_PeerAddress = stringAt(Object, "peerAddress"),
         .m_CallerAddress = stringAt(Object, "callerAddress")});
  }
  std::sort(Members.begin(), Members.end(),
            [](const Member &L, const Member &R) { return L.m_Vm < R.m_Vm; });
  return Members;
}

} // namespace

std::string encodeMemberList(const MemberList &List) {
  return toCompactJson({{"epoch", toJson(List.m_Epoch.value())},
                        {"members", encodeMembers(List.m_Members)},
                        {"previous", encodeMembers(List.m_Previous)}});
}

std::optional<MemberList> decodeMemberList(std::string_view Body) {
  const QJsonObject Object = parseJsonObject(Body);
  const auto EpochNumber = countAt(Object, "epoch");
  if (!EpochNumber || !Object.value("members").isArray())
    return std::nullopt;
  return MemberList{
      .m_Epoch = Epoch(*EpochNumber),
      .m_Members = decodeMembers(Object.value("members").toArray()),
      .m_Previous = decodeMembers(Object.value("previous").toArray())};
}

} // namespace figturn
