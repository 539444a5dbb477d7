#include "coordination/ConnectionBudget.h"

#include <algorithm>
#include <mutex>
#include <tuple>
#include <utility>

namespace figturn {

namespace {

constexpr std::size_t BytesPerMiB = 1048576;

/** Shares of a process's memory and descriptors that callers may take. */
constexpr std::size_t MemoryDivisor = 5;
constexpr std::size_t DescriptorDivisor = 2;

/** A request up to this size in bytes may use the part of the budget that
 *  larger ones leave, so that a crowd of large requests doesn't keep out
 *  ordinary ones. */
constexpr std::size_t SmallRequest = 65536;

/** Bytes that requests in progress may hold. They can't be evicted. */
constexpr std::size_t requestLimit(std::size_t Max, bool IsSmall) {
  return IsSmall ? Max : Max / 4 * 3;
}

/** Bytes that requests of more than SmallRequest leave to others, even if one
 *  of them exceeds the limit because it is alone. */
constexpr std::size_t reservedBytes(std::size_t Max) {
  return Max - requestLimit(Max, false);
}

/** The bytes of a request that count as those of a small one. */
constexpr std::size_t smallRequestBytes(std::size_t Bytes) {
  return Bytes <= SmallRequest ? Bytes : 0;
}

/** Bytes that one client's requests may hold. */
constexpr std::size_t clientRequestLimit(std::size_t Max, bool IsSmall) {
  return IsSmall ? Max / 4 * 3 : Max / 2;
}

/** Connections that one client may hold. */
constexpr std::size_t clientConnectionLimit(std::size_t Max) {
  return std::max<std::size_t>(Max / 4 * 3, 1);
}

/** Connections while some are about to close. */
constexpr std::size_t tolerated(std::size_t Max) { return Max + Max / 2; }

/** Bytes while other threads are about to release some. */
constexpr std::size_t toleratedBytes(std::size_t Max) { return Max + Max / 4; }

/** Bytes below which the budget counts as having room again. */
constexpr std::size_t lowWaterMark(std::size_t Max) { return Max / 4 * 3; }

/** Connections that hold less are not evicted for their bytes. */
constexpr std::size_t MinEvictedBytes = 4096;

/** Time after which an answer that isn't read may be broken off. */
constexpr seconds StallTime{1};

/** Connections proposed for closing, of those without and of those with an
 *  incomplete message; some may turn out to be in use. */
constexpr std::size_t MaxCandidates = 8;

double toSeconds(Duration Interval) {
  return std::chrono::duration<double>(Interval).count();
}

} // namespace

ConnectionBudgetOptions connectionBudgetOf(std::size_t MemoryMiB,
                                           std::size_t Descriptors) {
  return {.m_MaxBytes = MemoryMiB * BytesPerMiB / MemoryDivisor,
          .m_MaxConnections = Descriptors / DescriptorDivisor};
}

ConnectionBudget::ConnectionBudget(ConnectionBudgetOptions Options)
    : m_Options(Options) {}

auto ConnectionBudget::admit(const std::string &Client, std::size_t Thread,
                             TimePoint Now) const -> Admission {
  const std::lock_guard Lock(m_Mutex);
  const auto Own = m_Shares.find(Client);
  const bool IsClientAtLimit =
      Own != m_Shares.end() &&
      Own->second.m_Connections >=
          clientConnectionLimit(m_Options.m_MaxConnections);
  if (!IsClientAtLimit && m_Connections.size() < m_Options.m_MaxConnections)
    return {};
  Admission Result{.m_HasRoom = false,
                   .m_IsWithinTolerance =
                       m_Connections.size() <
                       tolerated(m_Options.m_MaxConnections)};
  struct Candidate {
    std::size_t m_ClientConnections;
    ConnectionPhase m_Phase;
    TimePoint m_ProgressAt;
    ConnectionId m_Id;
  };
  std::vector<Candidate> Unused;
  std::vector<Candidate> Incomplete;
  const auto IsProgressing = [Now](const Connection &Each) {
    return Each.m_Use.m_Phase == ConnectionPhase::Sending &&
           Now - Each.m_ProgressAt < StallTime;
  };
  for (const auto &[Id, Each] : m_Connections) {
    if (Each.m_IsEvictionPending ||
        Each.m_Use.m_Phase == ConnectionPhase::Pending || IsProgressing(Each) ||
        (IsClientAtLimit && Each.m_Client != Client) ||
        (!Result.m_IsWithinTolerance && Each.m_Thread != Thread))
      continue;
    (Each.m_Use.m_Phase >= ConnectionPhase::Receiving ? Incomplete : Unused)
        .push_back({m_Shares.at(Each.m_Client).m_Connections,
                    Each.m_Use.m_Phase, Each.m_ProgressAt, Id});
  }
  for (std::vector<Candidate> *Each : {&Unused, &Incomplete}) {
    const std::size_t Count = std::min(MaxCandidates, Each->size());
    std::partial_sort(
        Each->begin(), Each->begin() + static_cast<std::ptrdiff_t>(Count),
        Each->end(), [](const Candidate &Left, const Candidate &Right) {
          return std::tie(Right.m_ClientConnections, Left.m_Phase,
                          Left.m_ProgressAt, Left.m_Id) <
                 std::tie(Left.m_ClientConnections, Right.m_Phase,
                          Right.m_ProgressAt, Right.m_Id);
        });
    for (std::size_t I = 0; I < Count; ++I)
      Result.m_Candidates.push_back((*Each)[I].m_Id);
  }
  return Result;
}

void ConnectionBudget::setEvictionPending(ConnectionId Id) {
  const std::lock_guard Lock(m_Mutex);
  const auto Found = m_Connections.find(Id);
  if (Found == m_Connections.end() ||
      std::exchange(Found->second.m_IsEvictionPending, true))
    return;
  m_PendingEvictionBytes += Found->second.m_Use.m_Bytes;
}

auto ConnectionBudget::open(const std::string &Client, std::size_t Thread,
                            TimePoint Now) -> ConnectionId {
  const std::lock_guard Lock(m_Mutex);
  const ConnectionId Id = m_NextId++;
  m_Connections.emplace(
      Id,
      Connection{.m_Client = Client, .m_Thread = Thread, .m_ProgressAt = Now});
  ++m_Shares[Client].m_Connections;
  return Id;
}

void ConnectionBudget::close(ConnectionId Id) {
  const std::lock_guard Lock(m_Mutex);
  const auto Closed = m_Connections.find(Id);
  if (Closed == m_Connections.end())
    return;
  const std::string Client = Closed->second.m_Client;
  removeBytes(Closed->second);
  m_Connections.erase(Closed);
  --m_Shares.at(Client).m_Connections;
  eraseUnusedShare(Client);
}

auto ConnectionBudget::update(ConnectionId Id, ConnectionUse Use,
                              bool HasProgressed, TimePoint Now) -> Verdict {
  const std::lock_guard Lock(m_Mutex);
  Verdict Result;
  const auto Found = m_Connections.find(Id);
  if (Found == m_Connections.end())
    return Result;
  Connection &Updated = Found->second;
  const bool HasGrown = replaceUse(Updated, Use);
  if (HasProgressed)
    Updated.m_ProgressAt = Now;
  if (HasGrown)
    releaseUntilWithinLimit(Result, Updated.m_Thread, Now);
  Result.m_IsAccepted = std::erase(Result.m_Evicted, Id) == 0;
  return Result;
}

void ConnectionBudget::record(ConnectionId Id, ConnectionUse Use) {
  const std::lock_guard Lock(m_Mutex);
  if (const auto Found = m_Connections.find(Id); Found != m_Connections.end())
    replaceUse(Found->second, Use);
}

bool ConnectionBudget::replaceUse(Connection &Updated, ConnectionUse Use) {
  const bool HasGrown = Use.m_Bytes > Updated.m_Use.m_Bytes;
  removeBytes(Updated);
  addBytes(Updated.m_Client, 0, Use.m_Bytes);
  Updated.m_Use = Use;
  return HasGrown;
}

auto ConnectionBudget::chargeRequest(const std::string &Client,
                                     std::size_t Thread, std::size_t HeldBytes,
                                     std::size_t Bytes, TimePoint Now)
    -> Verdict {
  const std::lock_guard Lock(m_Mutex);
  Verdict Result;
  const bool IsSmall = HeldBytes + Bytes <= SmallRequest;
  const std::size_t Max = m_Options.m_MaxBytes;
  const Share &Own = m_Shares[Client];
  // A request that alone exceeds its client's fraction is served if no other
  // request of its size is in progress.
  const bool IsAlone = m_RequestBytes - HeldBytes <= SmallRequest;
  const std::size_t Reserved = reservedBytes(Max);
  const bool FitsReserve =
      IsSmall && m_SmallRequestBytes + Bytes <= Reserved &&
      Own.m_SmallRequestBytes + Bytes <= clientRequestLimit(Reserved, true);
  Result.m_IsAccepted =
      IsAlone || FitsReserve ||
      (m_RequestBytes + Bytes <= requestLimit(Max, IsSmall) &&
       Own.m_RequestBytes + Bytes <= clientRequestLimit(Max, IsSmall));
  if (!Result.m_IsAccepted) {
    Result.m_IsNewlyFull = !std::exchange(m_IsFull, true);
    eraseUnusedShare(Client);
    return Result;
  }
  addBytes(Client, 0, Bytes);
  addRequestBytes(Client, HeldBytes, HeldBytes + Bytes);
  releaseUntilWithinLimit(Result, Thread, Now);
  return Result;
}

void ConnectionBudget::releaseRequest(const std::string &Client,
                                      std::size_t Bytes) {
  const std::lock_guard Lock(m_Mutex);
  addBytes(Client, Bytes, 0);
  addRequestBytes(Client, Bytes, 0);
  eraseUnusedShare(Client);
}

void ConnectionBudget::addRequestBytes(const std::string &Client,
                                       std::size_t Before, std::size_t After) {
  Share &Own = m_Shares[Client];
  Own.m_RequestBytes += After - Before;
  m_RequestBytes += After - Before;
  const std::size_t SmallBefore = smallRequestBytes(Before);
  const std::size_t SmallAfter = smallRequestBytes(After);
  Own.m_SmallRequestBytes += SmallAfter - SmallBefore;
  m_SmallRequestBytes += SmallAfter - SmallBefore;
}

std::size_t ConnectionBudget::byteLimit() const {
  return std::max(m_Options.m_MaxBytes,
                  m_RequestBytes - m_SmallRequestBytes +
                      reservedBytes(m_Options.m_MaxBytes));
}

void ConnectionBudget::addBytes(const std::string &Client, std::size_t Removed,
                                std::size_t Added) {
  m_Shares[Client].m_Bytes += Added - Removed;
  m_Bytes += Added - Removed;
  if (m_Bytes < lowWaterMark(m_Options.m_MaxBytes))
    m_IsFull = false;
}

void ConnectionBudget::removeBytes(Connection &Released) {
  if (std::exchange(Released.m_IsEvictionPending, false))
    m_PendingEvictionBytes -= Released.m_Use.m_Bytes;
  addBytes(Released.m_Client, std::exchange(Released.m_Use.m_Bytes, 0), 0);
}

void ConnectionBudget::releaseUntilWithinLimit(Verdict &Result,
                                               std::size_t Thread,
                                               TimePoint Now) {
  while (m_Bytes - m_PendingEvictionBytes > byteLimit()) {
    Result.m_IsNewlyFull |= !std::exchange(m_IsFull, true);
    const auto Id = selectForEviction(std::nullopt, Now);
    if (!Id)
      break;
    Connection &Selected = m_Connections.at(*Id);
    if (Selected.m_Thread == Thread) {
      removeBytes(Selected);
    } else {
      Selected.m_IsEvictionPending = true;
      m_PendingEvictionBytes += Selected.m_Use.m_Bytes;
    }
    Result.m_Evicted.push_back(*Id);
  }
  // Other threads may be busy.
  while (m_Bytes > toleratedBytes(byteLimit())) {
    const auto Id = selectForEviction(Thread, Now);
    if (!Id)
      break;
    removeBytes(m_Connections.at(*Id));
    Result.m_Evicted.push_back(*Id);
  }
}

auto ConnectionBudget::selectForEviction(std::optional<std::size_t> Thread,
                                         TimePoint Now) const
    -> std::optional<ConnectionId> {
  // Among a client's connections, the one that has held the most bytes for the
  // longest time without progress. Bytes decide between those that have just
  // progressed.
  const auto Rank = [&](const Connection &Each) {
    const auto Bytes = static_cast<double>(Each.m_Use.m_Bytes);
    return std::tuple(m_Shares.at(Each.m_Client).m_Bytes,
                      Bytes * toSeconds(Now - Each.m_ProgressAt), Bytes);
  };
  std::optional<ConnectionId> Selected;
  decltype(Rank(std::declval<Connection>())) Highest{};
  for (const auto &[Id, Each] : m_Connections) {
    if (Each.m_Use.m_Bytes < MinEvictedBytes || Each.m_IsEvictionPending ||
        (Thread && Each.m_Thread != *Thread))
      continue;
    const auto Own = Rank(Each);
    if (Selected && Own <= Highest)
      continue;
    Selected = Id;
    Highest = Own;
  }
  return Selected;
}

void ConnectionBudget::eraseUnusedShare(const std::string &Client) {
  const auto Found = m_Shares.find(Client);
  if (Found != m_Shares.end() && Found->second.m_Connections == 0 &&
      Found->second.m_Bytes == 0)
    m_Shares.erase(Found);
}

std::size_t ConnectionBudget::heldBytes() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Bytes;
}

std::size_t ConnectionBudget::connections() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Connections.size();
}

} // namespace figturn
