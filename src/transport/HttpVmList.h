#ifndef FIGTURN_TRANSPORT_HTTPVMLIST_H
#define FIGTURN_TRANSPORT_HTTPVMLIST_H

/** Fetches the platform's VM list over HTTP. */

#include "protocol/VmList.h"
#include "state/Time.h"
#include "transport/HttpFetcher.h"

#include <string>

namespace figturn {

/** Address of the VM list and timeout of a fetch. */
struct HttpVmListOptions {
  std::string m_BaseUrl; ///< For example "http://127.0.0.1:7000".
  milliseconds m_Timeout{3000};
};

/** VmListSource on the event loop of the thread that creates it. */
class HttpVmList : public VmListSource {
public:
  explicit HttpVmList(HttpVmListOptions Options);

  void fetchVmList(Handler OnResult) override;

private:
  HttpVmListOptions m_Options;
  HttpFetcher m_Fetcher;
};

} // namespace figturn

#endif // FIGTURN_TRANSPORT_HTTPVMLIST_H
