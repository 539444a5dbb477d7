#ifndef FIGTURN_TEST_SUPPORT_LEARNINGLOG_H
#define FIGTURN_TEST_SUPPORT_LEARNINGLOG_H

/**
 * The times from the store's acknowledgement of a change until each VM has
 * applied it, from what the store's stand-in acknowledged and the VMs'
 * state-version-applied lines, by part, way and role.
 */

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace figturn::test {

/** A change that the store has acknowledged. */
struct AckedChange {
  std::string m_Part;           ///< "config", "targets" or "evacuations".
  std::uint64_t m_Era = 0;      ///< Of the store; 0 if lines don't name it.
  std::uint64_t m_Revision = 0; ///< Not needed if m_ConfigVersion is set.
  std::uint64_t m_ConfigVersion = 0;
  /** Unix time, taken before the store tells its watchers. */
  std::int64_t m_AckMs = 0;
};

/** How VMs learned changes. */
struct LearningGroup {
  std::string m_Part;
  std::string m_Way;
  std::string m_Role;
  /** Whether the VM was in touch from the ack until it applied the change. */
  bool m_IsInTouch = true;

  auto operator<=>(const LearningGroup &) const = default; // NOLINT
};

/** The times of one group. */
struct LearningSummary {
  std::size_t m_Count = 0;
  std::size_t m_LateCount = 0;    ///< Of more than LearningLog::BoundMs.
  std::int64_t m_WorstMs = -1;    ///< From the ack until applied.
  std::string m_WorstVm;          ///< Of the worst time.
  AckedChange m_WorstChange;      ///< Of the worst time.
  std::int64_t m_RoleMs = 0;      ///< Since the role's change, at that time.
  std::int64_t m_UnprovenMs = -1; ///< By the VM; -1 if unknown to it.
};

class LearningLog {
public:
  /** The bound of configurations and of draining targets. */
  static constexpr std::int64_t BoundMs = 3000;
  /** Whether a VM was in touch between two Unix times in ms. */
  using TouchTest = std::function<bool(
      const std::string &Vm, std::int64_t SinceMs, std::int64_t UntilMs)>;

  /** Without \p IsInTouch, VMs always are. */
  explicit LearningLog(TouchTest IsInTouch = {})
      : m_IsInTouch(std::move(IsInTouch)) {}

  /** Called in the order of the acknowledgements. */
  void onAck(AckedChange Change);
  /** A line of the output of \p Vm; lines of other events are ignored. */
  void addLine(const std::string &Vm, std::string_view Line);

  /** A change that a VM's first version (after its start) holds already isn't
   *  counted for that VM. */
  std::map<LearningGroup, LearningSummary> summaries() const;
  /** Number of pairs of a VM and a change that it never applied though it was
   * in touch for BoundMs from the ack on. */
  std::size_t unlearnedCount() const;
  /** One line for each group, the worst one first. */
  std::string report() const;

private:
  struct Applied {
    std::uint64_t m_Era = 0;
    std::uint64_t m_Revision = 0;
    std::uint64_t m_ConfigVersion = 0;
    std::int64_t m_UnixMs = 0;
    std::int64_t m_UnprovenMs = -1;
    std::int64_t m_RoleMs = 0;
    std::string m_Way;
    std::string m_Role;

    bool includes(const AckedChange &Change) const;
    bool isFirst() const { return m_UnprovenMs < 0; }
  };
  struct Learned {
    std::size_t m_UnlearnedCount = 0;
    std::map<LearningGroup, LearningSummary> m_Summaries;
  };

  Learned evaluate() const;
  bool isInTouch(const std::string &Vm, std::int64_t SinceMs,
                 std::int64_t UntilMs) const;

  TouchTest m_IsInTouch;

  std::vector<AckedChange> m_Changes;
  /** By VM and part, in the order of the lines. */
  std::map<std::pair<std::string, std::string>, std::vector<Applied>> m_Applied;
};

} // namespace figturn::test

#endif // FIGTURN_TEST_SUPPORT_LEARNINGLOG_H
