#ifndef FIGTURN_TEST_SUPPORT_STATESYNCHRONIZERFIXTURE_H
#define FIGTURN_TEST_SUPPORT_STATESYNCHRONIZERFIXTURE_H

/** A state synchronizer with a stand-in for the platform's store. */

#include "platform/StateSynchronizer.h"
#include "standin/RoutedStandins.h"
#include "support/FakeTarget.h"
#include "support/RoutedFleet.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace figturn::test {

/** Records the updates that it receives. */
class PlatformRecorder final : public PlatformListener {
public:
  void onConfig(RoutingConfigPtr Config) override {
    m_Versions.push_back(Config->version().value());
  }
  void onTargets(std::vector<TargetEntry> Entries, TimePoint) override {
    m_Listings.push_back(Entries.size());
    for (const TargetEntry &Each : Entries)
      m_IsDraining[Each.m_Instance.m_Name.value()] = Each.m_Draining;
  }
  void onTarget(TargetEntry Entry, TimePoint) override {
    m_Changed.push_back(Entry.m_Instance.m_Name.value());
  }
  void onTargetRemoved(const TargetName &Name, TimePoint PresentAt) override {
    m_Removed.push_back(Name.value());
    m_PresentAt = PresentAt;
  }
  void onEvacuations(std::set<DataCentreName> Evacuated) override {
    m_Evacuated = std::move(Evacuated);
  }
  void onVmAddresses(const std::vector<std::string> &Addresses) override {
    m_Vms = Addresses;
  }

  std::vector<std::uint64_t> m_Versions;
  std::vector<std::size_t> m_Listings;
  std::vector<std::string> m_Changed;
  std::vector<std::string> m_Removed;
  std::map<std::string, bool> m_IsDraining; ///< By the last listing.
  TimePoint m_PresentAt;                    ///< Of the last removal.
  std::set<DataCentreName> m_Evacuated;
  std::vector<std::string> m_Vms;
};

/** A store with a configuration and one target, and a synchronizer. */
struct StateSynchronizerFixture {
  StateSynchronizerFixture() {
    ensureQtApplication();
    m_Store = std::make_unique<standin::StoreStandin>();
    m_Store->put("config", "main", routedConfig(3));
    m_Searcher =
        std::make_unique<standin::SearcherStandin>("i-1", "desk", "nz-south-a");
    m_Store->put("servers", "i-1", m_Searcher->entry());
  }
  ~StateSynchronizerFixture() {
    m_Synchronizer.reset();
    QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
  }
  /** \p TargetDrainTime also determines when the first watch is sent. */
  void start(milliseconds TargetDrainTime = milliseconds(3000)) {
    RoutedSettings Settings;
    Settings.m_Vm = VmName("vm-1");
    Settings.m_TargetDrainMs = static_cast<double>(TargetDrainTime.count());
    Settings.m_StoreAddress = m_Store->address();
    Settings.m_GossipAddress = "127.0.0.1:7740";
    m_Synchronizer = std::make_unique<platform::StateSynchronizer>(Settings, 1);
    m_Synchronizer->start(m_Recorder);
  }
  /** Makes the VM a sentinel that has been one for long. */
  void becomeSentinel() {
    m_Synchronizer->setRole(StoreRole::Sentinel);
    m_Synchronizer->onTick({}, Clock::now() + seconds(2));
  }
  /** Settings of a second VM. */
  RoutedSettings otherSettings() const {
    RoutedSettings Settings;
    Settings.m_Vm = VmName("vm-2");
    Settings.m_StoreAddress = m_Store->address();
    Settings.m_GossipAddress = "127.0.0.2:7740";
    return Settings;
  }
  void startAndSettle(milliseconds TargetDrainTime = milliseconds(3000)) {
    start(TargetDrainTime);
    processEventsUntil([&] {
      return m_Synchronizer->isCurrent() &&
             m_Store->m_RequestCounts["watch servers"] == 1 &&
             m_Store->m_RequestCounts["watch config"] == 1;
    });
  }

  std::unique_ptr<standin::StoreStandin> m_Store;
  std::unique_ptr<standin::SearcherStandin> m_Searcher;
  PlatformRecorder m_Recorder;
  std::unique_ptr<platform::StateSynchronizer> m_Synchronizer;
};

} // namespace figturn::test

#endif // FIGTURN_TEST_SUPPORT_STATESYNCHRONIZERFIXTURE_H
