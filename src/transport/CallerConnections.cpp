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
    switch (requestRelief(Id, Relief::Connection)) {
    case Relieved::Done:
      return Room::Available;
    case Relieved::Later:
      m_Budget.setLeaving(Id);
      return Admission.m_IsWithinTolerance ? Room::Available : Room::NotYet;
    case Relieved::InUse:
      break;
    }
  return Admission.m_Candidates.empty() ? Room::None : Room::NotYet;
}

void CallerConnections::setGiveWay(ConnectionId Id, GiveWay OnGiveWay) {
  const std::lock_guard Lock(m_Mutex);
  m_GiveWay.emplace(Id, std::move(OnGiveWay));
}

void CallerConnections::close(ConnectionId Id) {
  m_Budget.close(Id);
  const std::lock_guard Lock(m_Mutex);
  m_GiveWay.erase(Id);
}

bool CallerConnections::update(ConnectionId Id, ConnectionUse Use,
                               bool HasProgressed, TimePoint Now) {
  return apply(m_Budget.update(Id, Use, HasProgressed, Now));
}

bool CallerConnections::apply(const ConnectionBudget::Verdict &Verdict) {
  if (Verdict.m_IsNewlyFull)
    logEvent(Event::CallerMemoryFull, "held={}", m_Budget.heldBytes());
  for (const ConnectionId Id : Verdict.m_GiveWay)
    requestRelief(Id, Relief::Memory);
  return Verdict.m_IsAccepted;
}

Relieved CallerConnections::requestRelief(ConnectionId Id, Relief Kind) {
  GiveWay OnGiveWay;
  {
    const std::lock_guard Lock(m_Mutex);
    const auto Found = m_GiveWay.find(Id);
    if (Found == m_GiveWay.end())
      return Relieved::InUse;
    OnGiveWay = Found->second;
  }
  return OnGiveWay(Kind);
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
