#ifndef FIGTURN_SUPPORT_SINGLERUNWORLD_H
#define FIGTURN_SUPPORT_SINGLERUNWORLD_H

/**
 * A random history of single-run requests in virtual time: several VMs, a
 * platform that loses answers, applies writes late and has outages, a target
 * that counts runs, VMs that are killed and paused, callers that try one VM
 * after another. It checks its invariants at each step.
 */

#include "coordination/SingleRunTable.h"
#include "support/RecordStoreFake.h"
#include "support/Simulation.h"
#include "support/SingleRunWorldState.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace figturn {

class SingleRunWorld : private Simulation {
public:
  SingleRunWorld(unsigned Seed, Faults Rates)
      : Simulation(Seed), m_Rates(Rates), m_Vms(VmCount), m_Callers(KeyCount) {
    for (int I = 0; I < VmCount; ++I)
      m_Vms[I].m_Name = VmName(fmt::format("vm-{}", I));
  }

  void run() {
    for (int Key = 0; Key < KeyCount; ++Key)
      after(between(0, 3000), [this, Key] { beginTry(Key); });
    after(milliseconds(50), [this] { tick(); });
    runEvents([this] { return m_Faults.empty(); });
  }

  const Tally &tally() const { return m_Tally; }
  const std::vector<std::string> &faults() const { return m_Faults; }

private:
  int anyVm() { return pick(0, VmCount - 1); }
  static RequestKey keyOf(int Key) {
    return RequestKey(fmt::format("key-{}", Key));
  }

  /** Runs \p Do at the VM unless its process is another one by then; in the
   *  order of arrival if it is paused. */
  void at(int Index, int Boot, Duration Delay, Action Do) {
    after(Delay, [this, Index, Boot, Do = std::move(Do)] {
      Vm &Host = m_Vms[Index];
      if (Host.m_Boot != Boot)
        return;
      if (Host.m_Paused)
        Host.m_Backlog.push_back(Do);
      else
        Do();
    });
  }

  // Faults of VMs and platform.

  void tick() {
    if (m_Now > TimePoint(seconds(8)))
      return;
    const int Index = anyVm();
    if (chance(m_Rates.m_Kill))
      kill(Index);
    else if (!m_Vms[Index].m_Paused && chance(m_Rates.m_Pause))
      pause(Index);
    if (!m_Down && chance(m_Rates.m_Outage)) {
      m_Down = true;
      after(between(50, 800), [this] { m_Down = false; });
    }
    after(milliseconds(50), [this] { tick(); });
  }

  void kill(int Index) {
    Vm &Host = m_Vms[Index];
    ++Host.m_Boot;
    Host.m_Known = {};
    Host.m_Paused = false;
    Host.m_Backlog.clear();
    Host.m_Table = SingleRunTable(SingleRunTableOptions{});
    Host.m_Attempts.clear();
  }

  void pause(int Index) {
    Vm &Host = m_Vms[Index];
    Host.m_Paused = true;
    Host.m_LastLoop = m_Now;
    after(between(20, 900), [this, Index, Boot = Host.m_Boot] {
      Vm &Resumed = m_Vms[Index];
      if (Resumed.m_Boot != Boot)
        return;
      // What lay in the sockets is read before the clock's gap is noticed,
      // or after it.
      const bool NoticesFirst = chance(0.5);
      if (NoticesFirst)
        noticePause(Index);
      std::vector<Action> Backlog = std::exchange(Resumed.m_Backlog, {});
      m_KnownAtPause = Resumed.m_Known;
      m_ReadsBacklog = true;
      for (const Action &Each : Backlog)
        Each();
      m_ReadsBacklog = false;
      Resumed.m_Paused = false;
      if (!NoticesFirst)
        noticePause(Index);
    });
  }

  void noticePause(int Index) {
    std::vector<AttemptToken> Tokens;
    for (const auto &[Token, Each] : m_Vms[Index].m_Attempts)
      Tokens.push_back(Token);
    for (const AttemptToken &Token : Tokens)
      with(Index, Token, [this](SingleRunAttempt &Attempt) {
        return Attempt.onPause(m_Now);
      });
  }

  // Callers.

