#ifndef FIGTURN_TEST_SUPPORT_SINGLERUNSIMULATION_H
#define FIGTURN_TEST_SUPPORT_SINGLERUNSIMULATION_H

/**
 * Simulates single-run requests under random faults in virtual time: VMs that
 * are killed and paused, a platform that loses replies, applies writes late
 * and has outages, a target that counts runs, and callers that retry at
 * random VMs. It checks the invariants at each step.
 */

#include "coordination/SingleRunTable.h"
#include "support/FakeRecordStore.h"
#include "support/Simulation.h"
#include "support/SingleRunSimulationState.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace figturn {

class SingleRunSimulation : private Simulation {
public:
  SingleRunSimulation(unsigned Seed, FaultRates Rates)
      : Simulation(Seed), m_Rates(Rates), m_Vms(VmCount), m_Callers(KeyCount) {
    for (int I = 0; I < VmCount; ++I)
      m_Vms[I].m_Name = VmName(fmt::format("vm-{}", I));
  }

  void run() {
    for (int Key = 0; Key < KeyCount; ++Key)
      scheduleAfter(randomDelay(0, 3000), [this, Key] { startTry(Key); });
    scheduleAfter(milliseconds(50), [this] { injectFaults(); });
    runEvents([this] { return m_Violations.empty(); });
  }

  const SimulationCounts &counts() const { return m_Counts; }
  const std::vector<std::string> &violations() const { return m_Violations; }

private:
  int randomVm() { return randomInt(0, VmCount - 1); }
  static RequestKey requestKey(int Key) {
    return RequestKey(fmt::format("key-{}", Key));
  }

  /** Schedules \p Handler at a VM. It is dropped if the VM has restarted by
   *  then, and queued in arrival order if the VM is paused. */
  void runAtVm(int Index, int Boot, Duration Delay, Action Handler) {
    scheduleAfter(Delay, [this, Index, Boot, Handler = std::move(Handler)] {
      Vm &ThisVm = m_Vms[Index];
      if (ThisVm.m_Boot != Boot)
        return;
      if (ThisVm.m_IsPaused)
        ThisVm.m_Backlog.push_back(Handler);
      else
        Handler();
    });
  }

  // Fault injection into VMs and the platform.

  void injectFaults() {
    if (m_Now > TimePoint(seconds(8)))
      return;
    const int Index = randomVm();
    if (randomBool(m_Rates.m_Kill))
      kill(Index);
    else if (!m_Vms[Index].m_IsPaused && randomBool(m_Rates.m_Pause))
      pause(Index);
    if (!m_IsPlatformDown && randomBool(m_Rates.m_Outage)) {
      m_IsPlatformDown = true;
      scheduleAfter(randomDelay(50, 800), [this] { m_IsPlatformDown = false; });
    }
    scheduleAfter(milliseconds(50), [this] { injectFaults(); });
  }

  void kill(int Index) {
    Vm &ThisVm = m_Vms[Index];
    ++ThisVm.m_Boot;
    ThisVm.m_KnownRevision = {};
    ThisVm.m_IsPaused = false;
    ThisVm.m_Backlog.clear();
    ThisVm.m_Table = SingleRunTable(SingleRunTableOptions{});
    ThisVm.m_Attempts.clear();
  }

  void pause(int Index) {
    Vm &ThisVm = m_Vms[Index];
    ThisVm.m_IsPaused = true;
    ThisVm.m_PausedAt = m_Now;
    scheduleAfter(randomDelay(20, 900), [this, Index, Boot = ThisVm.m_Boot] {
      Vm &Resumed = m_Vms[Index];
      if (Resumed.m_Boot != Boot)
        return;
      // The VM may detect the pause before or after it processes the messages
      // that were buffered in its sockets.
      const bool NoticesFirst = randomBool(0.5);
      if (NoticesFirst)
        noticePause(Index);
      std::vector<Action> Backlog = std::exchange(Resumed.m_Backlog, {});
      m_RevisionAtPause = Resumed.m_KnownRevision;
      m_IsProcessingBacklog = true;
      for (const Action &Handler : Backlog)
        Handler();
      m_IsProcessingBacklog = false;
      Resumed.m_IsPaused = false;
      if (!NoticesFirst)
        noticePause(Index);
    });
  }

  void noticePause(int Index) {
    std::vector<AttemptToken> Tokens;
    for (const auto &[Token, Running] : m_Vms[Index].m_Attempts)
      Tokens.push_back(Token);
    for (const AttemptToken &Token : Tokens)
      dispatchEvent(Index, Token, [this](SingleRunAttempt &Attempt) {
        return Attempt.onPause(m_Now);
      });
  }

