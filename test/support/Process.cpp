#include "support/Process.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace figturn::test {

namespace {

constexpr std::chrono::seconds WaitTimeout{30};
constexpr int ExecFailedStatus = 127;

/** Runs in the child between fork and exec; calls only async-signal-safe
 *  functions. */
[[noreturn]] void execChild(char *const *Arguments, int Output, pid_t Parent) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != Parent)
    ::_exit(ExecFailedStatus);
  ::dup2(Output, STDOUT_FILENO);
  ::dup2(Output, STDERR_FILENO);
  ::execv(Arguments[0], Arguments);
  ::_exit(ExecFailedStatus);
}

std::vector<char *> toArguments(const std::vector<std::string> &Command) {
  std::vector<char *> Arguments;
  Arguments.reserve(Command.size() + 1);
  for (const std::string &Word : Command)
    Arguments.push_back(const_cast<char *>(Word.c_str()));
  Arguments.push_back(nullptr);
  return Arguments;
}

int decodeStatus(int Status) {
  return WIFEXITED(Status) ? WEXITSTATUS(Status) : -WTERMSIG(Status);
}

} // namespace

Process::Process(const std::vector<std::string> &Command) {
  std::array<int, 2> Pipe{};
  if (::pipe2(Pipe.data(), O_CLOEXEC) != 0)
    throw std::runtime_error("can't create a pipe for a child process");
  const std::vector<char *> Arguments = toArguments(Command);
  const pid_t Parent = ::getpid();
  m_Id = ::fork();
  if (m_Id == 0)
    execChild(Arguments.data(), Pipe[1], Parent);
  ::close(Pipe[1]);
  if (m_Id < 0) {
    ::close(Pipe[0]);
    throw std::runtime_error("can't fork a child process");
  }
  m_Reader = std::thread([this, Output = Pipe[0]] { readOutput(Output); });
}

Process::~Process() {
  if (!m_Status) {
    ::kill(m_Id, SIGKILL);
    ::waitpid(m_Id, nullptr, 0);
  }
  m_Reader.join();
}

void Process::readOutput(int Descriptor) {
  std::string Partial;
  std::array<char, 65536> Buffer{};
  while (true) {
    const ssize_t BytesRead = ::read(Descriptor, Buffer.data(), Buffer.size());
    if (BytesRead <= 0)
      break;
    Partial.append(Buffer.data(), static_cast<std::size_t>(BytesRead));
    const std::scoped_lock Lock(m_Mutex);
    std::size_t Start = 0;
    for (std::size_t End = Partial.find('\n'); End != std::string::npos;
         End = Partial.find('\n', Start)) {
      m_Lines.push_back(Partial.substr(Start, End - Start));
      Start = End + 1;
    }
    Partial.erase(0, Start);
    m_OutputChanged.notify_all();
  }
  ::close(Descriptor);
  const std::scoped_lock Lock(m_Mutex);
  m_HasOutputEnded = true;
  m_OutputChanged.notify_all();
}

std::optional<std::string> Process::waitForLine(const std::string &Text,
                                                const std::string &SecondText,
                                                std::size_t FirstLine) {
  std::unique_lock Lock(m_Mutex);
  std::optional<std::string> Found;
  const auto Search = [&] {
    for (; FirstLine < m_Lines.size() && !Found; ++FirstLine)
      if (m_Lines[FirstLine].find(Text) != std::string::npos &&
          m_Lines[FirstLine].find(SecondText) != std::string::npos)
        Found = m_Lines[FirstLine];
    return Found || m_HasOutputEnded;
  };
  m_OutputChanged.wait_for(Lock, WaitTimeout, Search);
  return Found;
}

std::vector<std::string> Process::lines() const {
  const std::scoped_lock Lock(m_Mutex);
  return m_Lines;
}

void Process::signal(int Signal) const {
  if (!m_Status)
    ::kill(m_Id, Signal);
}

std::size_t Process::peakMemoryBytes() const {
  constexpr std::string_view Field = "VmHWM:"; // In kB.
  std::ifstream File("/proc/" + std::to_string(m_Id) + "/status");
  for (std::string Line; std::getline(File, Line);)
    if (Line.rfind(Field, 0) == 0)
      return std::stoul(Line.substr(Field.size())) * 1024;
  return 0;
}

std::size_t Process::openDescriptors() const {
  std::error_code Error;
  const std::filesystem::directory_iterator Entries(
      "/proc/" + std::to_string(m_Id) + "/fd", Error);
  return Error ? 0
               : static_cast<std::size_t>(std::distance(
                     begin(Entries), std::filesystem::end(Entries)));
}

void Process::waitUntilSigtermBlocked() const {
  constexpr std::string_view Field = "SigBlk:";
  constexpr unsigned long long TermBit = 1ULL << (SIGTERM - 1);
  const auto Deadline = std::chrono::steady_clock::now() + WaitTimeout;
  while (std::chrono::steady_clock::now() < Deadline) {
    std::ifstream Status("/proc/" + std::to_string(m_Id) + "/status");
    for (std::string Line; std::getline(Status, Line);)
      if (Line.starts_with(Field) &&
          (std::stoull(Line.substr(Field.size()), nullptr, 16) & TermBit) != 0)
        return;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
}

std::optional<int> Process::waitForExit() {
  if (m_Status)
    return m_Status;
  {
    std::unique_lock Lock(m_Mutex);
    if (!m_OutputChanged.wait_for(Lock, WaitTimeout,
                                  [&] { return m_HasOutputEnded; }))
      return std::nullopt;
  }
  int Status = 0;
  ::waitpid(m_Id, &Status, 0);
  m_Status = decodeStatus(Status);
  return m_Status;
}

} // namespace figturn::test
