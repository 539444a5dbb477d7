#ifndef FIGTURN_TRANSPORT_HTTPOBJECTSTORE_H
#define FIGTURN_TRANSPORT_HTTPOBJECTSTORE_H

/**
 * The platform's object API over HTTP. Qt's access manager may send a write
 * twice; that is harmless here, because a second transmission of a
 * conditional write can't take effect after the first did, and because any
 * answer but success to a repeated write is given as OutcomeUnknown: the
 * conflict that the second met may be the first one's success. The writer
 * then reads back and looks for its own change id or token.
 */

#include "protocol/ObjectStore.h"
#include "transport/HttpFetcher.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace figturn {

/** Address and limits of the platform. */
struct HttpObjectStoreOptions {
  std::string m_BaseUrl;        ///< For example "http://127.0.0.1:7000".
  milliseconds m_Timeout{3000}; ///< For one call, a watch's wait apart.
};

/** ObjectStore on the event loop of the thread that made it. */
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

  /** A fetcher and the watches that wait on it now. */
  struct WatchFetcher {
    HttpFetcher m_Fetcher;
    std::size_t m_ActiveWatches = 0;
  };

  std::shared_ptr<WatchFetcher> availableWatchFetcher();

  HttpObjectStoreOptions m_Options;
  HttpFetcher m_CallFetcher;
  /** Apart, so that waits don't use up the connections of calls; as many as
   *  needed, since one fetcher holds few connections to one host. */
  std::vector<std::shared_ptr<WatchFetcher>> m_WatchFetchers;
};

} // namespace figturn

#endif // FIGTURN_TRANSPORT_HTTPOBJECTSTORE_H
