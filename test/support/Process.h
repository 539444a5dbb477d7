#ifndef FIGTURN_TEST_SUPPORT_PROCESS_H
#define FIGTURN_TEST_SUPPORT_PROCESS_H

/**
 * A child process of a test, demo or benchmark. Callers can wait for lines of
 * its output and send it signals. It never outlives its parent.
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

/** The child process; killed by the destructor and when the thread that created
 *  it ends. Waits time out after 30 s. */
class Process {
public:
  /** Starts \p Command, whose first element is the path of the program. */
  explicit Process(const std::vector<std::string> &Command);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  pid_t id() const { return m_Id; }
  /** The largest resident memory of the running process so far; 0 if the
   *  system doesn't tell. */
  std::size_t peakMemoryBytes() const;
  /** The number of open file descriptors; 0 if the process has ended. */
  std::size_t openDescriptors() const;

  /** Waits for an output line that contains \p Text and \p SecondText,
   *  starting at line \p FirstLine. Returns none if the output ends or the
   *  timeout expires first. */
  std::optional<std::string> waitForLine(const std::string &Text,
                                         const std::string &SecondText = "",
                                         std::size_t FirstLine = 0);
  /** Lines of standard output and error so far. */
  std::vector<std::string> lines() const;

  /** Sends \p Signal, such as SIGTERM, SIGSTOP or SIGCONT. */
  void signal(int Signal) const;
  /** Waits until the program blocks SIGTERM, which it does at the start of
   *  main(), or until a timeout; a SIGTERM during loading would kill it. */
  void waitUntilSigtermBlocked() const;
  /** Waits until the process exits. Returns its exit status, or the negated
   *  signal number if a signal killed it; none after a timeout. */
  std::optional<int> waitForExit();

private:
  void readOutput(int Descriptor);

  pid_t m_Id = -1;
  std::thread m_Reader;
  mutable std::mutex m_Mutex;
  std::condition_variable m_OutputChanged;
  std::vector<std::string> m_Lines;
  bool m_HasOutputEnded = false; ///< The output pipe reached end of file.
  std::optional<int> m_Status;
};

} // namespace figturn::test

#endif // FIGTURN_TEST_SUPPORT_PROCESS_H
