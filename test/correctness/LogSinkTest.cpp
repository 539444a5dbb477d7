/** Log output neither blocks the process nor grows its memory without bound. */

#include "state/LogSink.h"
#include "support/RoutedTargets.h"

#include <boost/test/unit_test.hpp>
#include <unistd.h>

using namespace figturn;
using namespace figturn::test;

namespace {

struct Fixture {
  Fixture() {
    BOOST_REQUIRE(::pipe(m_Pipe) == 0);
    m_Sink.configure({.m_Descriptor = m_Pipe[1],
                      .m_IsBuffered = true,
                      .m_MaxBufferBytes = 20000,
                      .m_MaxLinesPerSecond = 10});
  }
  ~Fixture() {
    ::close(m_Pipe[0]);
    ::close(m_Pipe[1]);
  }
  std::string read() {
    std::string Text(1 << 20, '\0');
    const auto Size = ::read(m_Pipe[0], Text.data(), Text.size());
    Text.resize(static_cast<std::size_t>(std::max<ssize_t>(Size, 0)));
    return Text;
  }

  int m_Pipe[2] = {-1, -1};
  LogSink m_Sink{LogSinkOptions{}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LogSinkTest, Fixture)

BOOST_AUTO_TEST_CASE(Lines_whenFlushed_areWrittenInOrder) {
  m_Sink.write("a\n");
  m_Sink.write("b\n");
  m_Sink.flush();
  BOOST_TEST(read() == "a\nb\n");
}

BOOST_AUTO_TEST_CASE(
    StalledReader_withManyLines_neitherBlocksNorGrowsTheProcess) {
  const std::string Line = std::string(99, 'x') + "\n";
  for (int I = 0; I < 5000; ++I) // 500 kB; the pipe holds 64 kB.
    m_Sink.write(Line);
  const LogDropCounts Drops = m_Sink.dropCounts();
  BOOST_TEST(Drops.m_Dropped >= 4000U);
  BOOST_TEST(Drops.m_Dropped < 5000U);
  // Only complete lines were kept.
  std::string All;
  for (int I = 0; I < 40; ++I) {
    All += read();
    m_Sink.flush();
    if (All.size() >= (5000 - Drops.m_Dropped) * 100)
      break;
  }
  BOOST_TEST(All.size() == (5000 - Drops.m_Dropped) * 100);
}

BOOST_AUTO_TEST_CASE(Event_aboveItsRateLimit_isSuppressedAndCounted) {
  int Admitted = 0;
  for (int I = 0; I < 25; ++I)
    Admitted += m_Sink.admit(711, Start) ? 1 : 0;
  BOOST_TEST(Admitted == 10);
  BOOST_TEST(m_Sink.admit(712, Start));
  BOOST_TEST(m_Sink.admit(711, Start + seconds(1)));
  BOOST_TEST(m_Sink.takeSuppressedCount(711) == 15U);
  BOOST_TEST(m_Sink.takeSuppressedCount(711) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
