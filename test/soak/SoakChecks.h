#ifndef FIGTURN_SOAK_SOAKCHECKS_H
#define FIGTURN_SOAK_SOAKCHECKS_H

/**
 * What the soak holds the fleet to, from what callers and targets saw. Each
 * check holds at any time and under any fault; none depends on how fast the
 * machine is.
 */

#include "support/RoutedFleet.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace figturn::soak {

/** What a caller sent. */
struct SentRequest {
  std::string m_Id;
  std::string m_Method;
  std::string m_Path;
  std::string m_Body;
  int m_DeadlineMs = 0;
};

/** Collects what was seen, and what was wrong with it; thread-safe. */
class SoakChecks {
public:
  /** \p Body is what the searcher \p Id of \p Service answers. */
  void addSearcher(const std::string &Id, const std::string &Service,
                   const std::string &Body);

  void onSent(const SentRequest &Request);
  /** A whole answer, or a connection that ended (status 0); \p VmWasKilled
   *  tells whether the VM was killed meanwhile. */
  void onAnswer(const SentRequest &Request, const test::RoutedAnswer &Answer,
                bool VmWasKilled);
  /** A searcher began to run a request. */
  void onRun(const std::string &Searcher,
             const standin::SimpleHttpRequest &Request);
  void fail(const std::string &What);

  /** Checks that need all that was seen; to be called at the end. */
  void finish();

  std::vector<std::string> failures() const;
  std::map<unsigned, std::size_t> statuses() const;

private:
  struct Searcher {
    std::string m_Service;
    std::string m_Body;
  };
  struct ObservedRequest {
    SentRequest m_Request;
    std::vector<std::string> m_ExecutedBy;
    unsigned m_Status = 0;
  };

  void checkRoutedReply(const ObservedRequest &Of,
                        const test::RoutedAnswer &Answer);
  void checkSearchReply(const ObservedRequest &Of,
                        const test::RoutedAnswer &Answer);
  /** The searcher that signed \p Stamp for \p RequestId; null if none did. */
  const Searcher *findSigner(const std::string &Stamp,
                             const std::string &RequestId) const;
  void recordFailure(const std::string &What);

  mutable std::mutex m_Mutex;
  std::map<std::string, Searcher> m_Searchers;
  std::map<std::string, ObservedRequest> m_Requests;
  std::map<unsigned, std::size_t> m_Statuses;
  std::vector<std::string> m_Failures;
};

} // namespace figturn::soak

#endif // FIGTURN_SOAK_SOAKCHECKS_H
