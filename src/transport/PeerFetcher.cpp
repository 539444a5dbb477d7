#include "transport/PeerFetcher.h"

#include "protocol/SettingsCodec.h"
#include "transport/HttpCodec.h"

#include <utility>

namespace figturn {

namespace {

/** A peer that doesn't accept a connection in this time is unreachable. */
constexpr milliseconds ConnectTimeout{300};

/** Short, because the next fetch usually goes to another peer. */
constexpr milliseconds IdleTimeout{1000};

} // namespace

bool PeerFetcher::fetch(const std::string &Address,
                        const std::string &RequestTarget, milliseconds Timeout,
                        Handler OnResult) {
  const auto Endpoint = parseSocketAddress(Address);
  if (m_IsBusy || !Endpoint)
    return false;
  m_IsBusy = true;
  if (std::exchange(m_Address, Address) != Address || !m_Pool)
    m_Pool = std::make_unique<TargetPool>(
        TargetPoolOptions{.m_Target = TargetName("peer"),
                          .m_Host = Endpoint->m_Host,
                          .m_Port = Endpoint->m_Port,
                          .m_MaxConnections = 1,
                          .m_ConnectTimeout = ConnectTimeout,
                          .m_IdleTimeout = IdleTimeout,
                          .m_UsesFigturnProtocol = false},
        [](const TargetObservation &) {});
  m_Pool->send({.m_Call = CallId(m_NextCall++),
                .m_Deadline = Clock::now() + Timeout,
                .m_SingleRun = true,
                .m_SerializeRequest = [Bytes = serializeRequest(
                                           "GET", RequestTarget, Address, {})](
                                          TimePoint) { return Bytes; }},
               [this, Alive = std::weak_ptr<void>(m_Alive),
                OnResult = std::move(OnResult)](const TargetResult &Result) {
                 if (Alive.expired())
                   return;
                 m_IsBusy = false;
                 OnResult({.m_Error = Result.m_Error,
                           .m_Status = Result.m_Status,
                           .m_Headers = Result.m_Headers,
                           .m_Body = Result.m_Body});
               });
  return true;
}

} // namespace figturn
