#ifndef FIGTURN_SOAK_SOAKCHECKS_H
#define FIGTURN_SOAK_SOAKCHECKS_H

/**
 * Checks of the soak on the requests and replies that callers and targets
 * observed. Each check must hold at any time and under any fault; none depends
 * on execution speed.
 */

#include "support/RoutedFleet.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace figturn::soak {

/** A request that a caller sent. */
struct SentRequest {
  std::string m_Id;
  std::string m_Method;
  std::string m_Path;
  std::string m_Body;
  int m_DeadlineMs = 0;
};

/** Records requests and replies and collects violations. Thread-safe. */
class SoakChecks {
public:
  /** \p Body is the reply body of the searcher \p Id of \p Service. */
  void addSearcher(const std::string &Id, const std::string &Service,
                   const std::string &Body);

  void onSent(const SentRequest &Request);
  /** Checks a complete answer, or the lack of one (status 0).
   *  \p VmWasKilled: the VM was killed since the request was sent. */
  void onAnswer(const SentRequest &Request, const test::RoutedAnswer &Answer,
                bool VmWasKilled);
  /** Called when a searcher starts to run \p Request. */
  void onRun(const std::string &SearcherId,
             const standin::SimpleHttpRequest &Request);
  /** Records a violation that the caller detected. */
  void fail(const std::string &Message);

  /** Runs the checks on the complete history; call it once, at the end. */
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

  void checkRoutedReply(const ObservedRequest &Observed,
                        const test::RoutedAnswer &Answer);
  void checkSearchReply(const ObservedRequest &Observed,
                        const test::RoutedAnswer &Answer);
  /** The searcher whose signature for \p RequestId is \p Signature, or null. */
  const Searcher *findSigner(const std::string &Signature,
                             const std::string &RequestId) const;
  void recordFailure(const std::string &Message);

  mutable std::mutex m_Mutex;
  std::map<std::string, Searcher> m_Searchers;
  std::map<std::string, ObservedRequest> m_Requests;
  std::map<unsigned, std::size_t> m_Statuses;
  std::vector<std::string> m_Failures;
};

} // namespace figturn::soak

#endif // FIGTURN_SOAK_SOAKCHECKS_H
