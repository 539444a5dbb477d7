#ifndef FIGTURN_NODE_CONFIGUPDATER_H
#define FIGTURN_NODE_CONFIGUPDATER_H

/**
 * Keeps the configuration and index snapshots of this VM up to date: reads and
 * watches the platform's objects, pulls newer ones from peers, and accepts
 * configurations pushed by `figturn apply`. Confined to the control thread.
 */

#include "node/MembershipTable.h"
#include "node/RoutingTable.h"
#include "protocol/ObjectStore.h"
#include "protocol/PeerMessages.h"
#include "transport/HttpServer.h"
#include "transport/PeerNetwork.h"

#include <QObject>
#include <QTimer>
#include <functional>
#include <map>
#include <set>

namespace figturn {

/** Dependencies of the updater; all outlive it. */
struct ConfigUpdaterContext {
  Member m_Self;
  ObjectStore &m_Store;
  PeerNetwork &m_Peers;
  RoutingTable &m_Routing;
  MembershipTable &m_Membership;
  /** Posts to the control thread from any thread. */
  std::function<void(std::function<void()>)> m_Post;
  /** Called when a newer configuration or index has been installed, and when
   *  hasReadIndexes() may have become true. */
  std::function<void()> m_OnChanged;
};

/** Updates the configuration and indexes of one VM. */
class ConfigUpdater : public QObject {
public:
  explicit ConfigUpdater(ConfigUpdaterContext Context);

  void start();
  /** Pulls the documents of a peer whose heartbeat shows a newer configuration
   *  or other index versions than those held here. */
  void onPeerHeartbeat(const PeerHeartbeat &Message);
  /** Starts to read the index of \p Service from the platform, unless a read
   *  is in progress. */
  void refreshIndex(const ServiceName &Service);
  /** Whether each service of the configuration has an index, or the platform
   *  has been asked for it once and gave none. */
  bool hasReadIndexes() const;
  /** The documents held here at \p Paths, for peers. */
  std::vector<PeerDocument>
  heldDocuments(const std::vector<std::string> &Paths) const;
  /** Installs a document from a peer or a push, unless the one held is at least
   *  as new. Returns false if its path is unknown or its content is invalid. */
  bool install(const PeerDocument &Document);

private:
  void tick();
  void readConfig();
  void readIndex(const ServiceName &Service);
  void watchConfig();
  bool installConfig(const PeerDocument &Document);
  bool installIndex(const ServiceName &Service, const PeerDocument &Document);
  void pullFromPeer(const std::string &Address);
  bool isWatcher() const;
  std::vector<std::string> documentPaths() const;

  ConfigUpdaterContext m_Context;
  QTimer m_Timer;
  std::uint64_t m_TickCount = 0;
  std::map<std::string, PeerDocument> m_Documents; ///< By path.
  std::set<std::string> m_Reading;                 ///< Paths being read.
  std::set<ServiceName> m_IndexesAsked; ///< Services whose index was read.
  bool m_Watching = false;
  bool m_Pulling = false;
};

} // namespace figturn

#endif // FIGTURN_NODE_CONFIGUPDATER_H