  // Callers.

  void startTry(int Key) {
    Caller &CallerState = m_Callers[Key];
    if (CallerState.m_IsDone || CallerState.m_Try + 1 == MaxTries)
      return;
    ++CallerState.m_Try;
    CallerState.m_IsWaiting = true;
    CallerState.m_Vm = randomVm();
    const int Try = CallerState.m_Try;
    const int Index = CallerState.m_Vm;
    const int Boot = m_Vms[Index].m_Boot;
    runAtVm(Index, Boot, milliseconds(1),
            [this, Index, Key, Try] { receiveRequest(Index, Key, Try); });
    // A caller may time out while its attempt may still be sent.
    scheduleAfter(randomDelay(30, 400), [this, Index, Boot, Key, Try] {
      Caller &Waiting = m_Callers[Key];
      if (!Waiting.m_IsWaiting || Waiting.m_Try != Try)
        return;
      Waiting.m_IsWaiting = false;
      if (randomBool(0.5))
        runAtVm(Index, Boot, milliseconds(1),
                [this, Index, Key, Try] { disconnectCaller(Index, Key, Try); });
      startTry(Key);
    });
  }

  void disconnectCaller(int Index, int Key, int Try) {
    for (auto &[Token, Running] : m_Vms[Index].m_Attempts) {
      if (Running.m_Key != Key || Running.m_Try != Try)
        continue;
      dispatchEvent(Index, AttemptToken(Token),
                    [this](SingleRunAttempt &Attempt) {
                      return Attempt.onCallerDisconnect(m_Now);
                    });
      return;
    }
  }

  void receiveRequest(int Index, int Key, int Try) {
    Vm &ThisVm = m_Vms[Index];
    const AttemptToken Token(fmt::format("{}-{}", Key, Try));
    const WaiterId Waiter(m_Waiters.size());
    m_Waiters.emplace_back(
        [this, Key, Try](const std::optional<SingleRunOutcome> &Outcome) {
          sendOutcome(Key, Try, Outcome);
        });
    const JoinResult Joined =
        ThisVm.m_Table.join(ServiceName("s"), requestKey(Key), Fingerprint(7),
                            Token, Waiter, m_Now);
    if (Joined.m_Kind == JoinResult::Kind::Ended)
      sendOutcome(Key, Try, Joined.m_Outcome);
    if (Joined.m_Kind != JoinResult::Kind::Begin)
      return;
    const TimePoint Start = m_IsProcessingBacklog ? ThisVm.m_PausedAt : m_Now;
    const bool IsFresh = Try == 0 && randomBool(0.3);
    SingleRunAttempt Attempt(
        {.m_Service = ServiceName("s"),
         .m_Key = requestKey(Key),
         .m_Fingerprint = Fingerprint(7),
         .m_Token = Token,
         .m_Vm = ThisVm.m_Name,
         .m_Boot = ThisVm.boot(),
         .m_History = IsFresh ? KeyHistory::Fresh : KeyHistory::Unknown,
         .m_Start = Start,
         .m_KnownRevision =
             m_IsProcessingBacklog ? m_RevisionAtPause : ThisVm.m_KnownRevision,
         .m_SendBy = Start + SendWindow,
         .m_Deadline = Start + AttemptDeadline});
    ThisVm.m_Attempts.emplace(Token,
                              RunningAttempt{std::move(Attempt), Key, Try, {}});
    dispatchEvent(Index, Token, [this](SingleRunAttempt &Begun) {
      return Begun.start(m_Now);
    });
  }

  void sendOutcome(int Key, int Try,
                   const std::optional<SingleRunOutcome> &Outcome) {
    if (Outcome && Outcome->m_Phase == SingleRunPhase::Ran)
      sendReply(Key, Try, RunVerdict::Ran, Outcome->m_Result);
    else
      sendReply(Key, Try, Outcome ? Outcome->m_Verdict : RunVerdict::MayHaveRun,
                "");
  }

  void sendReply(int Key, int Try, RunVerdict Verdict,
                 const std::string &Result) {
    scheduleAfter(milliseconds(1),
                  [=, this] { receiveReply(Key, Try, Verdict, Result); });
  }

