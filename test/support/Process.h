#ifndef FIGTURN_TEST_SUPPORT_PROCESS_H
#define FIGTURN_TEST_SUPPORT_PROCESS_H

/**
 * A child process of a test, demo or bench: its output can be waited for line
 * by line, it can be stopped and continued, and it never outlives its owner.
 */

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace figturn::test {

/** The child; killed by the destructor and with the parent. */
class Process {
public:
  /** Starts \p Command, program first. */
  explicit Process(const std::vector<std::string> &Command);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  pid_t id() const { return m_Id; }

  /** Waits for a line of output that holds \p Text and \p Further, from line
   *  \p From on; none if the process ends, or the watchdog bites, first. */
  std::optional<std::string> waitForLine(const std::string &Text,
                                         const std::string &Further = "",
                                         std::size_t From = 0);
  /** Lines of output so far. */
  std::vector<std::string> lines() const;

  /** Sends \p Signal, for example SIGTERM, SIGSTOP or SIGCONT. */
  void signal(int Signal) const;
  /** Waits until the program holds SIGTERM, as it does from the first line of
   *  its main() on; before, the loader runs and a signal ends the process. */
  void waitUntilSigtermBlocked() const;
  /** Waits for the end; the exit status, or minus the signal that ended it;
   *  none if the watchdog bites first. */
  std::optional<int> waitForExit();

private:
  void readOutput(int Descriptor);

  pid_t m_Id = -1;
  std::thread m_Reader;
  mutable std::mutex m_Mutex;
  std::condition_variable m_OutputChanged;
  std::vector<std::string> m_Lines;
  bool m_HasOutputEnded = false; ///< Its output ended.
  std::optional<int> m_Status;
};

} // namespace figturn::test

#endif // FIGTURN_TEST_SUPPORT_PROCESS_H
