#ifndef FIGTURN_COORDINATION_CANARYREGISTRY_H
#define FIGTURN_COORDINATION_CANARYREGISTRY_H

/**
 * Limits the damage of requests that crash the targets that run them. A request
 * whose fingerprint is not known to be good first runs at a single target, as a
 * canary; only after that succeeds is it sent to all targets that it needs. The
 * owner VM of a fingerprint (by rendezvous hashing over the members) allows one
 * canary at a time in the fleet and counts crashes. When the crashes reach a
 * limit, the fingerprint is quarantined: every VM refuses it for a while.
 *
 * Each VM has one registry. It decides for the fingerprints that the VM owns,
 * and stores the notices received from peers about others, so that a quarantine
 * applies everywhere and survives a change of owner. All tables are bounded.
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

/** Limits of a CanaryRegistry. */
struct CanaryRegistryOptions {
  /** Crashes after which a fingerprint is quarantined. */
  std::uint32_t m_CrashLimit = 2;
  /** Crashes of calls without a canary within this time of another crash of the
   *  request are not counted: they run concurrently, and one outage may have
   *  ended them all. */
  Duration m_CommonCauseWindow = seconds(1);
  Duration m_QuarantineDuration = std::chrono::minutes(10);
  /** A canary not reported within this time is considered lost. */
  Duration m_CanaryTimeout = seconds(4);
  std::size_t m_MaxKnownGood = 100000;
  std::size_t m_MaxSuspects = 10000; ///< Fingerprints with recorded crashes.
  std::size_t m_MaxInFlight = 10000;
};

/** Decision on a request, as returned to the VM that asked. */
enum class CanaryVerdict {
  Proceed, ///< Run it at one target and report the outcome.
  Wait, ///< Its canary is in flight, or too many others are; ask again later.
  KnownGood,  ///< Run it at all targets that it needs.
  Quarantined ///< Refuse it; earlier attempts ran and crashed targets.
};

/** Reply of a fingerprint's owner VM to ask(). */
struct CanaryAnswer {
  CanaryVerdict m_Verdict = CanaryVerdict::Wait;
  /** Identifies the canary in its report; set with Proceed, never 0. */
  std::uint64_t m_Canary = 0;
  /** With Wait: the time until the canary counts as lost if it isn't reported
   *  before; with Quarantined: the time until the quarantine ends. */
  Duration m_Remaining{};
};

/** Outcome of a run, as far as its fingerprint is concerned. */
enum class CanaryOutcome {
  Ok,      ///< The target answered.
  Crashed, ///< The connection was lost, and the target then refused connections
           ///< or had another boot id.
  Inconclusive ///< The outcome is unknown, or the request was never sent.
};

/** Notice to peers of how often a fingerprint has crashed targets. */
struct CrashNotice {
  Fingerprint m_Fingerprint;
  std::uint32_t m_Crashes = 0;
  Duration m_Remaining{}; ///< Validity, counted from when the notice is sent.
};

/** The VM that owns \p Request, or nullptr if \p Members is empty. */
const VmName *canaryOwner(std::span<const VmName> Members, Fingerprint Request);

/** The fingerprint tables of one VM. Not thread-safe. */
class CanaryRegistry {
public:
  explicit CanaryRegistry(CanaryRegistryOptions Options) : m_Options(Options) {}

  /** At the owner VM: decides whether \p Request may run. */
  CanaryAnswer ask(Fingerprint Request, TimePoint Now);

  /** At the owner VM: records how a run of \p Request ended. \p Canary is the
   *  number from the reply to ask(), or 0 for a request that ran as known good.
   *  Each canary is counted once, and so are crashes of calls without a canary
   *  that come close together. Returns a notice to send to all peers if a crash
   *  was counted. */
  std::optional<CrashNotice> report(Fingerprint Request, std::uint64_t Canary,
                                    CanaryOutcome Outcome, TimePoint Now);

  /** At any VM: applies a notice received from a peer. */
  void onCrashNotice(const CrashNotice &Notice, TimePoint Now);

  /** At any VM: the remaining quarantine of \p Request according to this VM;
   *  nothing if it is not quarantined. */
  std::optional<Duration> quarantineRemaining(Fingerprint Request,
                                              TimePoint Now) const;

  std::size_t knownGood() const { return m_KnownGoodByUse.size(); }
  std::size_t suspects() const { return m_Suspects.size(); }
  std::size_t inFlight() const { return m_InFlight.size(); }

private:
  struct Suspect {
    std::uint32_t m_Crashes = 0;
    TimePoint m_Until; ///< End of the quarantine, if there are enough crashes.
    TimePoint m_LastCrashAt; ///< Last crash counted here.
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
  bool hasRecentCrash(Fingerprint Request, TimePoint Now) const;
  CrashNotice countCrash(Fingerprint Request, TimePoint Now);
  Suspect &findOrAddSuspect(Fingerprint Request, TimePoint Now);

  CanaryRegistryOptions m_Options;
  std::uint64_t m_LastCanary = 0;
  UseOrder m_KnownGoodByUse; ///< Most recently used first.
  std::unordered_map<Fingerprint, UseOrder::iterator> m_KnownGood;
  std::unordered_map<Fingerprint, Suspect> m_Suspects;
  /** Canaries without a report, the most recent last. */
  std::unordered_map<Fingerprint, std::vector<Canary>> m_InFlight;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_CANARYREGISTRY_H