  void receiveReply(int Key, int Try, RunVerdict Verdict,
                    const std::string &Result) {
    Caller &CallerState = m_Callers[Key];
    if (!CallerState.m_IsWaiting || CallerState.m_Try != Try)
      return;
    CallerState.m_IsWaiting = false;
    if (Verdict == RunVerdict::Ran) {
      ++m_Counts.m_Answers;
      CallerState.m_IsDone = true;
      if (CallerState.m_Runs != 1 || Result != fmt::format("result-{}", Key))
        m_Violations.push_back(
            fmt::format("key {}: answered without exactly one run", Key));
      return;
    }
    if (Verdict == RunVerdict::MayHaveRun) {
      ++m_Counts.m_MayHaveRun;
    } else {
      ++m_Counts.m_NotRun;
      CallerState.m_LastNotRunTry = Try;
      if (CallerState.m_Runs > 0)
        m_Violations.push_back(
            fmt::format("key {}: reported as not-run after a run", Key));
      if (randomBool(m_Rates.m_CallerGivesUp)) {
        CallerState.m_IsDone = true; // Any later run is a violation.
        return;
      }
    }
    scheduleAfter(randomDelay(1, 50), [this, Key] { startTry(Key); });
  }

  // Execution of the attempts' actions.

  template <typename Event>
  void dispatchEvent(int Index, const AttemptToken &Token, Event Handler) {
    Vm &ThisVm = m_Vms[Index];
    const auto Found = ThisVm.m_Attempts.find(Token);
    if (Found == ThisVm.m_Attempts.end())
      return;
    RunningAttempt &Running = Found->second;
    for (SingleRunAction &Next : Handler(Running.m_Attempt))
      std::visit([&](auto &Action) { perform(Index, Token, Running, Action); },
                 Next);
    finishEvent(Index, Token, Running);
  }

  void finishEvent(int Index, const AttemptToken &Token,
                   RunningAttempt &Running) {
    Vm &ThisVm = m_Vms[Index];
    const SingleRunAttempt &Attempt = Running.m_Attempt;
    if (Attempt.outcome() || Attempt.isOver())
      for (const WaiterId Waiter :
           ThisVm.m_Table.end(Token, Attempt.outcome(), m_Now))
        m_Waiters[Waiter.value()](Attempt.outcome());
    if (Attempt.recordedAt())
      ThisVm.m_Table.markRecorded(Token, *Attempt.recordedAt());
    const std::optional<TimePoint> Timer = Attempt.nextTimer();
    if (Timer && Timer != Running.m_Timer) {
      runAtVm(Index, ThisVm.m_Boot, std::max(*Timer - m_Now, Duration::zero()),
              [this, Index, Token] {
                dispatchEvent(Index, Token, [this](SingleRunAttempt &Due) {
                  return Due.onTimer(m_Now);
                });
              });
    }
    Running.m_Timer = Timer;
    if (Attempt.isOver())
      ThisVm.m_Attempts.erase(Token);
  }

  void perform(int, const AttemptToken &, RunningAttempt &Running,
               Answer &Action) {
    sendReply(Running.m_Key, Running.m_Try, RunVerdict::Ran, Action.m_Result);
  }

  void perform(int, const AttemptToken &, RunningAttempt &Running,
               Refuse &Action) {
    sendReply(Running.m_Key, Running.m_Try, Action.m_Refusal.m_Verdict, "");
  }

  void perform(int Index, const AttemptToken &Token, RunningAttempt &,
               CreateRecord &Action) {
    callStore(Index, Token, [this, Action] { return m_Store.create(Action); });
  }

  void perform(int Index, const AttemptToken &Token, RunningAttempt &,
               UpdateRecord &Action) {
    callStore(Index, Token, [this, Action] { return m_Store.update(Action); });
  }

  void perform(int Index, const AttemptToken &Token, RunningAttempt &,
               ReadRecord &Action) {
    callStore(Index, Token, [this, Action] { return m_Store.read(Action); });
  }

  void perform(int Index, const AttemptToken &Token, RunningAttempt &Running,
               SendOnce &Action) {
    if (m_Now >= Action.m_SendBy)
      m_Violations.push_back("call sent after its send-by time");
    const int Key = Running.m_Key;
    if (randomBool(m_Rates.m_ConnectFailure)) {
      deliverResult(
          Index, Token, milliseconds(3),
          {.m_Verdict = RunVerdict::NotRun, .m_Error = Errc::ConnectFailed});
      return;
    }
    const bool IsLost = randomBool(m_Rates.m_LostResult);
    const milliseconds Arrival = randomDelay(1, 40);
    if (!IsLost || randomBool(0.7))
      scheduleAfter(Arrival,
                    [this, Key, Try = Running.m_Try] { runOnce(Key, Try); });
    if (IsLost)
      deliverResult(Index, Token, randomDelay(1, 60),
                    {.m_Error = Errc::ConnectionClosed});
    else
      deliverResult(Index, Token, Arrival + randomDelay(1, 300),
                    {.m_Verdict = RunVerdict::Ran,
                     .m_Result = fmt::format("result-{}", Key)});
  }

