#ifndef FIGTURN_TEST_SUPPORT_TARGETPOOLFIXTURE_H
#define FIGTURN_TEST_SUPPORT_TARGETPOOLFIXTURE_H

/** A TargetPool connected to a FakeTarget, with recorded observations. */

#include "support/FakeTarget.h"
#include "transport/TargetPool.h"

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

namespace figturn::test {

class TargetPoolFixture {
public:
  ~TargetPoolFixture() {
    m_Pool.reset();
    QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
  }

  void start(TargetPoolOptions Options = {}) {
    Options.m_Target = TargetName("wd-01");
    Options.m_Host = "127.0.0.1";
    Options.m_Port = m_Target.port();
    m_Pool = std::make_unique<TargetPool>(
        Options, [this](const TargetObservation &Observation) {
          m_Observations.push_back(Observation);
        });
  }

  TargetCall call(std::uint64_t Id,
                  milliseconds Deadline = milliseconds(15000)) {
    return {.m_Call = CallId(Id),
            .m_Path = "/v1/search",
            .m_Body = std::to_string(Id),
            .m_Deadline = Clock::now() + Deadline,
            .m_CancelBody = "cancel " + std::to_string(Id)};
  }

  void send(TargetCall Call) {
    m_Pool->send(std::move(Call), [this](TargetResult Result) {
      m_Results[Result.m_Call.value()].push_back(std::move(Result));
    });
  }

  /** Waits for the result of a call; throws if it has more than one. */
  TargetResult waitForResult(std::uint64_t Id) {
    processEventsUntil([&] { return !m_Results[Id].empty(); });
    if (m_Results[Id].size() != 1)
      throw std::runtime_error("a call has more than one result");
    return m_Results[Id].front();
  }

  bool hasResult(std::uint64_t Id) { return !m_Results[Id].empty(); }

  std::size_t observationCount(TargetObservation::Kind Kind) const {
    return static_cast<std::size_t>(
        std::count_if(m_Observations.begin(), m_Observations.end(),
                      [&](const auto &Each) { return Each.m_Kind == Kind; }));
  }

  /** Opens \p Count connections and waits until all have been established. */
  void warmUp(std::size_t Count) {
    m_Pool->warmUp(Count);
    processEventsUntil([&] {
      return observationCount(TargetObservation::Kind::Connected) == Count;
    });
  }

  FakeTarget m_Target;
  std::unique_ptr<TargetPool> m_Pool;
  std::map<std::uint64_t, std::vector<TargetResult>> m_Results;
  std::vector<TargetObservation> m_Observations;
};

} // namespace figturn::test

#endif // FIGTURN_TEST_SUPPORT_TARGETPOOLFIXTURE_H
