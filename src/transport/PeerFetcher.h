#ifndef FIGTURN_TRANSPORT_PEERFETCHER_H
#define FIGTURN_TRANSPORT_PEERFETCHER_H

/** Fetches documents from other VMs over HTTP through a TargetPool. */

#include "state/Time.h"
#include "transport/TargetPool.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace figturn {

/** Fetches one document at a time; runs on one worker. */
class PeerFetcher {
public:
  /** Receives the body of a complete reply with status 200; null if there is
   *  none. */
  using Handler = std::function<void(const std::string *Body)>;

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
};

} // namespace figturn

#endif // FIGTURN_TRANSPORT_PEERFETCHER_H
