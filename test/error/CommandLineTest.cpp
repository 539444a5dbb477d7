#include "cli/Commands.h"

#include <absl/flags/reflection.h>
#include <boost/test/unit_test.hpp>

using namespace figturn;

namespace {

struct CommandLineFixture {
  ExitCode run(const std::vector<std::string> &Arguments) {
    return runCommandLine(allSubcommands(), Arguments);
  }

  absl::FlagSaver m_Saver;
};

} // namespace

BOOST_TEST_DONT_PRINT_LOG_VALUE(figturn::ExitCode)

BOOST_FIXTURE_TEST_SUITE(CommandLineTest, CommandLineFixture)

BOOST_AUTO_TEST_CASE(Command_missingOrUnknown_isAUsageError) {
  BOOST_TEST(run({}) == ExitCode::Usage);
  BOOST_TEST(run({"aply", "DIR"}) == ExitCode::Usage);
}

BOOST_AUTO_TEST_CASE(Flag_ofAnotherCommand_isAUsageError) {
  BOOST_TEST(run({"check", "--platform=http://127.0.0.1:1", "DIR"}) ==
             ExitCode::Usage);
}

BOOST_AUTO_TEST_CASE(Flag_withAnInvalidValue_isAUsageError) {
  BOOST_TEST(run({"apply", "DIR", "--platform=ftp://x"}) == ExitCode::Usage);
  BOOST_TEST(run({"apply", "DIR", "--platform=http://127.0.0.1:1",
                  "--wait-ms=soon"}) == ExitCode::Usage);
  BOOST_TEST(run({"apply", "DIR", "--platform=http://127.0.0.1:1",
                  "--resolve"}) == ExitCode::Usage);
  BOOST_TEST(run({"version", "--log-level=loud"}) == ExitCode::Usage);
  BOOST_TEST(run({"status", "--entry=localhost:1"}) == ExitCode::Usage);
}

BOOST_AUTO_TEST_CASE(Arguments_tooFewOrMany_areUsageErrors) {
  BOOST_TEST(run({"apply", "--platform=http://127.0.0.1:1"}) ==
             ExitCode::Usage);
  BOOST_TEST(run({"explain", "F0102", "F0103"}) == ExitCode::Usage);
}

BOOST_AUTO_TEST_CASE(Event_unknown_isAUsageError) {
  BOOST_TEST(run({"explain", "F0102"}) == ExitCode::Ok);
  BOOST_TEST(run({"explain", "F9999"}) == ExitCode::Usage);
  BOOST_TEST(run({"explain", "ready"}) == ExitCode::Usage);
}

BOOST_AUTO_TEST_CASE(Help_ofEachCommand_succeeds) {
  BOOST_TEST(run({"--help"}) == ExitCode::Ok);
  for (const Subcommand &Command : allSubcommands())
    BOOST_TEST(run({std::string(Command.m_Name), "--help"}) == ExitCode::Ok);
}

BOOST_AUTO_TEST_CASE(FolderOrSettings_missing_areInvalid) {
  BOOST_TEST(run({"check", "/nonexistent"}) == ExitCode::InvalidConfiguration);
  BOOST_TEST(run({"serve", "--settings=/nonexistent"}) ==
             ExitCode::InvalidConfiguration);
}

BOOST_AUTO_TEST_SUITE_END()
