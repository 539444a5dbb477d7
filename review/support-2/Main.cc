#include "Cases.hh"

#include <csignal>
#include <cstdio>
#include <exception>
#include <map>
#include <string>
#include <unistd.h>

using namespace review;

int main(int Count, char **Arguments) {
  const std::map<std::string, Verdict (*)()> Cases{
      {"truncated-answer", runTruncatedAnswer},
      {"stop-during-upload", runStopDuringUpload},
      {"removed-after-restart", runRemovedAfterRestart},
      {"leaving-together", runLeavingTogether},
      {"old-body-limit", runOldBodyLimit},
  };
  if (Count != 3 || !Cases.count(Arguments[1])) {
    std::fprintf(stderr, "usage: review-cases CASE RECORD\n");
    return CouldNotRun;
  }
  std::signal(SIGPIPE, SIG_IGN);
  Record::open(Arguments[2]);
  int Code = CouldNotRun;
  try {
    Code = Cases.at(Arguments[1])();
  } catch (const std::exception &Failure) {
    Record::line(std::string("failed: ") + Failure.what());
  }
  Record::line("exit=" + std::to_string(Code));
  // Threads of stand-ins may still wait for input.
  ::_exit(Code);
}
