#ifndef FIGTURN_NODE_CONFIGSYNCHRONIZER_H
#define FIGTURN_NODE_CONFIGSYNCHRONIZER_H

/**
 * Keeps the configuration and the index snapshots of this VM current: reads
 * and watches the platform's objects, pulls newer ones from peers, and takes
 * what `figturn apply` pushes. Lives on the control thread.
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

/** What the keeper works with; all outlive it. */
struct ConfigSynchronizerContext {
  Member m_Self;
  ObjectStore &m_Store;
  PeerNetwork &m_Peers;
  RoutingTable &m_Routing;
  MembershipTable &m_Membership;
  /** Posts to the control thread from any thread. */
  std::function<void(std::function<void()>)> m_Post;
  /** A newer configuration came in force. */
  std::function<void()> m_OnInstalled;
};

/** Configuration and indexes of one VM. */
class ConfigSynchronizer : public QObject {
public:
  explicit ConfigSynchronizer(ConfigSynchronizerContext Context);

  void start();
  /** A peer told what it holds. */
  void onPeerHeartbeat(const PeerHeartbeat &Beat);
  /** Reads the index of \p Service soon. */
  void refreshIndex(const ServiceName &Service);
  /** Objects as held here, for peers. */
  std::vector<PeerDocument>
  heldDocuments(const std::vector<std::string> &Paths) const;
  /** Takes a document from a peer, the platform or a push. False if it is
   *  malformed. */
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
  std::vector<std::string> heldPaths() const;

  ConfigSynchronizerContext m_Context;
  QTimer m_Timer;
  std::uint64_t m_TickCount = 0;
  std::map<std::string, PeerDocument> m_Documents; ///< By path.
  std::set<std::string> m_Reading;
  bool m_Watching = false;
  bool m_Pulling = false;
};

} // namespace figturn

#endif // FIGTURN_NODE_CONFIGSYNCHRONIZER_H
