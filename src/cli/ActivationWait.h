#ifndef FIGTURN_CLI_ACTIVATIONWAIT_H
#define FIGTURN_CLI_ACTIVATIONWAIT_H

/**
 * Hands an accepted configuration to entry VMs and waits until they report it
 * in force. The hand-over makes it come in force even if the platform goes
 * down right after it accepted the change.
 */

#include "state/Ids.h"
#include "state/Time.h"
#include "transport/HttpFetcher.h"

#include <string>
#include <vector>

namespace figturn {

/** Which version to wait for, and where. */
struct ActivationWaitOptions {
  ConfigVersion m_Version;
  std::string m_Body; ///< The object `config`; empty: nothing is handed over.
  std::vector<std::string> m_Entries; ///< "IP:port" of entry VMs.
  milliseconds m_WaitTimeout{6000};
  milliseconds m_PollInterval{200};
};

/** An entry VM that does not report the version. */
struct LaggingEntry {
  std::string m_Entry;
  std::string m_Reason; ///< "no answer" or the version that it reports.
};

/** Blocks until all entries report the version or the time is over; the
 *  entries that don't. */
std::vector<LaggingEntry> waitUntilActive(const ActivationWaitOptions &Options);

} // namespace figturn

#endif // FIGTURN_CLI_ACTIVATIONWAIT_H
