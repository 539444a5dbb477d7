#include "cli/ActivationWait.h"
#include "cli/BlockingHttp.h"
#include "cli/Commands.h"
#include "cli/ConfigPublication.h"
#include "cli/Flags.h"
#include "protocol/ConfigFolder.h"
#include "protocol/SettingsCodec.h"
#include "transport/HttpObjectStore.h"
#include "transport/HttpVmList.h"

#include <QSysInfo>
#include <QUuid>
#include <absl/flags/flag.h>
#include <algorithm>
#include <charconv>
#include <cstdio>
#include <fmt/format.h>
#include <set>

namespace figturn {

namespace {

constexpr milliseconds VmListTimeout{1000};

// Validated arguments of the command.
struct ApplyOptions {
  std::string m_Folder;
  std::string m_PlatformUrl;
  std::vector<std::string> m_Entries;
  std::string m_ChangeId;
  std::optional<ConfigVersion> m_ExpectedVersion;
  bool m_IsResolvingUnknown = false;
  milliseconds m_Timeout{};
  milliseconds m_WaitTimeout{};
};

// Contains the local hostname, so that operators can recognise their changes,
// and a UUID for uniqueness.
std::string makeChangeId() {
  const std::string Host = QSysInfo::machineHostName().toStdString();
  return Host + "-" + QUuid::createUuid().toString(QUuid::Id128).toStdString();
}

std::string readExpectedVersion(ApplyOptions &Options) {
  const std::string Text = absl::GetFlag(FLAGS_expected_version);
  if (Text.empty())
    return {};
  std::uint64_t Version = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Version);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return fmt::format("--expected-version is \"{}\"; it must be a version "
                       "number",
                       Text);
  Options.m_ExpectedVersion = ConfigVersion(Version);
  return {};
}

// Fills \p Options; returns an error message if a flag is invalid.
std::string readFlags(ApplyOptions &Options) {
  constexpr FieldRule UrlRule{.m_Key = "platform",
                              .m_Kind = FieldKind::HttpUrl};
  Options.m_PlatformUrl = absl::GetFlag(FLAGS_platform);
  if (!meetsRule(UrlRule, toJson(Options.m_PlatformUrl)))
    return fmt::format("--platform is \"{}\"; it must be {}",
                       Options.m_PlatformUrl, expectedClause(UrlRule));
  Options.m_Entries = splitList(absl::GetFlag(FLAGS_entries));
  for (const std::string &Entry : Options.m_Entries)
    if (!parseSocketAddress(Entry))
      return fmt::format("--entries contains \"{}\", which is not an ip:port "
                         "address",
                         Entry);
  if (absl::GetFlag(FLAGS_timeout_ms) < 0 || absl::GetFlag(FLAGS_wait_ms) < 0)
    return "--timeout-ms and --wait-ms must not be negative";
  Options.m_Timeout = milliseconds(absl::GetFlag(FLAGS_timeout_ms));
  Options.m_WaitTimeout = milliseconds(absl::GetFlag(FLAGS_wait_ms));
  Options.m_ChangeId = absl::GetFlag(FLAGS_change_id);
  if (Options.m_ChangeId.empty())
    Options.m_ChangeId = makeChangeId();
  Options.m_IsResolvingUnknown = absl::GetFlag(FLAGS_resolve);
  const bool NamesEarlierChange =
      !absl::GetFlag(FLAGS_change_id).empty() &&
      !absl::GetFlag(FLAGS_expected_version).empty();
  if (Options.m_IsResolvingUnknown && !NamesEarlierChange)
    return "--resolve requires the --change-id and the --expected-version of "
           "the earlier apply";
  return readExpectedVersion(Options);
}

// Returns the live entry VMs of the VM list and those passed by --entries.
std::vector<std::string> findEntries(const ApplyOptions &Options) {
  std::set<std::string> Known(Options.m_Entries.begin(),
                              Options.m_Entries.end());
  HttpVmList List(
      {.m_BaseUrl = Options.m_PlatformUrl, .m_Timeout = VmListTimeout});
  for (const VmEntry &Vm : fetchVmListBlocking(List).m_Vms)
    if (Vm.m_Role == VmRole::Entry && Vm.m_State == VmState::Live)
      Known.insert(Vm.m_Address);
  return {Known.begin(), Known.end()};
}

ExitCode reportAccepted(const ApplyOptions &Options,
                        const PublicationResult &Result) {
  const ConfigVersion Version = Result.m_Step.m_Version;
  fmt::print("accepted: version {}, change {}\n", Version, Options.m_ChangeId);
  std::fflush(stdout);
  const std::vector<std::string> Entries = findEntries(Options);
  if (Entries.empty()) {
    fmt::print("no entry VM is known; pass --entries to wait until the "
               "version is in force\n");
    return ExitCode::Ok;
  }
  const std::vector<LaggingEntry> Lagging =
      waitUntilActive({.m_Version = Version,
                       .m_Body = Result.m_Body,
                       .m_Entries = Entries,
                       .m_WaitTimeout = Options.m_WaitTimeout});
  fmt::print("in force at {} of {} entry VMs\n",
             Entries.size() - Lagging.size(), Entries.size());
  for (const LaggingEntry &Entry : Lagging)
    fmt::print("not yet in force at {}: {}\n", Entry.m_Entry, Entry.m_Reason);
  return Lagging.empty() ? ExitCode::Ok : ExitCode::NotYetInForce;
}

ExitCode reportSuperseded(const ApplyOptions &Options,
                          const PublishStep &Step) {
  fmt::print("accepted: change {}; change {} (version {}) was accepted after "
             "it and is current\n",
             Options.m_ChangeId, Step.m_CurrentChange, Step.m_Version);
  return ExitCode::Ok;
}

ExitCode reportConflict(const PublishStep &Step) {
  fmt::print(stderr,
             "figturn: conflict: change {} was accepted first and is version "
             "{}; nothing of this change was written\n",
             Step.m_CurrentChange.empty() ? "(unknown)" : Step.m_CurrentChange,
             Step.m_Version);
  return ExitCode::Conflict;
}

ExitCode reportNotAccepted(const ApplyOptions &Options,
                           const PublishStep &Step) {
  fmt::print(stderr,
             "figturn: not accepted: the platform at {} was unavailable or "
             "rejected the change (latest version seen: {}); nothing was "
             "written\n",
             Options.m_PlatformUrl, Step.m_Version);
  return ExitCode::NotAccepted;
}

ExitCode reportOutcomeUnknown(const ApplyOptions &Options,
                              const PublishStep &Step) {
  fmt::print(stderr,
             "figturn: outcome unknown: the reply to the write was lost and "
             "reading the platform did not show whether the change was "
             "accepted. To resolve it, run:\n"
             "  figturn apply {} --platform={} --change-id={} "
             "--expected-version={} --resolve\n",
             Options.m_Folder, Options.m_PlatformUrl, Options.m_ChangeId,
             Step.m_Base);
  return ExitCode::OutcomeUnknown;
}

ExitCode reportResult(const ApplyOptions &Options,
                      const PublicationResult &Result) {
  switch (Result.m_Step.m_Outcome) {
  case PublishOutcome::Accepted:
    return reportAccepted(Options, Result);
  case PublishOutcome::Superseded:
    return reportSuperseded(Options, Result.m_Step);
  case PublishOutcome::Conflict:
    return reportConflict(Result.m_Step);
  case PublishOutcome::NotAccepted:
    return reportNotAccepted(Options, Result.m_Step);
  case PublishOutcome::Unknown:
    return reportOutcomeUnknown(Options, Result.m_Step);
  }
  return ExitCode::Failed;
}

} // namespace

ExitCode applyCommand(const std::vector<std::string> &Arguments) {
  ApplyOptions Options{.m_Folder = Arguments[0]};
  const std::string Error = readFlags(Options);
  if (!Error.empty())
    return usageError(Error);
  const MergedConfig Merged = readConfigFolder(Options.m_Folder);
  const ConfigResult Config =
      Merged.m_Problems.empty()
          ? decodeConfig(Merged.m_Object, Merged.m_Origins)
          : ConfigResult{.m_Problems = Merged.m_Problems};
  if (!Config.m_Problems.empty()) {
    fmt::print(stderr, "{}", describeProblems(Config.m_Problems));
    return ExitCode::InvalidConfiguration;
  }
  ensureApplication();
  HttpObjectStore Store({.m_BaseUrl = Options.m_PlatformUrl});
  return reportResult(
      Options,
      publishConfig(Store, Merged.m_Object,
                    {.m_ChangeId = Options.m_ChangeId,
                     .m_Base = Options.m_ExpectedVersion,
                     .m_IsResolvingUnknown = Options.m_IsResolvingUnknown,
                     .m_Deadline = Clock::now() + Options.m_Timeout}));
}

} // namespace figturn
