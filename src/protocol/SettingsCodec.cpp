#include "protocol/SettingsCodec.h"

#include <QString>

namespace figturn {

namespace {

constexpr double MaxWorkers = 64;

constexpr FieldBinding<NodeSettings> Rules[] = {
    {{.m_Key = "vm",
      .m_Kind = FieldKind::Name,
      .m_Required = true,
      .m_Description = "Name of this VM; unique in the fleet."},
     &NodeSettings::m_Vm},
    {{.m_Key = "dataCentre",
      .m_Kind = FieldKind::Name,
      .m_Required = true,
      .m_Description = "Data centre of this VM."},
     &NodeSettings::m_DataCentre},
    {{.m_Key = "callerAddress",
      .m_Kind = FieldKind::Address,
      .m_Required = true,
      .m_Description = "Address that serves callers over HTTP."},
     &NodeSettings::m_CallerAddress},
    {{.m_Key = "peerAddress",
      .m_Kind = FieldKind::Address,
      .m_Required = true,
      .m_Description =
          "Address that serves other entry VMs over Cap'n Proto RPC."},
     &NodeSettings::m_PeerAddress},
    {{.m_Key = "platformUrl",
      .m_Kind = FieldKind::HttpUrl,
      .m_Required = true,
      .m_Description = "Base URL of the platform's object API."},
     &NodeSettings::m_PlatformUrl},
    {{.m_Key = "vmListUrl",
      .m_Kind = FieldKind::HttpUrl,
      .m_Required = true,
      .m_Description = "Base URL of the platform's VM list."},
     &NodeSettings::m_VmListUrl},
    {{.m_Key = "workers",
      .m_Kind = FieldKind::Count,
      .m_Min = 1,
      .m_Max = MaxWorkers,
      .m_Description = "Number of worker threads."},
     &NodeSettings::m_Workers},
    {DescriptorsRule, &NodeSettings::m_Descriptors},
    {MemoryRule, &NodeSettings::m_MemoryMiB},
};

SettingsResult decodeSettings(const JsonText &Text) {
  if (!Text.m_Problems.empty())
    return {.m_Problems = Text.m_Problems};
  JsonChecker Checker(Text.m_Origins);
  SettingsResult Result;
  Result.m_Settings =
      readStruct<NodeSettings>(Text.m_Object, "", settingsRules(), Checker);
  Result.m_Problems = Checker.takeProblems();
  return Result;
}

} // namespace

std::span<const FieldBinding<NodeSettings>> settingsRules() { return Rules; }

SettingsResult parseSettings(std::string_view Text, const std::string &File) {
  return decodeSettings(parseJsonText(Text, File));
}

SettingsResult readSettings(const std::string &File) {
  return decodeSettings(readJsonFile(File));
}

std::optional<SocketAddress> parseSocketAddress(std::string_view Text) {
  constexpr FieldRule Rule{.m_Key = "address", .m_Kind = FieldKind::Address};
  const QString Address = QString::fromStdString(std::string(Text));
  if (!meetsRule(Rule, Address))
    return std::nullopt;
  const qsizetype Colon = Address.lastIndexOf(':');
  QString Host = Address.left(Colon);
  Host.remove('[').remove(']');
  return SocketAddress{.m_Host = Host.toStdString(),
                       .m_Port = Address.mid(Colon + 1).toUShort()};
}

} // namespace figturn
