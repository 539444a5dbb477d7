#ifndef FIGTURN_COORDINATION_CANARYREGISTRY_H
#define FIGTURN_COORDINATION_CANARYREGISTRY_H

/**
 * Contains requests that crash the targets that run them. A request whose
 * fingerprint is not known to be good is first run by one target alone, its
 * canary; only then is it sent to all that it needs. The home VM of a
 * fingerprint (by rendezvous hash over the members) lets one canary run at a
 * time over the fleet and counts crashes. After the limit of crashes the
 * fingerprint is quarantined: every VM refuses it for a time.
 *
 * Each VM holds one registry. It answers for the fingerprints whose home the
 * VM is, and keeps what peers tell about others, so that a quarantine holds
 * everywhere and outlives a change of home. All tables are bounded.
 */

#include "state/Ids.h"
#include "state/Time.h"

#include <cstdint>
#include <list>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace figturn {

/** Limits of a registry. */
struct CanaryRegistryOptions {
  std::uint32_t m_CrashLimit = 2; ///< Crashes that lead to quarantine.
  Duration m_QuarantineDuration = std::chrono::minutes(10);
  /** A canary that is not reported within this time is taken for lost. */
  Duration m_CanaryTimeout = seconds(4);
  std::size_t m_MaxKnownGood = 100000;
  std::size_t m_MaxSuspects = 10000; ///< Fingerprints with crashes.
  std::size_t m_MaxInFlight = 10000;
};

/** What a VM that asks may do with a request. */
enum class CanaryVerdict {
  Proceed,    ///< Run it at one target, and report.
  Wait,       ///< Its canary runs at another VM, or too many do; ask again.
  KnownGood,  ///< Run it at all targets that it needs.
  Quarantined ///< Refuse it; the tries that crashed targets did run.
};

/** The answer to a question about a fingerprint. */
struct CanaryAnswer {
  CanaryVerdict m_Verdict = CanaryVerdict::Wait;
  /** Names the canary in its report; set with Proceed, never 0. */
  std::uint64_t m_Canary = 0;
  /** With Wait: ask again after this; with Quarantined: it ends after this. */
  Duration m_Remaining{};
};

/** How a request's run ended, as far as its fingerprint is concerned. */
enum class CanaryOutcome {
  Ok,          ///< The target answered.
  Crashed,     ///< The connection was lost and the boot id changed.
  Inconclusive ///< Neither is known, or it was never sent.
};

/** Tells peers how often a fingerprint crashed targets. */
struct CrashNotice {
  Fingerprint m_Fingerprint;
  std::uint32_t m_Crashes = 0;
  Duration m_Remaining{}; ///< The notice holds so long from its sending.
};

/** The home VM of \p Request, or nullptr if \p Members is empty. */
const VmName *canaryOwner(std::span<const VmName> Members, Fingerprint Request);

/** One VM's knowledge of fingerprints. Not thread-safe. */
class CanaryRegistry {
public:
  explicit CanaryRegistry(CanaryRegistryOptions Options) : m_Options(Options) {}

  /** At the home VM: what may be done with \p Request. */
  CanaryAnswer ask(Fingerprint Request, TimePoint Now);

  /**
   * At the home VM: how a run of \p Request ended. \p Canary is that of the
   * answer; 0 for a request that ran as known good. A canary is counted once.
   * Returns a notice to send to all peers if a crash was counted.
   */
  std::optional<CrashNotice> report(Fingerprint Request, std::uint64_t Canary,
                                    CanaryOutcome Outcome, TimePoint Now);

  /** At any VM: takes a peer's notice. */
  void onCrashNotice(const CrashNotice &Notice, TimePoint Now);

  /** At any VM: how long \p Request is still quarantined, as far as this VM
   *  knows; nothing if it isn't. */
  std::optional<Duration> quarantineRemaining(Fingerprint Request,
                                              TimePoint Now) const;

  std::size_t knownGood() const { return m_KnownGoodByUse.size(); }
  std::size_t suspects() const { return m_Suspects.size(); }
  std::size_t inFlight() const { return m_InFlight.size(); }

private:
  struct Suspect {
    std::uint32_t m_Crashes = 0;
    TimePoint m_Until; ///< Quarantine's end, if the crashes suffice.
  };
  struct Canary {
    std::uint64_t m_Number;
    TimePoint m_Expires;
  };
  using UseOrder = std::list<Fingerprint>;

  bool isKnownGood(Fingerprint Request);
  void addKnownGood(Fingerprint Request);
  void removeKnownGood(Fingerprint Request);
  CanaryAnswer startCanary(Fingerprint Request, TimePoint Now);
  bool finishCanary(Fingerprint Request, std::uint64_t Number);
  CrashNotice countCrash(Fingerprint Request, TimePoint Now);
  Suspect &suspect(Fingerprint Request, TimePoint Now);

  CanaryRegistryOptions m_Options;
  std::uint64_t m_LastCanary = 0;
  UseOrder m_KnownGoodByUse; ///< Latest use first.
  std::unordered_map<Fingerprint, UseOrder::iterator> m_KnownGood;
  std::unordered_map<Fingerprint, Suspect> m_Suspects;
  /** Canaries not reported yet; the last is the latest. */
  std::unordered_map<Fingerprint, std::vector<Canary>> m_InFlight;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_CANARYREGISTRY_H
