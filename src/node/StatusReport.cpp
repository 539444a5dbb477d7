#include "node/StatusReport.h"

#include "protocol/JsonConvert.h"

#include <QJsonArray>

namespace figturn {

namespace {

QJsonArray encodeMembers(const MembershipTable &Membership) {
  const std::set<VmName> Draining = Membership.draining();
  const MemberListPtr List = Membership.members();
  QJsonArray Members;
  for (const Member &Each : List->m_Members)
    Members.append(QJsonObject{{"vm", toQt(Each.m_Vm.value())},
                               {"dataCentre", toQt(Each.m_DataCentre.value())},
                               {"callerAddress", toQt(Each.m_CallerAddress)},
                               {"peerAddress", toQt(Each.m_PeerAddress)},
                               {"draining", Draining.contains(Each.m_Vm)}});
  return Members;
}

QJsonArray encodeTargets(const StatusSources &Sources) {
  const ConfigurationPtr Config = Sources.m_Routing.configuration();
  QJsonArray Targets;
  if (!Config)
    return Targets;
  const auto Entries = Sources.m_Targets.entries();
  for (const auto &[Name, Entry] : *Entries) {
    const auto Configured = Config->m_Targets.find(Name);
    if (Configured == Config->m_Targets.end())
      continue;
    Targets.append(QJsonObject{
        {"target", toQt(Name.value())},
        {"service", toQt(Configured->second.m_Service.value())},
        {"dataCentre", toQt(Configured->second.m_DataCentre.value())},
        {"acceptsNewWork", Entry->m_AcceptsNewWork.load()},
        {"refusing", Entry->m_Refusing.load()},
        {"cold", Entry->m_Cold.load()},
        {"usableSlots", toJson(Entry->m_UsableSlots.load())},
        {"slots", toJson(Configured->second.warmSlots())},
        {"connections", toJson(Entry->m_Connections.load())},
        {"outstanding", toJson(Entry->m_Outstanding.load())}});
  }
  return Targets;
}

QJsonArray encodeServices(const StatusSources &Sources) {
  const auto Versions = Sources.m_Routing.indexVersions();
  const auto Counters = Sources.m_Metrics.services();
  QJsonArray Services;
  for (const auto &[Service, Version] : Versions) {
    const auto Found = Counters.find(Service);
    const ServiceCounters Counted =
        Found == Counters.end() ? ServiceCounters{} : Found->second;
    Services.append(
        QJsonObject{{"service", toQt(Service.value())},
                    {"indexVersion", toJson(Version.value())},
                    {"answers", toJson(Counted.m_Answers)},
                    {"partialAnswers", toJson(Counted.m_PartialAnswers)},
                    {"firstCalls", toJson(Counted.m_FirstCalls)},
                    {"hedges", toJson(Counted.m_Hedges)},
                    {"retries", toJson(Counted.m_Retries)}});
  }
  return Services;
}

QJsonObject encodeEpoch(const MembershipTable &Membership) {
  const auto Permit = Membership.permit();
  return {{"number", toJson(Membership.members()->m_Epoch.value())},
          {"usable", Permit.has_value()},
          {"onlyCarried", Permit && Permit->m_OnlyCarried}};
}

} // namespace

std::string encodeStatus(const StatusSources &Sources) {
  const ConfigurationPtr Config = Sources.m_Routing.configuration();
  return toCompactJson(
      {{"vm", toQt(Sources.m_Self.m_Vm.value())},
       {"dataCentre", toQt(Sources.m_Self.m_DataCentre.value())},
       {"ready", Sources.m_Ready},
       {"draining", Sources.m_Drain != DrainStep::None},
       {"configVersion", toJson(Config ? Config->m_Version.value() : 0)},
       {"changeId", toQt(Config ? Config->m_ChangeId : std::string())},
       {"epoch", encodeEpoch(Sources.m_Membership)},
       {"members", encodeMembers(Sources.m_Membership)},
       {"services", encodeServices(Sources)},
       {"targets", encodeTargets(Sources)}});
}

std::vector<Member> decodeStatusMembers(std::string_view Body) {
  std::vector<Member> Members;
  const QJsonArray Listed = parseJsonObject(Body).value("members").toArray();
  for (const QJsonValueConstRef Value : Listed) {
    const QJsonObject Object = Value.toObject();
    Members.push_back(
        {.m_Vm = VmName(stringAt(Object, "vm")),
         .m_DataCentre = DataCentreName(stringAt(Object, "dataCentre")),
         .m_PeerAddress = stringAt(Object, "peerAddress"),
         .m_CallerAddress = stringAt(Object, "callerAddress")});
  }
  return Members;
}

} // namespace figturn
