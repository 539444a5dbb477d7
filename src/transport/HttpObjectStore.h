#ifndef FIGTURN_TRANSPORT_HTTPOBJECTSTORE_H
#define FIGTURN_TRANSPORT_HTTPOBJECTSTORE_H

/**
 * Client of the platform's object API over HTTP. Qt's access manager may send
 * a write twice, which is safe: a conditional write can't take effect again
 * after its first transmission did. Any reply but success to a repeated write
 * is reported as OutcomeUnknown, because a conflict may be caused by the first
 * transmission. The writer then reads the object and looks for its own change
 * ID or token.
 */

#include "protocol/ObjectStore.h"
#include "transport/HttpFetcher.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace figturn {

/** Address of the platform and timeout of its calls. */
struct HttpObjectStoreOptions {
  std::string m_BaseUrl;        ///< For example "http://127.0.0.1:7000".
  milliseconds m_Timeout{3000}; ///< Of one call; a watch's wait is added.
};

/** ObjectStore on the event loop of the thread that creates it. */
class HttpObjectStore : public ObjectStore {
public:
  explicit HttpObjectStore(HttpObjectStoreOptions Options);

  void get(const std::string &Path, ResultHandler OnResult) override;
  void put(const std::string &Path, std::string Body, WriteCondition Condition,
           ResultHandler OnResult) override;
  void remove(const std::string &Path, WriteCondition Condition,
              ResultHandler OnResult) override;
  void watch(const std::string &Path, ObjectVersion After, milliseconds Wait,
             ResultHandler OnResult) override;
  void list(const std::string &Prefix, ListHandler OnListing) override;

private:
  std::string objectUrl(const std::string &Path) const;

  /** A fetcher and the number of watches pending on it. */
  struct WatchFetcher {
    HttpFetcher m_Fetcher;
    std::size_t m_ActiveWatches = 0;
  };

  std::shared_ptr<WatchFetcher> availableWatchFetcher();

  HttpObjectStoreOptions m_Options;
  HttpFetcher m_CallFetcher;
  /** Separate from m_CallFetcher, so that pending watches don't occupy the
   *  connections of other calls; several, because a fetcher opens only a few
   *  connections per address. */
  std::vector<std::shared_ptr<WatchFetcher>> m_WatchFetchers;
};

} // namespace figturn

#endif // FIGTURN_TRANSPORT_HTTPOBJECTSTORE_H
