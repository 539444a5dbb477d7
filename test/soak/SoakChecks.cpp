#include "soak/SoakChecks.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>
#include <sstream>

namespace figturn::soak {

namespace {

constexpr std::size_t ShardsPerSearch = 2;
constexpr std::size_t RecordSizeBytes = 16;
constexpr std::size_t MaxFailures = 20; ///< Later ones mostly repeat these.

bool meansNotExecuted(unsigned Status) {
  return Status == 503 || Status == 429 || Status == 408 || Status == 421;
}

std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Items;
  std::istringstream Input(Text);
  for (std::string Each; std::getline(Input, Each, ',');) {
    Each.erase(0, Each.find_first_not_of(' '));
    Items.push_back(Each);
  }
  return Items;
}

std::string mergeDescending(const std::vector<std::string> &Bodies) {
  std::vector<std::string> Records;
  for (const std::string &Body : Bodies)
    for (std::size_t Offset = 0; Offset + RecordSizeBytes <= Body.size();
         Offset += RecordSizeBytes)
      Records.push_back(Body.substr(Offset, RecordSizeBytes));
  std::sort(Records.rbegin(), Records.rend());
  std::string Merged;
  for (const std::string &Each : Records)
    Merged += Each;
  return Merged;
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
  ObservedRequest &Observed = m_Requests[Request.m_Id];
  Observed.m_Status = Answer.m_Status;
  ++m_Statuses[Answer.m_Status];
  if (Answer.m_Status == 0 && !VmWasKilled && !Observed.m_ExecutedBy.empty())
    recordFailure(fmt::format(
        "{} was forwarded, but its caller received no complete answer",
        Request.m_Id));
  if (Answer.m_Status == 404 || Answer.m_Status == 400)
    recordFailure(fmt::format("{} was rejected with {}: {}", Request.m_Id,
                              Answer.m_Status, Answer.m_Body));
  if (Answer.m_Status != 200)
    return;
  if (Request.m_Path.starts_with("/search/"))
    checkSearchReply(Observed, Answer);
  else
    checkRoutedReply(Observed, Answer);
}

void SoakChecks::onRun(const std::string &SearcherId,
                       const standin::SimpleHttpRequest &Request) {
  const std::lock_guard Lock(m_Mutex);
  const std::string Id = Request.header("x-request-id");
  const auto Entry = m_Requests.find(Id);
  if (Entry == m_Requests.end()) {
    recordFailure(
        fmt::format("{} ran {}, which no caller sent", SearcherId, Id));
    return;
  }
  const SentRequest &Sent = Entry->second.m_Request;
  if (Request.m_Method != Sent.m_Method || Request.m_Path != Sent.m_Path ||
      Request.m_Body != Sent.m_Body)
    recordFailure(
        fmt::format("{} ran {} with altered content", SearcherId, Id));
  if (std::stoi(Request.header("x-deadline-milliseconds")) > Sent.m_DeadlineMs)
    recordFailure(
        fmt::format("{} received a longer deadline for {} than its caller set",
                    SearcherId, Id));
  Entry->second.m_ExecutedBy.push_back(SearcherId);
}

void SoakChecks::fail(const std::string &Message) {
  const std::lock_guard Lock(m_Mutex);
  recordFailure(Message);
}

void SoakChecks::finish() {
  const std::lock_guard Lock(m_Mutex);
  for (const auto &[Id, Observed] : m_Requests) {
    if (Observed.m_Request.m_Method != "POST")
      continue;
    if (Observed.m_ExecutedBy.size() > 1)
      recordFailure(fmt::format("{} may run at most once but ran {} times", Id,
                                Observed.m_ExecutedBy.size()));
    if (meansNotExecuted(Observed.m_Status) && !Observed.m_ExecutedBy.empty())
      recordFailure(fmt::format("{} was answered {} but ran at {}", Id,
                                Observed.m_Status,
                                Observed.m_ExecutedBy.front()));
  }
}

void SoakChecks::checkRoutedReply(const ObservedRequest &Observed,
                                  const test::RoutedAnswer &Answer) {
  const std::string &Id = Observed.m_Request.m_Id;
  const Searcher *Signer = findSigner(Answer.header("X-Server-Stamp"), Id);
  if (!Signer || Signer->m_Service != "desk" || Answer.m_Body != Signer->m_Body)
    recordFailure(fmt::format("{} received the answer to another request", Id));
}

void SoakChecks::checkSearchReply(const ObservedRequest &Observed,
                                  const test::RoutedAnswer &Answer) {
  const std::string &Id = Observed.m_Request.m_Id;
  std::set<std::string> Shards;
  std::vector<std::string> Bodies;
  for (const std::string &Signature :
       splitList(Answer.header("X-Part-Stamps"))) {
    const Searcher *Signer = findSigner(Signature, Id);
    if (!Signer || !Shards.insert(Signer->m_Service).second) {
      recordFailure(fmt::format(
          "{} lists a part signature that doesn't match the request: {}", Id,
          Signature));
      return;
    }
    Bodies.push_back(Signer->m_Body);
  }
  const std::string Missing = Answer.header("X-Missing-Parts");
  if (Shards.size() + std::strtoul(Missing.c_str(), nullptr, 10) !=
      ShardsPerSearch)
    recordFailure(fmt::format("{} reports {} parts and {} missing", Id,
                              Shards.size(), Missing));
  if (Answer.m_Body != mergeDescending(Bodies))
    recordFailure(
        fmt::format("the body of {} doesn't match its listed parts", Id));
}

auto SoakChecks::findSigner(const std::string &Signature,
                            const std::string &RequestId) const
    -> const Searcher * {
  for (const auto &[Id, Candidate] : m_Searchers)
    if (Signature == fmt::format("stamp-{}-{}", Id, RequestId))
      return &Candidate;
  return nullptr;
}

void SoakChecks::recordFailure(const std::string &Message) {
  if (m_Failures.size() < MaxFailures)
    m_Failures.push_back(Message);
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
