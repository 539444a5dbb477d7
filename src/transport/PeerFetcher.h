#ifndef FIGTURN_TRANSPORT_PEERFETCHER_H
#define FIGTURN_TRANSPORT_PEERFETCHER_H

/** Fetches documents from other VMs over HTTP through a TargetPool. */

#include "protocol/HttpMessage.h"
#include "state/Time.h"
#include "transport/TargetPool.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <system_error>

namespace figturn {

/** Outcome of a fetch. */
struct PeerReply {
  std::error_code m_Error; ///< Set if no complete reply was received.
  unsigned m_Status = 0;   ///< HTTP status; 0 if there is an error.
  HttpHeaders m_Headers;
  std::string m_Body;

  bool isOk() const { return !m_Error && m_Status == 200; }
};

/** Fetches one document at a time; runs on one worker. */
class PeerFetcher {
public:
  using Handler = std::function<void(const PeerReply &)>;

  /** Fetches \p RequestTarget from \p Address ("IP:port"). Returns false if a
   *  fetch is in progress or the address is invalid. */
  bool fetch(const std::string &Address, const std::string &RequestTarget,
             milliseconds Timeout, Handler OnResult);
  bool isBusy() const { return m_IsBusy; }

private:
  std::string m_Address;
  std::unique_ptr<TargetPool> m_Pool; ///< Connects to m_Address.
  std::uint64_t m_NextCall = 1;
  bool m_IsBusy = false;
  /** Expires with this object; the pool may deliver a result after that. */
  std::shared_ptr<void> m_Alive = std::make_shared<char>();
};

} // namespace figturn

#endif // FIGTURN_TRANSPORT_PEERFETCHER_H
