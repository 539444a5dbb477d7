// Service to callers during the planned stop of an entry VM.

#include "support/Cluster.h"
#include "support/FleetLoad.h"

#include <QJsonArray>
#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace figturn;
using namespace figturn::test;

BOOST_AUTO_TEST_SUITE(PlannedStopTest)

BOOST_AUTO_TEST_CASE(PlannedStop_underLoad_losesNoRequest) {
  Cluster Fleet(ClusterOptions{});
  std::atomic<int> Unanswered{0};
  std::atomic<int> Partial{0};
  std::atomic<int> Answers{0};
  // Callers that use only advertised addresses: each request is preceded by a
  // discovery request for the entry VMs.
  FleetLoad Load(4, [&](std::size_t I) {
    const QJsonArray Entries =
        Fleet.vmClient(1 + I % 2).getJson("/v1/entries")["entries"].toArray();
    if (Entries.isEmpty())
      return;
    const QJsonObject Entry =
        Entries[static_cast<qsizetype>(I) % Entries.size()].toObject();
    const auto Port = Entry["address"].toString().section(':', 1).toUShort();
    const QJsonObject Answer =
        TestHttpClient(Port).postJson(SearchPath, searchBody("gold"));
    ++Answers;
    Unanswered += Answer.isEmpty() ? 1 : 0;
    Partial += coversAllShards(Answer) ? 0 : 1;
  });
  while (Answers < 20)
    std::this_thread::yield();
  Fleet.vmProcess(0).signal(SIGTERM);
  BOOST_TEST((Fleet.vmProcess(0).waitForExit() == std::optional(0)));
  const int AnswersBefore = Answers;
  while (Answers < AnswersBefore + 20)
    std::this_thread::yield();
  Load.stop();
  BOOST_TEST(Unanswered == 0);
  BOOST_TEST(Partial == 0);
}

BOOST_AUTO_TEST_SUITE_END()
