#include "transport/TargetPool.h"

#include "transport/TargetPoolImpl.h"

#include <utility>

namespace figturn {

TargetPool::TargetPool(TargetPoolOptions Options,
                       ObservationHandler OnObservation)
    : m_Impl(std::make_unique<Impl>(std::move(Options),
                                    std::move(OnObservation))) {}

TargetPool::~TargetPool() {
  m_Impl->shutDown();
  m_Impl.release()->deleteLater();
}

void TargetPool::send(TargetCall Call, ResultHandler OnResult) {
  m_Impl->send(std::move(Call), std::move(OnResult));
}

void TargetPool::cancel(CallId Call) { m_Impl->cancel(Call); }

bool TargetPool::withdraw(CallId Call) { return m_Impl->withdraw(Call); }

void TargetPool::setMaxConnections(std::size_t Limit) {
  m_Impl->setMaxConnections(Limit);
}

void TargetPool::failUnsentCalls() {
  m_Impl->failWaitingCalls(Errc::TargetShed);
}

std::size_t TargetPool::limitWrites(TimePoint Until) {
  return m_Impl->limitWrites(Until);
}

void TargetPool::warmUp(std::size_t Count) { m_Impl->warmUp(Count); }

std::size_t TargetPool::connections() const {
  return m_Impl->m_Connections.size();
}

std::size_t TargetPool::callsInFlight() const { return m_Impl->m_Calls.size(); }

const TargetPoolCounters &TargetPool::counters() const {
  return m_Impl->m_Counters;
}

} // namespace figturn
