#ifndef FIGTURN_CLI_ACTIVATIONWAIT_H
#define FIGTURN_CLI_ACTIVATIONWAIT_H

/**
 * Pushes an accepted configuration to entry VMs and waits until they report
 * that it is in force. The push makes it take effect even if the platform goes
 * down right after it accepted the change.
 */

#include "state/Ids.h"
#include "state/Time.h"
#include "transport/HttpFetcher.h"

#include <string>
#include <vector>

namespace figturn {

/** The version to wait for and the entry VMs to query. */
struct ActivationWaitOptions {
  ConfigVersion m_Version;
  std::string m_Body;                 ///< The object `config`; empty: no push.
  std::vector<std::string> m_Entries; ///< "IP:port" of entry VMs.
  milliseconds m_WaitTimeout{6000};
  milliseconds m_PollInterval{200};
};

/** An entry VM that reports neither the version nor a later one. */
struct LaggingEntry {
  std::string m_Entry;
  std::string m_Reason; ///< "no answer" or the version it reports.
};

/** Blocks until all entry VMs report the version or a later one as in force, or
 *  the timeout expires. Returns the others. */
std::vector<LaggingEntry> waitUntilActive(const ActivationWaitOptions &Options);

} // namespace figturn

#endif // FIGTURN_CLI_ACTIVATIONWAIT_H
