#include "support/TargetPoolFixture.h"

#include <boost/test/unit_test.hpp>

#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QNetworkRequest>

using namespace figturn;
using namespace figturn::test;

namespace {

struct ResendFixture : TargetPoolFixture {
  /** Closes each connection on its first request, without a reply, until
   *  \p IsDone returns true; returns the number of requests of \p Path. */
  template <typename Predicate>
  std::size_t closeEachRequest(const std::string &Path, Predicate IsDone) {
    std::size_t Count = 0;
    processEventsUntil([&] {
      while (!m_Target.m_Requests.empty()) {
        const auto Request = m_Target.nextRequest();
        Count += Request.m_Path == Path ? 1 : 0;
        Request.m_Connection->close();
      }
      return IsDone();
    });
    return Count;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TargetPoolResendTest, ResendFixture)

BOOST_AUTO_TEST_CASE(Pool_onCloseByTheTarget_sendsTheCallOnce) {
  start();
  auto Single = call(1);
  Single.m_Path = "/v1/run";
  send(Single);
  BOOST_TEST(closeEachRequest("/v1/run", [&] { return hasResult(1); }) == 1);
}

// Shows why the pool doesn't use Qt's access manager: it resends a POST request
// when the connection closes. If this fails, Qt has changed and the
// documentation must be updated.
BOOST_AUTO_TEST_CASE(AccessManager_onCloseByTheTarget_sendsThePostTwice) {
  QNetworkAccessManager Manager;
  QNetworkRequest Request(
      QUrl(QString("http://127.0.0.1:%1/v1/run").arg(m_Target.port())));
  Request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
  const std::unique_ptr<QNetworkReply> Reply(Manager.post(Request, "{}"));
  BOOST_TEST(closeEachRequest("/v1/run", [&] { return Reply->isFinished(); }) ==
             2);
}

BOOST_AUTO_TEST_SUITE_END()