  void beginTry(int Key) {
    Caller &Who = m_Callers[Key];
    if (Who.m_Done || Who.m_Try + 1 == MaxTries)
      return;
    ++Who.m_Try;
    Who.m_Open = true;
    Who.m_Vm = anyVm();
    const int Try = Who.m_Try;
    const int Index = Who.m_Vm;
    const int Boot = m_Vms[Index].m_Boot;
    at(Index, Boot, milliseconds(1),
       [this, Index, Key, Try] { receive(Index, Key, Try); });
    // A caller may lose patience while its attempt may still be sent.
    after(between(30, 400), [this, Index, Boot, Key, Try] {
      Caller &Waiting = m_Callers[Key];
      if (!Waiting.m_Open || Waiting.m_Try != Try)
        return;
      Waiting.m_Open = false;
      if (chance(0.5))
        at(Index, Boot, milliseconds(1),
           [this, Index, Key, Try] { leave(Index, Key, Try); });
      beginTry(Key);
    });
  }

  void leave(int Index, int Key, int Try) {
    for (auto &[Token, Each] : m_Vms[Index].m_Attempts) {
      if (Each.m_Key != Key || Each.m_Try != Try)
        continue;
      with(Index, AttemptToken(Token), [this](SingleRunAttempt &Attempt) {
        return Attempt.onCallerDisconnect(m_Now);
      });
      return;
    }
  }

  void receive(int Index, int Key, int Try) {
    Vm &Host = m_Vms[Index];
    const AttemptToken Token(fmt::format("{}-{}", Key, Try));
    const WaiterId Waiter(m_Waiters.size());
    m_Waiters.emplace_back(
        [this, Key, Try](const std::optional<SingleRunOutcome> &Outcome) {
          tellJoined(Key, Try, Outcome);
        });
    const JoinResult Joined = Host.m_Table.join(
        ServiceName("s"), keyOf(Key), Fingerprint(7), Token, Waiter, m_Now);
    if (Joined.m_Kind == JoinResult::Kind::Ended)
      tellJoined(Key, Try, Joined.m_Outcome);
    if (Joined.m_Kind != JoinResult::Kind::Begin)
      return;
    const TimePoint Start = m_ReadsBacklog ? Host.m_LastLoop : m_Now;
    const bool IsVouched = Try == 0 && chance(0.3);
    SingleRunAttempt Attempt(
        {.m_Service = ServiceName("s"),
         .m_Key = keyOf(Key),
         .m_Fingerprint = Fingerprint(7),
         .m_Token = Token,
         .m_Vm = Host.m_Name,
         .m_Boot = Host.boot(),
         .m_History = IsVouched ? KeyHistory::Fresh : KeyHistory::Unknown,
         .m_Start = Start,
         .m_KnownRevision = m_ReadsBacklog ? m_KnownAtPause : Host.m_Known,
         .m_SendBy = Start + SendWindow,
         .m_Deadline = Start + AttemptDeadline});
    Host.m_Attempts.emplace(Token, Hosted{std::move(Attempt), Key, Try, {}});
    with(Index, Token,
         [this](SingleRunAttempt &Begun) { return Begun.start(m_Now); });
  }

  void tellJoined(int Key, int Try,
                  const std::optional<SingleRunOutcome> &Outcome) {
    if (Outcome && Outcome->m_Phase == SingleRunPhase::Ran)
      tell(Key, Try, RunVerdict::Ran, Outcome->m_Result);
    else
      tell(Key, Try, Outcome ? Outcome->m_Verdict : RunVerdict::MayHaveRun, "");
  }

  void tell(int Key, int Try, RunVerdict Verdict, const std::string &Result) {
    after(milliseconds(1), [=, this] { hear(Key, Try, Verdict, Result); });
  }

