#include "node/StateCopier.h"

#include "protocol/Compression.h"
#include "state/Errc.h"
#include "state/Event.h"

#include <charconv>
#include <fmt/format.h>
#include <utility>

namespace figturn {

namespace {

constexpr unsigned StatusServiceUnavailable = 503;

/** In queries of VMs that read compressed copies. */
constexpr const char *CompressedParameter = "compressed=1";

/** Reply header with the sender's clock, in ms. */
constexpr const char *SentAtHeader = "X-State-Sent-At";

/** Bound for the unpacked size of a copy: several times that of the largest
 *  object that a platform holds. */
constexpr std::size_t MaxCopyBytes = 16777216;

/** Bound for the number of copies kept rendered. */
constexpr std::size_t MaxRenderedCopies = 16;

CopyOutcome copyOutcome(const PeerReply &Reply) {
  if (Reply.isOk())
    return CopyOutcome::Complete;
  return Reply.m_Status == StatusServiceUnavailable ? CopyOutcome::Deferred
                                                    : CopyOutcome::Failed;
}

std::optional<TimePoint> decodeSentAt(const PeerReply &Reply) {
  const std::string Text = headerValue(Reply.m_Headers, SentAtHeader);
  std::int64_t Millis = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Millis);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return fromMillis(Millis);
}

} // namespace

StateCopier::StateCopier(PlatformAdapter &Adapter, FleetView &Fleet,
                         std::function<void()> OnImported)
    : m_Adapter(Adapter), m_Fleet(Fleet), m_OnImported(std::move(OnImported)),
      m_Copies{{{.m_Part = StatePart::Registry,
                 .m_Schedule = StateCopySchedule(registryCopyOptions())},
                {.m_Part = StatePart::Config,
                 .m_Schedule = StateCopySchedule(configCopyOptions())}}} {}

void StateCopier::requestCopies(TimePoint Now) {
  const bool HasCurrentWatch = m_Adapter.isWatching() && m_Adapter.isCurrent();
  for (PartCopy &Each : m_Copies) {
    const auto Source = m_Fleet.selectNewerStateSource(Each.m_Part);
    switch (Each.m_Schedule.next(Source.has_value(), HasCurrentWatch, Now)) {
    case CopyStep::None:
      break;
    case CopyStep::AskPeer:
      requestCopy(Each, *Source, Now);
      break;
    case CopyStep::ReadStore:
      ++m_Counters.m_StoreReads;
      logEvent(Event::StateReadFromStore, "part={}",
               statePartName(Each.m_Part));
      m_Adapter.readState(Each.m_Part);
      break;
    }
  }
}

void StateCopier::requestCopy(PartCopy &Copy, const StateSource &Source,
                              TimePoint Now) {
  logEvent(
      Event::StateCopyAsked, "part={} from={} config={} targets={} watching={}",
      statePartName(Copy.m_Part), Source.m_Address, Source.m_Version.m_Config,
      Source.m_Version.m_Targets, m_Adapter.isWatching());
  const bool IsSent = Copy.m_Fetcher.fetch(
      Source.m_Address,
      fmt::format("{}?{}&{}", StatePath, m_Adapter.stateQuery(Copy.m_Part),
                  CompressedParameter),
      Copy.m_Schedule.timeout(),
      [this, &Copy, Address = Source.m_Address, Now](const PeerReply &Reply) {
        onReply(Copy, Address, Reply, Now);
      });
  if (!IsSent)
    onReply(Copy, Source.m_Address, {.m_Error = Errc::ConnectFailed}, Now);
}

void StateCopier::onReply(PartCopy &Copy, const std::string &Address,
                          const PeerReply &Reply, TimePoint RequestedAt) {
  const TimePoint Now = Clock::now();
  CopyOutcome Outcome = copyOutcome(Reply);
  count(Outcome);
  logEvent(Event::StateCopyEnded,
           "part={} from={} status={} error={} bytes={} ms={}",
           statePartName(Copy.m_Part), Address, Reply.m_Status,
           Reply.m_Error ? Reply.m_Error.message() : "none",
           Reply.m_Body.size(),
           std::chrono::duration_cast<milliseconds>(Now - RequestedAt).count());
  if (Outcome == CopyOutcome::Complete &&
      !importCopy(Copy.m_Part, Reply, RequestedAt))
    Outcome = CopyOutcome::Unchanged;
  Copy.m_Schedule.onEnded(Outcome, Now);
  if (Outcome == CopyOutcome::Failed)
    m_Fleet.removeStateSource(Address);
  if (Outcome == CopyOutcome::Complete)
    m_OnImported();
}

bool StateCopier::importCopy(StatePart Part, const PeerReply &Reply,
                             TimePoint RequestedAt) {
  const StateVersion Before = m_Adapter.stateVersion();
  // VMs of earlier releases send copies that are not compressed.
  const auto State = decompress(Reply.m_Body, MaxCopyBytes);
  m_Adapter.importState(
      State ? *State : Reply.m_Body,
      {.m_RequestedAt = RequestedAt, .m_SentAt = decodeSentAt(Reply)});
  return m_Adapter.stateVersion().isNewer(Part, Before);
}

void StateCopier::count(CopyOutcome Outcome) {
  switch (Outcome) {
  case CopyOutcome::Complete:
  case CopyOutcome::Unchanged:
    ++m_Counters.m_Complete;
    break;
  case CopyOutcome::Deferred:
    ++m_Counters.m_DeferredByPeers;
    break;
  case CopyOutcome::Failed:
    ++m_Counters.m_Failed;
    break;
  }
}

const std::string &StateCopier::render(const std::string &Query) {
  if (m_RenderedVersion != m_Adapter.stateVersion() ||
      m_Rendered.size() >= MaxRenderedCopies) {
    m_Rendered.clear();
    m_RenderedVersion = m_Adapter.stateVersion();
  }
  const auto [Found, IsNew] = m_Rendered.try_emplace(Query);
  if (IsNew) {
    Found->second = m_Adapter.exportState(Query);
    if (Query.find(CompressedParameter) != std::string::npos)
      Found->second = compress(Found->second);
  }
  return Found->second;
}

HttpResponse StateCopier::serve(const HttpRequest &Request,
                                std::size_t PendingAnswers) {
  const TimePoint Start = Clock::now();
  HttpResponse Response{
      .m_Body = render(Request.m_Query),
      .m_ContentType = "application/octet-stream",
      .m_Headers = {{SentAtHeader, std::to_string(toMillis(Start))}}};
  const Duration RenderTime = Clock::now() - Start;
  m_Counters.m_RenderTime += RenderTime;
  const std::size_t Bytes = Response.m_Body.size();
  const bool IsSent = maySendCopy(Bytes, PendingAnswers);
  if (IsSent) {
    ++m_Counters.m_Served;
    m_Counters.m_ServedBytes += Bytes;
  } else {
    ++m_Counters.m_Deferred;
    Response = {.m_Status = StatusServiceUnavailable};
  }
  logEvent(Event::StateCopyServed,
           "bytes={} sent={} render_us={} pending={} query={}", Bytes, IsSent,
           std::chrono::duration_cast<microseconds>(RenderTime).count(),
           PendingAnswers, Request.m_Query);
  return Response;
}

} // namespace figturn
