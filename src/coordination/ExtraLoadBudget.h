#ifndef FIGTURN_COORDINATION_EXTRALOADBUDGET_H
#define FIGTURN_COORDINATION_EXTRALOADBUDGET_H

/**
 * Limits hedges and retries to a share of first calls, so that failing targets
 * don't receive a multiple of their load. Not thread-safe: each worker has an
 * object of its own for each service.
 */

#include <cstddef>
#include <cstdint>

namespace figturn {

/** Token bucket filled by first calls and drained by extra calls. */
class ExtraLoadBudget {
public:
  /** Extra calls may be \p Share of first calls (0.05 = 5%); at most \p Burst
   *  unspent tokens are kept. The bucket starts with \p Reserve tokens, so that
   *  a lost connection costs no coverage before any call has added tokens;
   *  extra calls never exceed the share by more than the reserve. */
  ExtraLoadBudget(double Share, double Burst, double Reserve = 0);

  /** Adds the tokens for \p FirstCalls sent calls. */
  void recordFirstCalls(std::uint32_t FirstCalls);

  /** Takes the token for one extra call; false if there is none. */
  bool tryAcquire();

  /** Returns the token of an extra call that was not sent. */
  void release();

  /** Changes the maximum number of unspent tokens. */
  void setBurst(double Burst);

  /** Changes the share, when a new configuration takes effect. */
  void setShare(double Share);

private:
  double m_Share;
  double m_Burst;
  double m_Tokens = 0;
};

/** Tokens of one VM's budget for one service. */
struct ExtraLoadShare {
  double m_Burst = 1;   ///< Maximum number of unspent tokens.
  double m_Reserve = 0; ///< Tokens before the first call.
};

/** The part \p Share, from 0 to 1, of a VM in \p Slack, the extra calls that
 * all VMs together may send beyond their share of first calls. \p Share may be
 * too high: a VM that has just started doesn't know the others yet. */
ExtraLoadShare extraLoadShare(double Slack, double Share);

} // namespace figturn

#endif // FIGTURN_COORDINATION_EXTRALOADBUDGET_H