  void hear(int Key, int Try, RunVerdict Verdict, const std::string &Result) {
    Caller &Who = m_Callers[Key];
    if (!Who.m_Open || Who.m_Try != Try)
      return;
    Who.m_Open = false;
    if (Verdict == RunVerdict::Ran) {
      ++m_Tally.m_Answers;
      Who.m_Done = true;
      if (Who.m_Runs != 1 || Result != fmt::format("result-{}", Key))
        m_Faults.push_back(fmt::format("key {}: answer without a run", Key));
      return;
    }
    if (Verdict == RunVerdict::MayHaveRun) {
      ++m_Tally.m_MayHaveRun;
    } else {
      ++m_Tally.m_NotRun;
      Who.m_NotRunUpTo = Try;
      if (Who.m_Runs > 0)
        m_Faults.push_back(fmt::format("key {}: not-run after a run", Key));
      if (chance(m_Rates.m_CallerStops)) {
        Who.m_Done = true; // Whatever runs later is a fault.
        return;
      }
    }
    after(between(1, 50), [this, Key] { beginTry(Key); });
  }

  // Actions of attempts.

  template <typename Event>
  void with(int Index, const AttemptToken &Token, Event Do) {
    Vm &Host = m_Vms[Index];
    const auto Found = Host.m_Attempts.find(Token);
    if (Found == Host.m_Attempts.end())
      return;
    Hosted &Each = Found->second;
    for (SingleRunAction &Next : Do(Each.m_Attempt))
      std::visit([&](auto &What) { perform(Index, Token, Each, What); }, Next);
    finishEvent(Index, Token, Each);
  }

  void finishEvent(int Index, const AttemptToken &Token, Hosted &Each) {
    Vm &Host = m_Vms[Index];
    const SingleRunAttempt &Attempt = Each.m_Attempt;
    if (Attempt.outcome() || Attempt.isOver())
      for (const WaiterId Waiter :
           Host.m_Table.end(Token, Attempt.outcome(), m_Now))
        m_Waiters[Waiter.value()](Attempt.outcome());
    if (Attempt.recordedAt())
      Host.m_Table.markRecorded(Token, *Attempt.recordedAt());
    const std::optional<TimePoint> Timer = Attempt.nextTimer();
    if (Timer && Timer != Each.m_Timer) {
      at(Index, Host.m_Boot, std::max(*Timer - m_Now, Duration::zero()),
         [this, Index, Token] {
           with(Index, Token,
                [this](SingleRunAttempt &Due) { return Due.onTimer(m_Now); });
         });
    }
    Each.m_Timer = Timer;
    if (Attempt.isOver())
      Host.m_Attempts.erase(Token);
  }

  void perform(int, const AttemptToken &, Hosted &Each, Answer &What) {
    tell(Each.m_Key, Each.m_Try, RunVerdict::Ran, What.m_Result);
  }

  void perform(int, const AttemptToken &, Hosted &Each, Refuse &What) {
    tell(Each.m_Key, Each.m_Try, What.m_Refusal.m_Verdict, "");
  }

  void perform(int Index, const AttemptToken &Token, Hosted &,
               CreateRecord &What) {
    operate(Index, Token, [this, What] { return m_Store.create(What); });
  }

  void perform(int Index, const AttemptToken &Token, Hosted &,
               UpdateRecord &What) {
    operate(Index, Token, [this, What] { return m_Store.update(What); });
  }

  void perform(int Index, const AttemptToken &Token, Hosted &,
               ReadRecord &What) {
    operate(Index, Token, [this, What] { return m_Store.read(What); });
  }

  void perform(int Index, const AttemptToken &Token, Hosted &Each,
               SendOnce &What) {
    if (m_Now >= What.m_SendBy)
      m_Faults.push_back("sent after its send-by time");
    const int Key = Each.m_Key;
    if (chance(m_Rates.m_ConnectFailure)) {
      result(Index, Token, milliseconds(3),
             {.m_Verdict = RunVerdict::NotRun, .m_Error = Errc::ConnectFailed});
      return;
    }
    const bool IsLost = chance(m_Rates.m_LostResult);
    const milliseconds Arrival = between(1, 40);
    if (!IsLost || chance(0.7))
      after(Arrival, [this, Key, Try = Each.m_Try] { runOnce(Key, Try); });
    if (IsLost)
      result(Index, Token, between(1, 60), {.m_Error = Errc::ConnectionClosed});
    else
      result(Index, Token, Arrival + between(1, 300),
             {.m_Verdict = RunVerdict::Ran,
              .m_Result = fmt::format("result-{}", Key)});
  }

