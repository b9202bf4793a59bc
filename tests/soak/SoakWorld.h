#ifndef TESTS_SOAK_SOAKWORLD_H
#define TESTS_SOAK_SOAKWORLD_H

#include "core/MonotonicClock.h"
#include "soak/SoakCaller.h"
#include "soak/SoakHost.h"
#include "soak/SoakNetwork.h"
#include "soak/SoakOptions.h"
#include "soak/SoakServer.h"
#include "support/StoreStandin.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <list>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lacewing {

/** A complete installation on loopback: store, servers, hosts and callers. */
class SoakWorld
{
public:
  explicit SoakWorld(const SoakOptions& aOptions);

  asio::io_context& Context() { return context_; }
  const Clock& Time() const { return clock_; }
  SoakLedger& Ledger() { return ledger_; }
  const SoakTerms& Terms() const { return terms_; }
  StoreStandin& Store() { return store_; }
  std::vector<std::unique_ptr<SoakHost>>& Hosts() { return hosts_; }
  std::list<SoakServer>& Servers() { return servers_; }

  /** Runs aDo after aDelay, on the thread that runs Context(). */
  void After(Duration aDelay, std::function<void()> aDo);

  /**
   * Starts the hosts, waits up to the recovery bound until all are ready, then
   * starts the callers.
   */
  void Start();
  void RunUntil(TimePoint aEnd);
  /** Runs until all hosts are ready; returns false if that exceeds aLimit. */
  bool RunUntilReady(Duration aLimit);

  /** Starts a new server, cold if aCold, and adds its entry to the store. */
  SoakServer& AddServer(const ServiceId& aService,
                        const ZoneId& aZone,
                        bool aCold);
  /** Removes the server's entry from the store and stops the server. */
  void RemoveServer(const TargetId& aServer);
  /** Restarts a stopped server, cold, with a new id at its old address. */
  void ReviveServer(SoakServer& aServer, const ServiceId& aService);
  void WriteServer(SoakServer& aServer);
  /** The server drains now and exits some time later. */
  void RetireServer(SoakServer& aServer);
  SoakServer* FindServer(const TargetId& aServer);
  /** Returns the link that listens at aListen; null if there is none now. */
  ProxyPair* FindLink(const Endpoint& aListen);
  /** Picks a serving server at random; null if its service has too few. */
  SoakServer* PickServer(std::mt19937_64& aRandom);

  /** Writes a configuration version in which the routes swap their services. */
  void MoveRoute();
  /** Evacuates a zone, or takes that back. */
  void SetZoneOut(const ZoneId& aZone, bool aOut);
  bool ZoneOut(const ZoneId& aZone) const { return zonesOut_.count(aZone) > 0; }

  /**
   * From now on the store accepts nothing, until it comes back; all writers
   * have written again what was lost by aSettled.
   */
  void OnStoreAway(TimePoint aSettled);
  void OnStoreBack() { storeAway_ = false; }
  bool StoreAway() const { return storeAway_; }
  // What the writers do after the store has lost some of their changes.
  void RewriteConfiguration();
  void RewriteServer(const TargetId& aServer);
  void RewriteZonesOut();
  /** The store drops entries of servers that give no sign of life. */
  void DropSilentServers();

  /** Writes a configuration version with this limit for idle connections. */
  void SetIdleLimit(Duration aLimit);

  /**
   * How late the thread of the callers and servers was at most. When the
   * machine is that busy, hosts rightly refuse requests.
   */
  Duration LongestDelay() const { return longestDelay_; }

  ZoneId ZoneAt(std::size_t aIndex) const;
  std::size_t Zones() const { return options_.zones; }

private:
  nlohmann::json HostSettings(std::size_t aIndex) const;
  /** A new version. */
  void WriteConfiguration();
  nlohmann::json Configuration() const;
  ServiceId ServiceOf(const char* aPrefix) const;
  nlohmann::json EntryOf(const SoakServer& aServer) const;
  void ExitLater(const TargetId& aServer, Duration aDelay);
  void StartProcess(SoakServer& aServer);
  void Poll();
  SoakHost* PickHost(const CallerHabit& aHabit);
  SoakRequest MakeRequest();

  const SoakOptions options_;
  const SoakTerms terms_;
  std::mt19937_64 random_;
  MonotonicClock clock_;
  asio::io_context context_;
  SoakNetwork network_;
  SoakLedger ledger_;
  StoreStandin store_;
  std::list<SoakServer> servers_;
  std::vector<std::unique_ptr<SoakHost>> hosts_;
  std::vector<std::unique_ptr<SoakCaller>> callers_;
  std::list<asio::steady_timer> timers_;
  asio::steady_timer poll_;
  std::uint64_t version_ = 0;
  std::set<ZoneId> zonesOut_;
  bool storeAway_ = false;
  bool moved_ = false;
  Duration longestDelay_{};
  Duration idleLimit_ = std::chrono::seconds(1);
  std::uint64_t requests_ = 0;
  std::uint64_t serverCount_ = 0;
};

} // namespace lacewing

#endif // TESTS_SOAK_SOAKWORLD_H
