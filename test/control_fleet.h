#ifndef WISTERIAREEL_TEST_CONTROL_FLEET_H_
#define WISTERIAREEL_TEST_CONTROL_FLEET_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "standin/fakes/fake_peer_network.h"
#include "standin/fakes/manual_clock.h"
#include "standin/fakes/memory_instance_list.h"
#include "standin/fakes/memory_table.h"
#include "wisteriareel/config_follower.h"
#include "wisteriareel/config_published.h"
#include "wisteriareel/config_table_store.h"
#include "wisteriareel/membership.h"
#include "wisteriareel/peer_dispatcher.h"

namespace wisteriareel {

// One instance's connection to the shared table service, which can be cut
// independently of others. Thread-safe.
class TableLink final : public TableService {
 public:
  explicit TableLink(TableService* table) : table_(table) {}

  void SetUp(bool up) { up_ = up; }
  std::uint64_t rows_read() const { return rows_read_; }

  CommitOutcome Commit(const Transaction& transaction,
                       absl::Duration timeout) override {
    if (!up_) return CommitOutcome::kRejected;
    return table_->Commit(transaction, timeout);
  }
  std::optional<std::vector<Row>> Read(const std::vector<RowKey>& keys,
                                       absl::Duration timeout,
                                       LastReason* reason) override {
    if (!Check(reason)) return std::nullopt;
    rows_read_ += keys.size();
    return table_->Read(keys, timeout, reason);
  }
  std::optional<std::vector<Row>> Scan(const std::string& table,
                                       const std::string& after, int limit,
                                       absl::Duration timeout,
                                       LastReason* reason) override {
    if (!Check(reason)) return std::nullopt;
    auto rows = table_->Scan(table, after, limit, timeout, reason);
    if (rows) rows_read_ += rows->size();
    return rows;
  }

 private:
  bool Check(LastReason* reason) const {
    if (up_) return true;
    reason->Set(Reason::kPlatformUnavailable, "link cut");
    return false;
  }

  TableService* const table_;
  std::atomic<bool> up_ = true;
  std::atomic<std::uint64_t> rows_read_ = 0;
};

// The control plane of one instance: membership, configuration follower and
// configuration store.
struct ControlInstance {
  ControlInstance(const ListedInstance& listed, Clock* clock,
                  TableService* table, InstanceList* list,
                  FakePeerNetwork* network, RandomSource* random)
      : id(listed.id),
        zone(listed.zone),
        link(table),
        membership({.self = id,
                    .region = listed.region,
                    .zone = zone,
                    .endpoint = listed.endpoint,
                    .clock = clock,
                    .list = list,
                    .transport = network->From(id),
                    .config = &config,
                    .random = random}),
        follower({.self = id,
                  .zone = zone,
                  .clock = clock,
                  .table = &link,
                  .config = &config,
                  .membership = &membership,
                  .transport = network->From(id),
                  .random = random,
                  .wake = [this] { woken = true; }}),
        store({.clock = clock, .table = &link, .rollout = &membership}) {
    for (const auto kind :
         {PeerMessageKind::kHeartbeat, PeerMessageKind::kZoneDigest,
          PeerMessageKind::kTargetState}) {
      dispatcher.Register(kind, &membership);
    }
    for (const auto kind :
         {PeerMessageKind::kRevision, PeerMessageKind::kConfigPull,
          PeerMessageKind::kConfigDeltas}) {
      dispatcher.Register(kind, &follower);
    }
    network->Attach(id, &dispatcher);
  }

  Revision revision() const { return config.Snapshot()->revision(); }

  const InstanceId id;
  const ZoneId zone;
  // Whether messages are queued for the follower's next step.
  std::atomic<bool> woken = false;
  TableLink link;
  PublishedConfig config;
  Membership membership;
  ConfigFollower follower;
  TableConfigStore store;
  PeerDispatcher dispatcher;
};

// Several instances that share a table, an instance list, a network and a
// clock. Tests step them explicitly.
class ControlFleet {
 public:
  static constexpr absl::Duration kTick = absl::Milliseconds(250);

  ControlFleet(int zones, int instances_per_zone, std::uint64_t seed = 1)
      : random_(MakeSeededRandom(seed)) {
    for (int z = 0; z < zones; ++z) {
      for (int i = 0; i < instances_per_zone; ++i) {
        const std::string id = absl::StrCat("instance-", z, "-", i);
        listed_.push_back({.id = id,
                           .region = RegionId("region"),
                           .zone = ZoneId(absl::StrCat("zone-", z)),
                           .endpoint = {"10.0.0.1", 7000}});
      }
    }
    list.Set(listed_);
    for (const ListedInstance& listed : listed_) {
      instances.push_back(Make(listed));
    }
  }

  // Replaces an instance by a new one without any state.
  void Restart(std::size_t i) {
    network.Attach(instances[i]->id, nullptr);
    instances[i] = nullptr;
    instances[i] = Make(listed_[i]);
  }

  // Removes an instance without notice to the others.
  void Kill(std::size_t i) {
    network.Attach(instances[i]->id, nullptr);
    instances[i] = nullptr;
  }

  // Steps all instances once and advances the clock. Delivers all messages at
  // once, or, if `shuffled` is set, drops, duplicates and reorders them.
  void Tick(bool shuffled = false) {
    for (const auto& instance : instances) {
      if (instance == nullptr) continue;
      instance->membership.Step();
      instance->follower.Step();
    }
    if (!shuffled) DeliverUntilIdle();
    for (std::size_t n = 40 * instances.size(); shuffled && n > 0; --n) {
      if (!network.DeliverRandom(random_.get())) break;
    }
    clock.Advance(kTick);
  }

  void Run(absl::Duration duration) {
    const absl::Time end = clock.Now() + duration;
    while (clock.Now() < end) Tick();
  }

  const std::vector<ListedInstance>& listed() const { return listed_; }

  ManualClock clock;
  MemoryTable table;
  MemoryInstanceList list;
  FakePeerNetwork network;
  std::vector<std::unique_ptr<ControlInstance>> instances;

 private:
  // Delivers messages and steps the woken followers until no message is left.
  void DeliverUntilIdle() {
    while (network.DeliverAll() > 0) {
      for (const auto& instance : instances) {
        if (instance == nullptr || !instance->woken.exchange(false)) continue;
        instance->follower.Step();
      }
    }
  }

  std::unique_ptr<ControlInstance> Make(const ListedInstance& listed) {
    return std::make_unique<ControlInstance>(listed, &clock, &table, &list,
                                             &network, random_.get());
  }

  std::vector<ListedInstance> listed_;
  std::unique_ptr<RandomSource> random_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_TEST_CONTROL_FLEET_H_
