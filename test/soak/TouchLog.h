#ifndef FIGTURN_SOAK_TOUCHLOG_H
#define FIGTURN_SOAK_TOUCHLOG_H

/**
 * When each VM, and the store, were disrupted. Rules with a time bound hold for
 * a VM only after it and the store have been undisturbed for a while.
 */

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace figturn::soak {

using SteadyTime = std::chrono::steady_clock::time_point;

/** Thread-safe. */
class TouchLog {
public:
  /** A disruption of \p Vm begins; the empty name stands for the store. */
  void begin(const std::string &Vm, SteadyTime Now);
  void end(const std::string &Vm, SteadyTime Now);

  /** Whether \p Vm and the store were undisturbed from \p Since, less the
   *  stability window, until \p Until. */
  bool isInTouch(const std::string &Vm, SteadyTime Since,
                 SteadyTime Until) const;
  bool isStoreStable(SteadyTime At) const { return isInTouch("", At, At); }
  /** Whether \p Vm itself was undisturbed between two times. */
  bool isUndisturbed(const std::string &Vm, SteadyTime Since,
                     SteadyTime Until) const;

private:
  struct Disruption {
    SteadyTime m_Begin;
    SteadyTime m_End = SteadyTime::max();
  };
  bool isQuiet(const std::string &Name, SteadyTime Since,
               SteadyTime Until) const;

  mutable std::mutex m_Mutex;
  std::map<std::string, std::vector<Disruption>> m_Disruptions;
};

} // namespace figturn::soak

#endif // FIGTURN_SOAK_TOUCHLOG_H
