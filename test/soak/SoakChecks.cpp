#include "soak/SoakChecks.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>
#include <sstream>

namespace figturn::soak {

namespace {

constexpr std::size_t ShardsPerSearch = 2;
constexpr std::size_t RecordSizeBytes = 16;
constexpr std::size_t MaxFailures = 20; ///< That are kept; they repeat.

bool meansNotExecuted(unsigned Status) {
  return Status == 503 || Status == 429 || Status == 408 || Status == 421;
}

std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Out;
  std::istringstream In(Text);
  for (std::string Each; std::getline(In, Each, ',');) {
    Each.erase(0, Each.find_first_not_of(' '));
    Out.push_back(Each);
  }
  return Out;
}

std::string mergeDescending(const std::vector<std::string> &Bodies) {
  std::vector<std::string> Records;
  for (const std::string &Body : Bodies)
    for (std::size_t At = 0; At + RecordSizeBytes <= Body.size();
         At += RecordSizeBytes)
      Records.push_back(Body.substr(At, RecordSizeBytes));
  std::sort(Records.rbegin(), Records.rend());
  std::string Out;
  for (const std::string &Each : Records)
    Out += Each;
  return Out;
}

} // namespace

void SoakChecks::addSearcher(const std::string &Id, const std::string &Service,
                             const std::string &Body) {
  const std::lock_guard Lock(m_Mutex);
  m_Searchers[Id] = {.m_Service = Service, .m_Body = Body};
}

void SoakChecks::onSent(const SentRequest &Request) {
  const std::lock_guard Lock(m_Mutex);
  m_Requests[Request.m_Id].m_Request = Request;
}

void SoakChecks::onAnswer(const SentRequest &Request,
                          const test::RoutedAnswer &Answer, bool VmWasKilled) {
  const std::lock_guard Lock(m_Mutex);
  ObservedRequest &Of = m_Requests[Request.m_Id];
  Of.m_Status = Answer.m_Status;
  ++m_Statuses[Answer.m_Status];
  if (Answer.m_Status == 0 && !VmWasKilled && !Of.m_ExecutedBy.empty())
    recordFailure(fmt::format("{} was passed on and then cut", Request.m_Id));
  if (Answer.m_Status == 404 || Answer.m_Status == 400)
    recordFailure(fmt::format("{} was denied with {}: {}", Request.m_Id,
                              Answer.m_Status, Answer.m_Body));
  if (Answer.m_Status != 200)
    return;
  if (Request.m_Path.starts_with("/search/"))
    checkSearchReply(Of, Answer);
  else
    checkRoutedReply(Of, Answer);
}

void SoakChecks::onRun(const std::string &At,
                       const standin::SimpleHttpRequest &Request) {
  const std::lock_guard Lock(m_Mutex);
  const std::string Id = Request.header("x-request-id");
  const auto Known = m_Requests.find(Id);
  if (Known == m_Requests.end()) {
    recordFailure(fmt::format("{} ran {}, which no caller sent", At, Id));
    return;
  }
  const SentRequest &Sent = Known->second.m_Request;
  if (Request.m_Method != Sent.m_Method || Request.m_Path != Sent.m_Path ||
      Request.m_Body != Sent.m_Body)
    recordFailure(fmt::format("{} ran {} changed", At, Id));
  if (std::stoi(Request.header("x-deadline-milliseconds")) > Sent.m_DeadlineMs)
    recordFailure(fmt::format(
        "{} was given more time for {} than its caller has", At, Id));
  Known->second.m_ExecutedBy.push_back(At);
}

void SoakChecks::fail(const std::string &What) {
  const std::lock_guard Lock(m_Mutex);
  recordFailure(What);
}

void SoakChecks::finish() {
  const std::lock_guard Lock(m_Mutex);
  for (const auto &[Id, Of] : m_Requests) {
    if (Of.m_Request.m_Method != "POST")
      continue;
    if (Of.m_ExecutedBy.size() > 1)
      recordFailure(fmt::format("{} may run once and ran {} times", Id,
                                Of.m_ExecutedBy.size()));
    if (meansNotExecuted(Of.m_Status) && !Of.m_ExecutedBy.empty())
      recordFailure(fmt::format("{} was answered {} and ran at {}", Id,
                                Of.m_Status, Of.m_ExecutedBy.front()));
  }
}

void SoakChecks::checkRoutedReply(const ObservedRequest &Of,
                                  const test::RoutedAnswer &Answer) {
  const std::string &Id = Of.m_Request.m_Id;
  const Searcher *By = findSigner(Answer.header("X-Server-Stamp"), Id);
  if (!By || By->m_Service != "desk" || Answer.m_Body != By->m_Body)
    recordFailure(fmt::format("{} got an answer that isn't its own", Id));
}

void SoakChecks::checkSearchReply(const ObservedRequest &Of,
                                  const test::RoutedAnswer &Answer) {
  const std::string &Id = Of.m_Request.m_Id;
  std::set<std::string> Shards;
  std::vector<std::string> Bodies;
  for (const std::string &Stamp : splitList(Answer.header("X-Part-Stamps"))) {
    const Searcher *By = findSigner(Stamp, Id);
    if (!By || !Shards.insert(By->m_Service).second) {
      recordFailure(
          fmt::format("{} names a part that isn't its own: {}", Id, Stamp));
      return;
    }
    Bodies.push_back(By->m_Body);
  }
  const std::string Missing = Answer.header("X-Missing-Parts");
  if (Shards.size() + std::strtoul(Missing.c_str(), nullptr, 10) !=
      ShardsPerSearch)
    recordFailure(fmt::format("{} claims {} parts and {} missing", Id,
                              Shards.size(), Missing));
  if (Answer.m_Body != mergeDescending(Bodies))
    recordFailure(fmt::format("{} isn't made of the parts that it names", Id));
}

auto SoakChecks::findSigner(const std::string &Stamp,
                            const std::string &RequestId) const
    -> const Searcher * {
  for (const auto &[Id, Of] : m_Searchers)
    if (Stamp == fmt::format("stamp-{}-{}", Id, RequestId))
      return &Of;
  return nullptr;
}

void SoakChecks::recordFailure(const std::string &What) {
  if (m_Failures.size() < MaxFailures)
    m_Failures.push_back(What);
}

std::vector<std::string> SoakChecks::failures() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Failures;
}

std::map<unsigned, std::size_t> SoakChecks::statuses() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Statuses;
}

} // namespace figturn::soak
