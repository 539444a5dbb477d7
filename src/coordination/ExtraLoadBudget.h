#ifndef FIGTURN_COORDINATION_EXTRALOADBUDGET_H
#define FIGTURN_COORDINATION_EXTRALOADBUDGET_H

/**
 * Bounds hedges and retries to a share of first calls, so that trouble at
 * the targets can't multiply the load on them. One object per service; it
 * has no lock of its own, its owner holds one (LockRank::Budgets) around the
 * query's events or gives each worker its own budget.
 */

#include <cstdint>

namespace figturn {

/** Tokens that first calls earn and extra calls spend. */
class ExtraLoadBudget {
public:
  /** \p Share of first calls may be extra (0.05 = 5%); at most \p Burst
   *  unspent tokens are kept. \p Reserve tokens are there at the start, so
   *  that a lost connection costs no coverage before calls have earned any;
   *  extra calls never exceed the share by more than the reserve. */
  ExtraLoadBudget(double Share, double Burst, double Reserve = 0);

  /** Notes \p FirstCalls sent. */
  void earn(std::uint32_t FirstCalls);

  /** Takes the token for one extra call; false if there is none. */
  bool trySpend();

  /** Gives a token back: the extra call was not sent after all. */
  void refund();

  /** Changes how many unspent tokens are kept. */
  void setBurst(double Burst);

  /** Changes the share when a new configuration comes in force. */
  void setShare(double Share);

private:
  double m_Share;
  double m_Burst;
  double m_Tokens = 0;
};

} // namespace figturn

#endif // FIGTURN_COORDINATION_EXTRALOADBUDGET_H
