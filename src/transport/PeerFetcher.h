#ifndef FIGTURN_TRANSPORT_PEERFETCHER_H
#define FIGTURN_TRANSPORT_PEERFETCHER_H

/** Reads documents from other VMs over HTTP, on the calls' own pools. */

#include "state/Time.h"
#include "transport/TargetPool.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace figturn {

/** Fetches one document at a time; lives on one worker. */
class PeerFetcher {
public:
  /** Gets the body of a whole 200 reply; none if there was none. */
  using Handler = std::function<void(const std::string *Body)>;

  /** Reads \p Target at \p Address, "IP:port"; false if one is under way. */
  bool fetch(const std::string &Address, const std::string &Target,
             milliseconds Timeout, Handler OnResult);
  bool isBusy() const { return m_IsBusy; }

private:
  std::string m_Address;
  std::unique_ptr<TargetPool> m_Pool; ///< To m_Address.
  std::uint64_t m_NextCall = 1;
  bool m_IsBusy = false;
};

} // namespace figturn

#endif // FIGTURN_TRANSPORT_PEERFETCHER_H
