#ifndef FIGTURN_TEST_SUPPORT_CONFIGCHECKS_H
#define FIGTURN_TEST_SUPPORT_CONFIGCHECKS_H

/**
 * Judges, from what an operator, callers and targets observed, whether VMs put
 * each configuration into force in time, stay on it, and keep its time-outs
 * and shares. Times are arguments; events may be reported in any order, since
 * the complete history is judged.
 */

#include <QJsonObject>

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace figturn::test {

/** One route of a configuration, as far as the checks use it. */
struct CheckedRoute {
  struct Part {
    std::string m_Service;
    double m_Weight = 1;

    bool operator==(const Part &) const = default;
  };

  std::string m_Prefix;
  /** Its only service, the parts of its split, or the shards of its search. */
  std::vector<Part> m_Parts;
  std::chrono::milliseconds m_Timeout{0}; ///< 0: not checked.
  bool m_IsSplit = false;  ///< Each request goes to one part, by weight.
  bool m_HasHomes = false; ///< Its shares aren't checked.
};

/** The routes of a configuration as the operator writes it; none if they can't
 *  be read. */
std::vector<CheckedRoute> checkedRoutes(const QJsonObject &Config);

enum class ConfigFault {
  OutdatedVersion,  ///< Handled as only an older version than the due one.
  ForbiddenVersion, ///< Handled as by a document that must never take effect.
  Regression,       ///< Handled as by an older version than in force before.
  UnservedRoutes,   ///< Routes that were added later are hardly served.
  MostlyUnanswered, ///< Over half of the overlong requests stay unanswered.
  OftenUnanswered,  ///< Eight or more, and over a quarter, stay unanswered.
  SplitShare        ///< A part's share is far from its weight's.
};

struct ConfigViolation {
  std::string m_Rule;
  ConfigFault m_Fault;
  std::string m_Message;
};

/** The last request that a VM handled as only versions older than one that was
 *  acknowledged. */
struct LastOldAct {
  std::string m_Vm;
  int m_Version = 0; ///< The acknowledged version.
  std::string m_RequestId;
  std::chrono::milliseconds m_Lateness{0}; ///< From the ack to its sending.
  bool m_WasInTouch = false;
};

/** Thread-safe. Calls the predicates of its options while it holds its lock. */
class ConfigChecks {
public:
  using Time = std::chrono::steady_clock::time_point;
  using Milliseconds = std::chrono::milliseconds;
  /** What is true of a VM throughout a time. */
  using Predicate =
      std::function<bool(const std::string &Vm, Time Since, Time Until)>;

  struct Options {
    Predicate m_IsInTouch;
    /** Undisturbed but for a store that is neither down nor slow and loses no
     *  replies; the bound is then longer. Empty: never. */
    Predicate m_IsInOuterTouch;
    Predicate m_IsSlowed; ///< Empty: never.
    /** Beside what the configurations say, neither targets nor callers are
     *  disrupted. Empty: always. */
    Predicate m_IsSteady;
    Milliseconds m_ConfigurationTime{3000};
    Milliseconds m_OuterTime{12000}; ///< Added in outer touch.
    Milliseconds m_RollbackSlack{250};
  };

  explicit ConfigChecks(Options Options) : m_Options(std::move(Options)) {}

  /** The operator sends version \p Number. Sent again, the first time
   *  counts. */
  void onPublished(int Number, std::vector<CheckedRoute> Routes, Time SentAt);
  /** The operator has received the store's acknowledgement; the first counts,
   *  also if the store forgets the version later. */
  void onAcknowledged(int Number, Time AckAt);
  /** Another writer sends a document with an invalid or equal version. */
  void onForeignPublished(int Number, std::vector<CheckedRoute> Routes,
                          Time SentAt);

  void onSent(const std::string &Vm, const std::string &RequestId,
              const std::string &Path, Time SentAt);
  /** A target of \p Service received the request. */
  void onArrival(const std::string &RequestId, const std::string &Service,
                 Time At);
  /** The complete answer arrived. A 404 counts as the VM's own. */
  void onAnswered(const std::string &RequestId, unsigned Status, Time At);
  /** The VM closed the connection without a complete answer. */
  void onClosed(const std::string &RequestId, Time At);
  /** The caller gave up. */
  void onAbandoned(const std::string &RequestId, Time At);
  /** A process of \p Vm is about to start. */
  void onVmStarted(const std::string &Vm, Time At);

  std::vector<ConfigViolation> violations(Time Now) const;
  /** One for each VM, version and whether it was in touch. */
  std::vector<LastOldAct> lastOldActs() const;
  /** The worst of the last old acts by VM, and the worst beside its bound. */
  std::string summary() const;

private:
  struct Version {
    int m_Number = 0;
    std::vector<CheckedRoute> m_Routes;
    Time m_SentAt;
    std::optional<Time> m_AckAt;
  };
  /** A target's receipt of a request, or its refusal as unknown. */
  struct Handling {
    std::string m_Service; ///< Empty: refused with 404.
    Time m_At;
  };
  enum class Ending { None, Answered, Closed, Abandoned };
  struct Request {
    std::string m_Id;
    std::string m_Vm;
    std::string m_Path;
    Time m_SentAt;
    std::vector<Handling> m_Handlings;
    Ending m_Ending = Ending::None;
    unsigned m_Status = 0;
    Time m_EndedAt = Time::max();

    bool wasServed() const { return m_Status >= 200 && m_Status < 300; }
  };
  struct Effect {
    Time m_SeenAt;
    int m_Version = 0;
  };
  /** By VM and count of its starts: the newest version whose effect was seen
   *  until each time. */
  using EffectLog =
      std::map<std::pair<std::string, std::size_t>, std::vector<Effect>>;
  using Violations = std::vector<ConfigViolation>;

  void end(const std::string &RequestId, Ending How, unsigned Status, Time At);

  static const CheckedRoute *findRoute(const Version &Searched,
                                       std::string_view Path);
  static bool allows(const Version &Candidate, const Request &Handled,
                     const Handling &How);
  static std::string describe(const Request &Handled, const Handling &How);
  static bool holds(const Predicate &Optional, bool Default,
                    const Request &Handled, Time Until);
  const Version *oldestAllowing(const Request &Handled,
                                const Handling &How) const;
  const Version *newestAllowing(const Request &Handled,
                                const Handling &How) const;
  /** The newest version that was acknowledged more than \p Bound before. */
  const Version *dueVersion(Time SentAt, Milliseconds Bound) const;
  /** The only version that may be in force during the request, in steady
   *  state; else null. */
  const Version *steadyVersion(const Request &Handled) const;
  std::size_t startsUntil(const std::string &Vm, Time At) const;
  EffectLog effects() const;

  void checkHandlings(Violations &Found) const;
  void checkOutdated(const Request &Handled, const Handling &How,
                     Violations &Found) const;
  void checkForeign(const Request &Handled, const Handling &How,
                    Violations &Found) const;
  void checkRegression(const Request &Handled, const Handling &How,
                       const EffectLog &Seen, Violations &Found) const;
  void checkAddedRoutes(Violations &Found) const;
  void checkTimeouts(Time Now, Violations &Found) const;
  void checkShares(Violations &Found) const;
  static void checkShares(const CheckedRoute &Route,
                          const std::vector<const Request *> &Requests,
                          Violations &Found);
  std::vector<LastOldAct> collectLastOldActs() const;

  const Options m_Options;
  mutable std::mutex m_Mutex; ///< Guards the members below.
  std::map<int, Version> m_Versions;
  std::vector<Version> m_Foreign;
  std::map<std::string, Request> m_Requests;
  std::map<std::string, std::vector<Time>> m_Starts;
};

} // namespace figturn::test

#endif // FIGTURN_TEST_SUPPORT_CONFIGCHECKS_H
