#include "transport/CallerConnections.h"

#include "state/Event.h"

#include <utility>

namespace figturn {

auto CallerConnections::makeRoom(const std::string &Client,
                                 std::size_t Acceptor, TimePoint Now) -> Room {
  const auto Admission = m_Budget.admit(Client, Acceptor, Now);
  if (Admission.m_HasRoom)
    return Room::Available;
  for (const ConnectionId Id : Admission.m_Candidates)
    switch (evict(Id, EvictionKind::Connection)) {
    case EvictionResult::Done:
      return Room::Available;
    case EvictionResult::Later:
      m_Budget.setEvictionPending(Id);
      return Admission.m_IsWithinTolerance ? Room::Available : Room::NotYet;
    case EvictionResult::InUse:
      break;
    }
  return Admission.m_Candidates.empty() ? Room::None : Room::NotYet;
}

void CallerConnections::setEvictor(ConnectionId Id, Evictor Evict) {
  const std::lock_guard Lock(m_Mutex);
  m_Evictors.emplace(Id, std::move(Evict));
}

void CallerConnections::close(ConnectionId Id) {
  m_Budget.close(Id);
  const std::lock_guard Lock(m_Mutex);
  m_Evictors.erase(Id);
}

bool CallerConnections::update(ConnectionId Id, ConnectionUse Use,
                               bool HasProgressed, TimePoint Now) {
  return apply(m_Budget.update(Id, Use, HasProgressed, Now));
}

bool CallerConnections::apply(const ConnectionBudget::Verdict &Verdict) {
  if (Verdict.m_IsNewlyFull)
    logEvent(Event::CallerMemoryFull, "held={}", m_Budget.heldBytes());
  for (const ConnectionId Id : Verdict.m_Evicted)
    evict(Id, EvictionKind::Memory);
  return Verdict.m_IsAccepted;
}

EvictionResult CallerConnections::evict(ConnectionId Id, EvictionKind Kind) {
  Evictor Evict;
  {
    const std::lock_guard Lock(m_Mutex);
    const auto Found = m_Evictors.find(Id);
    if (Found == m_Evictors.end())
      return EvictionResult::InUse;
    Evict = Found->second;
  }
  return Evict(Kind);
}

RequestCharge::~RequestCharge() {
  m_Connections->m_Budget.releaseRequest(m_Client, m_Bytes);
}

bool RequestCharge::add(std::size_t Bytes, TimePoint Now) {
  const bool IsAccepted =
      m_Connections->apply(m_Connections->m_Budget.chargeRequest(
          m_Client, m_Thread, m_Bytes, Bytes, Now));
  if (IsAccepted)
    m_Bytes += Bytes;
  return IsAccepted;
}

} // namespace figturn