  void perform(int Index, const AttemptToken &Token, Hosted &,
               AskHolder &What) {
    const int Boot = m_Vms[Index].m_Boot;
    const auto Deliver = [this, Index, Boot, Token](const HolderReply &Reply) {
      at(Index, Boot, milliseconds(1), [this, Index, Token, Reply] {
        with(Index, Token, [this, Reply](SingleRunAttempt &Asking) {
          return Asking.onHolderReply(Reply, m_Now);
        });
      });
    };
    int Holder = 0;
    while (m_Vms[Holder].m_Name != What.m_Vm)
      ++Holder;
    const bool IsGone = m_Vms[Holder].boot() != What.m_Boot;
    if (IsGone || chance(m_Rates.m_LostPeerCall)) {
      after(milliseconds(20), [Deliver] { Deliver({}); });
      return;
    }
    at(Holder, m_Vms[Holder].m_Boot, milliseconds(1),
       [this, Holder, Deliver, Asked = What.m_Token] {
         SingleRunTable &Table = m_Vms[Holder].m_Table;
         const WaiterId Waiter(m_Waiters.size());
         m_Waiters.emplace_back(
             [Deliver](const std::optional<SingleRunOutcome> &Outcome) {
               HolderReply Told;
               if (Outcome)
                 Told = {.m_Kind = HolderReply::Kind::Settled,
                         .m_Outcome = *Outcome};
               Deliver(Told);
             });
         if (const auto Known = Table.ask(Asked, Waiter, m_Now))
           Deliver(*Known);
       });
  }

  void result(int Index, const AttemptToken &Token, Duration Delay,
              RunResult Result) {
    at(Index, m_Vms[Index].m_Boot, Delay, [this, Index, Token, Result] {
      with(Index, Token, [this, Result](SingleRunAttempt &Sent) {
        return Sent.onRunResult(Result, m_Now);
      });
    });
  }

  // The target.

  void runOnce(int Key, int Try) {
    Caller &Who = m_Callers[Key];
    ++Who.m_Runs;
    if (Who.m_Runs > 1)
      m_Faults.push_back(fmt::format("key {}: ran twice", Key));
    if (Try <= Who.m_NotRunUpTo)
      m_Faults.push_back(fmt::format("key {}: ran after not-run", Key));
    m_Tally.m_RunsAfterRelease += Who.m_NotRunUpTo >= 0 ? 1 : 0;
  }

  // The platform.

  template <typename Operation>
  void operate(int Index, const AttemptToken &Token, Operation Apply) {
    const int Boot = m_Vms[Index].m_Boot;
    const auto Deliver = [this, Index, Boot, Token](Duration Delay,
                                                    RecordReply Reply) {
      at(Index, Boot, Delay, [this, Index, Token, Reply] {
        Vm &Host = m_Vms[Index];
        Host.m_Known = std::max(Host.m_Known, Reply.m_Revision);
        with(Index, Token, [this, Reply](SingleRunAttempt &Waiting) {
          return Waiting.onRecordReply(Reply, m_Now);
        });
      });
    };
    const bool IsLate = chance(m_Rates.m_LateWrite);
    const bool LosesReply = IsLate || chance(m_Rates.m_LostReply);
    const bool LosesRequest = chance(m_Rates.m_LostRequest);
    if (LosesReply || LosesRequest)
      Deliver(OperationTimeout, {.m_Kind = RecordReply::Kind::Unknown});
    if (LosesRequest)
      return;
    after(IsLate ? between(40, 600) : between(1, 15), [=, this] {
      const RecordReply Reply =
          m_Down ? RecordReply{.m_Kind = RecordReply::Kind::Unavailable}
                 : Apply();
      if (!LosesReply)
        Deliver(between(1, 15), Reply);
    });
  }

  Faults m_Rates;
  std::vector<Vm> m_Vms;
  std::vector<Caller> m_Callers;
  std::vector<std::function<void(const std::optional<SingleRunOutcome> &)>>
      m_Waiters;
  RecordStoreFake m_Store;
  StoreRevision m_KnownAtPause;
  bool m_ReadsBacklog = false;
  bool m_Down = false;
  Tally m_Tally;
  std::vector<std::string> m_Faults;
};

} // namespace figturn

#endif // FIGTURN_SUPPORT_SINGLERUNWORLD_H
