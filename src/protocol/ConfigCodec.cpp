#include "protocol/ConfigCodec.h"

#include "protocol/ConfigSchema.h"
#include "protocol/NearestName.h"

#include <fmt/format.h>

namespace figturn {

namespace {

QString toQString(std::string_view Text) {
  return QString::fromUtf8(Text.data(), static_cast<qsizetype>(Text.size()));
}

void checkSections(const QJsonObject &Merged, JsonChecker &Checker) {
  const std::vector<std::string> Known = {std::string(DataCentresSection),
                                          std::string(ServicesSection),
                                          std::string(TargetsSection)};
  for (const QString &Key : Merged.keys()) {
    const std::string Name = Key.toStdString();
    if (std::find(Known.begin(), Known.end(), Name) == Known.end())
      Checker.reportUnknownKey("", Name, Known);
  }
}

template <typename Name, typename Record>
std::map<Name, Record>
readSection(const QJsonObject &Merged, std::string_view Section,
            std::span<const FieldBinding<Record>> Rules, JsonChecker &Checker) {
  std::map<Name, Record> Entries;
  const QJsonValue Value = Merged.value(toQString(Section));
  if (!Value.isObject()) {
    Checker.report(std::string(Section), Value,
                   "an object with one member per name");
    return Entries;
  }
  const QJsonObject Object = Value.toObject();
  for (auto It = Object.begin(); It != Object.end(); ++It) {
    const std::string Key = It.key().toStdString();
    const std::string Path = joinPath(Section, Key);
    if (!isValidName(Key))
      Checker.report(Path, QJsonValue::Undefined,
                     std::string(validNameClause()));
    Entries.emplace(Name(Key),
                    readStruct<Record>(It.value(), Path, Rules, Checker));
  }
  return Entries;
}

template <typename Name, typename Record>
void checkReference(const std::string &Path, const Name &Referenced,
                    const std::map<Name, Record> &Section,
                    std::string_view SectionName, JsonChecker &Checker) {
  if (Referenced.value().empty() || Section.contains(Referenced))
    return;
  std::vector<std::string> Known;
  Known.reserve(Section.size());
  for (const auto &Entry : Section)
    Known.push_back(Entry.first.value());
  const std::string Nearest = nearestName(Referenced.value(), Known);
  Checker.report(
      Path, toJson(Referenced),
      fmt::format("a name in {}{}", SectionName,
                  Nearest.empty()
                      ? ", which is empty"
                      : fmt::format("; did you mean \"{}\"?", Nearest)));
}

void checkDeadlines(const Configuration &Config, JsonChecker &Checker) {
  for (const auto &[Name, Service] : Config.m_Services) {
    if (Service.m_DefaultDeadline <= Service.m_MaxDeadline)
      continue;
    Checker.report(fmt::format("services.{}.defaultDeadlineMs", Name),
                   toJson(Service.m_DefaultDeadline),
                   fmt::format("at most maxDeadlineMs, which is {}",
                               Service.m_MaxDeadline.count()));
  }
}

void checkCapacity(const std::string &Path, const TargetConfig &Target,
                   JsonChecker &Checker) {
  const std::uint32_t Slots = Target.warmSlots();
  if (Target.m_ColdSlots > Slots)
    Checker.report(Path + ".coldSlots", toJson(Target.m_ColdSlots),
                   fmt::format("at most the target's {} slots (searchers {} "
                               "times slotsPerSearcher {})",
                               Slots, Target.m_Searchers,
                               Target.m_SlotsPerSearcher));
  if (Target.m_ConnectionLimit < Slots + ConnectionHeadroom)
    Checker.report(
        Path + ".connectionLimit", toJson(Target.m_ConnectionLimit),
        fmt::format("at least {}: the target's {} slots and {} connections "
                    "for entry VMs to replace or probe connections",
                    Slots + ConnectionHeadroom, Slots, ConnectionHeadroom));
}

void checkTargets(const Configuration &Config, JsonChecker &Checker) {
  std::map<std::string, TargetName> Addresses;
  for (const auto &[Name, Target] : Config.m_Targets) {
    const std::string Path = fmt::format("targets.{}", Name);
    checkReference(Path + ".service", Target.m_Service, Config.m_Services,
                   ServicesSection, Checker);
    checkReference(Path + ".dataCentre", Target.m_DataCentre,
                   Config.m_DataCentres, DataCentresSection, Checker);
    checkCapacity(Path, Target, Checker);
    if (Target.m_Host.empty() || Target.m_Port == 0)
      continue;
    const auto [Other, IsNew] = Addresses.emplace(
        fmt::format("{} port {}", Target.m_Host, Target.m_Port), Name);
    if (!IsNew)
      Checker.report(Path + ".port", toJson(Target.m_Port),
                     fmt::format("a unique address; {} is already used by "
                                 "targets.{}",
                                 Other->first, Other->second));
  }
}

} // namespace

ConfigResult decodeConfig(const QJsonObject &Merged, const JsonOrigins &Origins,
                          UnknownKeys Unknown) {
  JsonChecker Checker(Origins, Unknown);
  ConfigResult Result;
  Configuration &Config = Result.m_Configuration;
  checkSections(Merged, Checker);
  Config.m_DataCentres = readSection<DataCentreName, DataCentreConfig>(
      Merged, DataCentresSection, dataCentreRules(), Checker);
  Config.m_Services = readSection<ServiceName, ServiceConfig>(
      Merged, ServicesSection, serviceRules(), Checker);
  Config.m_Targets = readSection<TargetName, TargetConfig>(
      Merged, TargetsSection, targetRules(), Checker);
  checkDeadlines(Config, Checker);
  checkTargets(Config, Checker);
  Result.m_Problems = Checker.takeProblems();
  return Result;
}

} // namespace figturn