  void perform(int Index, const AttemptToken &Token, RunningAttempt &,
               AskHolder &Action) {
    const int Boot = m_Vms[Index].m_Boot;
    const auto Deliver = [this, Index, Boot, Token](const HolderReply &Reply) {
      runAtVm(Index, Boot, milliseconds(1), [this, Index, Token, Reply] {
        dispatchEvent(Index, Token, [this, Reply](SingleRunAttempt &Asking) {
          return Asking.onHolderReply(Reply, m_Now);
        });
      });
    };
    int Holder = 0;
    while (m_Vms[Holder].m_Name != Action.m_Vm)
      ++Holder;
    const bool HasRestarted = m_Vms[Holder].boot() != Action.m_Boot;
    if (HasRestarted || randomBool(m_Rates.m_LostPeerCall)) {
      scheduleAfter(milliseconds(20), [Deliver] { Deliver({}); });
      return;
    }
    runAtVm(Holder, m_Vms[Holder].m_Boot, milliseconds(1),
            [this, Holder, Deliver, AskedToken = Action.m_Token] {
              SingleRunTable &Table = m_Vms[Holder].m_Table;
              const WaiterId Waiter(m_Waiters.size());
              m_Waiters.emplace_back(
                  [Deliver](const std::optional<SingleRunOutcome> &Outcome) {
                    HolderReply Reply;
                    if (Outcome)
                      Reply = {.m_Kind = HolderReply::Kind::Settled,
                               .m_Outcome = *Outcome};
                    Deliver(Reply);
                  });
              if (const auto Known = Table.ask(AskedToken, Waiter, m_Now))
                Deliver(*Known);
            });
  }

  void deliverResult(int Index, const AttemptToken &Token, Duration Delay,
                     RunResult Result) {
    runAtVm(Index, m_Vms[Index].m_Boot, Delay, [this, Index, Token, Result] {
      dispatchEvent(Index, Token, [this, Result](SingleRunAttempt &Sent) {
        return Sent.onRunResult(Result, m_Now);
      });
    });
  }

  // The target.

  void runOnce(int Key, int Try) {
    Caller &CallerState = m_Callers[Key];
    ++CallerState.m_Runs;
    if (CallerState.m_Runs > 1)
      m_Violations.push_back(fmt::format("key {}: ran twice", Key));
    if (Try <= CallerState.m_LastNotRunTry)
      m_Violations.push_back(
          fmt::format("key {}: ran after it was reported as not-run", Key));
    m_Counts.m_RunsAfterNotRun += CallerState.m_LastNotRunTry >= 0 ? 1 : 0;
  }

  // The platform.

  template <typename Operation>
  void callStore(int Index, const AttemptToken &Token, Operation Apply) {
    const int Boot = m_Vms[Index].m_Boot;
    const auto Deliver = [this, Index, Boot, Token](Duration Delay,
                                                    RecordReply Reply) {
      runAtVm(Index, Boot, Delay, [this, Index, Token, Reply] {
        Vm &ThisVm = m_Vms[Index];
        ThisVm.m_KnownRevision =
            std::max(ThisVm.m_KnownRevision, Reply.m_Revision);
        dispatchEvent(Index, Token, [this, Reply](SingleRunAttempt &Waiting) {
          return Waiting.onRecordReply(Reply, m_Now);
        });
      });
    };
    const bool IsLate = randomBool(m_Rates.m_LateWrite);
    const bool LosesReply = IsLate || randomBool(m_Rates.m_LostReply);
    const bool LosesRequest = randomBool(m_Rates.m_LostRequest);
    if (LosesReply || LosesRequest)
      Deliver(OperationTimeout, {.m_Kind = RecordReply::Kind::Unknown});
    if (LosesRequest)
      return;
    scheduleAfter(
        IsLate ? randomDelay(40, 600) : randomDelay(1, 15), [=, this] {
          const RecordReply Reply =
              m_IsPlatformDown
                  ? RecordReply{.m_Kind = RecordReply::Kind::Unavailable}
                  : Apply();
          if (!LosesReply)
            Deliver(randomDelay(1, 15), Reply);
        });
  }

  FaultRates m_Rates;
  std::vector<Vm> m_Vms;
  std::vector<Caller> m_Callers;
  std::vector<std::function<void(const std::optional<SingleRunOutcome> &)>>
      m_Waiters;
  FakeRecordStore m_Store;
  StoreRevision m_RevisionAtPause;
  bool m_IsProcessingBacklog = false;
  bool m_IsPlatformDown = false;
  SimulationCounts m_Counts;
  std::vector<std::string> m_Violations;
};

} // namespace figturn

#endif // FIGTURN_TEST_SUPPORT_SINGLERUNSIMULATION_H
