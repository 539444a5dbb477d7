#include "protocol/EffectiveConfig.h"

#include "protocol/ConfigSchema.h"

#include <fmt/format.h>

namespace figturn {

namespace {

template <typename Name, typename Record>
void appendSection(std::vector<EffectiveValue> &Values,
                   std::string_view Section,
                   const std::map<Name, Record> &Entries,
                   std::span<const FieldBinding<Record>> Rules,
                   const JsonOrigins &Origins) {
  for (const auto &[Key, Entry] : Entries) {
    const std::string Path = joinPath(Section, Key.value());
    for (const FieldBinding<Record> &Rule : Rules) {
      EffectiveValue Value{.m_Path = joinPath(Path, Rule.m_Rule.m_Key),
                           .m_Value = memberToJson(Entry, Rule)};
      const auto Origin = Origins.find(Value.m_Path);
      if (Origin != Origins.end())
        Value.m_Origin = Origin->second;
      Values.push_back(std::move(Value));
    }
  }
}

} // namespace

std::vector<EffectiveValue> effectiveValues(const Configuration &Config,
                                            const JsonOrigins &Origins) {
  std::vector<EffectiveValue> Values;
  appendSection(Values, DataCentresSection, Config.m_DataCentres,
                dataCentreRules(), Origins);
  appendSection(Values, ServicesSection, Config.m_Services, serviceRules(),
                Origins);
  appendSection(Values, TargetsSection, Config.m_Targets, targetRules(),
                Origins);
  return Values;
}

} // namespace figturn
