#ifndef FIGTURN_PROTOCOL_VMLIST_H
#define FIGTURN_PROTOCOL_VMLIST_H

/**
 * The platform's list of live and leaving VMs. It may be outdated: it is used
 * to find peers, never as proof that a peer is alive.
 */

#include "state/Ids.h"

#include <functional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace figturn {

/** The software that runs on a VM. */
enum class VmRole { Entry, Target };

/** State of a VM in the platform. */
enum class VmState { Live, Leaving };

/** An entry of the list. */
struct VmEntry {
  VmName m_Name;
  DataCentreName m_DataCentre;
  std::string m_Address; ///< "IP:port".
  VmRole m_Role = VmRole::Entry;
  VmState m_State = VmState::Live;
};

/** The list or an error. */
struct VmListResult {
  std::error_code m_Error; ///< Not set, PlatformUnavailable or BadReply.
  std::vector<VmEntry> m_Vms;
};

/** Source of the list. */
class VmListSource {
public:
  using Handler = std::function<void(VmListResult)>;

  virtual ~VmListSource() = default;

  /** Fetches the list; \p OnResult runs once, asynchronously. */
  virtual void fetchVmList(Handler OnResult) = 0;
};

/** Decodes the VM list. VMs without a name or with an unknown role are
 *  omitted; a VM with an unknown state counts as leaving. */
VmListResult decodeVmList(std::string_view Body);

} // namespace figturn

#endif // FIGTURN_PROTOCOL_VMLIST_H
