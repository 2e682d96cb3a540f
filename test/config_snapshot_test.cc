#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "rapidcheck/gtest.h"
#include "src/config/config_reader.h"
#include "standin/fakes/manual_clock.h"
#include "standin/fakes/memory_table.h"
#include "test/config_test_support.h"
#include "wisteriareel/config_immutable_snapshot.h"
#include "wisteriareel/config_table_store.h"

namespace wisteriareel {
namespace {

using SnapshotPtr = std::shared_ptr<const ImmutableConfigSnapshot>;

// Returns the delta that applies `changes` on top of `snapshot`.
ConfigDelta DeltaOn(const ImmutableConfigSnapshot& snapshot,
                    const std::vector<EntryChange>& changes) {
  ConfigDelta delta{.revision = snapshot.revision().Next(),
                    .changes = changes,
                    .digest = snapshot.digest()};
  for (const EntryChange& change : changes) {
    const VersionedEntry* old = snapshot.FindEntry(change.key);
    if (old != nullptr) delta.digest ^= EntryDigest(change.key, old->version);
    if (change.value) delta.digest ^= EntryDigest(change.key, delta.revision);
  }
  return delta;
}

SnapshotPtr With(const SnapshotPtr& snapshot, const ConfigValue& value) {
  return snapshot->Apply(DeltaOn(*snapshot, {{KeyOf(value), value}}));
}

TEST(ImmutableConfigSnapshot, RefusesADeltaAfterAGap) {
  const auto empty = std::make_shared<const ImmutableConfigSnapshot>();
  const ConfigKey key = KeyOf(TestCustomer(1));
  const ConfigDelta delta{.revision = Revision(2),
                          .changes = {{key, TestCustomer(1)}},
                          .digest = EntryDigest(key, Revision(2))};
  EXPECT_EQ(empty->Apply(delta), nullptr);
}

TEST(ImmutableConfigSnapshot, RefusesADeltaWithAWrongDigest) {
  const auto empty = std::make_shared<const ImmutableConfigSnapshot>();
  ConfigDelta delta =
      DeltaOn(*empty, {{KeyOf(TestCustomer(1)), TestCustomer(1)}});
  delta.digest ^= 1;
  EXPECT_EQ(empty->Apply(delta), nullptr);
}

TEST(ImmutableConfigSnapshot, AppliesTheMostSpecificRule) {
  SnapshotPtr config = std::make_shared<const ImmutableConfigSnapshot>();
  const PoolId pool("p");
  config = With(config, IdempotencyRule{"1", pool, "*", "/", false});
  config = With(config, IdempotencyRule{"2", pool, "GET", "/", true});
  config = With(config, IdempotencyRule{"3", pool, "*", "/issue", false});
  config = With(config, IdempotencyRule{"4", pool, "PUT", "/x", true});
  config = With(config, IdempotencyRule{"5", pool, "PUT", "/x", false});
  EXPECT_TRUE(config->IsIdempotent(pool, "GET", "/status"));
  EXPECT_FALSE(config->IsIdempotent(pool, "POST", "/status"));
  EXPECT_FALSE(config->IsIdempotent(pool, "GET", "/issue/7"));
  EXPECT_FALSE(config->IsIdempotent(pool, "PUT", "/x"));
  EXPECT_FALSE(config->IsIdempotent(PoolId("other"), "GET", "/status"));
}

TEST(ImmutableConfigSnapshot, FindsPoolsByModelAndLongestPath) {
  SnapshotPtr config = std::make_shared<const ImmutableConfigSnapshot>();
  config = With(config, Pool{.id = PoolId("a"), .models = {ModelName("m")}});
  const Pool broad{
      .id = PoolId("b"), .kind = PoolKind::kService, .path_prefix = "/r/"};
  config = With(config, broad);
  config = With(config, Pool{.id = PoolId("c"),
                             .kind = PoolKind::kService,
                             .path_prefix = "/r/deep/"});
  EXPECT_EQ(config->FindPoolForModel(ModelName("m"))->id, PoolId("a"));
  EXPECT_EQ(config->FindPoolForModel(ModelName("n")), nullptr);
  EXPECT_EQ(config->FindPoolForPath("/r/x")->id, PoolId("b"));
  EXPECT_EQ(config->FindPoolForPath("/r/deep/x")->id, PoolId("c"));
  EXPECT_EQ(config->FindPoolForPath("/q"), nullptr);
}

// Targets are added, moved between pools and removed. Every version of the
// snapshot must keep its own content after later versions are derived from it.
RC_GTEST_PROP(ImmutableConfigSnapshotProperty, BehavesLikeAMap, ()) {
  using Pools = std::map<std::string, std::string>;
  std::vector<SnapshotPtr> versions = {
      std::make_shared<const ImmutableConfigSnapshot>()};
  std::vector<Pools> models(1);
  const int steps = *rc::gen::inRange(1, 60);
  for (int step = 0; step < steps; ++step) {
    Pools next = models.back();
    std::map<ConfigKey, EntryChange> changes;
    const int size = *rc::gen::inRange(1, 4);
    for (int i = 0; i < size; ++i) {
      const std::string id = absl::StrCat("t", *rc::gen::inRange(0, 12));
      const ConfigKey key{ConfigKind::kTarget, id};
      const int pool = *rc::gen::inRange(0, 4);
      if (pool == 3) {
        changes[key] = {key, std::nullopt};
        next.erase(id);
        continue;
      }
      const Target target{.id = TargetId(id),
                          .pool = PoolId(absl::StrCat("p", pool))};
      changes[key] = {key, target};
      next[id] = target.pool.value();
    }
    std::vector<EntryChange> list;
    list.reserve(changes.size());
    for (const auto& [key, change] : changes) list.push_back(change);
    versions.push_back(versions.back()->Apply(DeltaOn(*versions.back(), list)));
    RC_ASSERT(versions.back() != nullptr);
    models.push_back(std::move(next));
  }
  for (std::size_t i = 0; i < versions.size(); ++i) {
    std::map<std::string, std::vector<std::string>> by_pool;
    for (const auto& [id, pool] : models[i]) by_pool[pool].push_back(id);
    for (const std::string pool : {"p0", "p1", "p2"}) {
      std::vector<std::string> found;
      found.reserve(models[i].size());
      for (const Target* target : versions[i]->TargetsOf(PoolId(pool))) {
        found.push_back(target->id.value());
      }
      RC_ASSERT(found == by_pool[pool]);
    }
    RC_ASSERT(versions[i]->size() == models[i].size());
    const auto rebuilt = ImmutableConfigSnapshot::Build(
        versions[i]->revision(),
        versions[i]->EntriesAfter({ConfigKind::kCustomer, ""}, 1000));
    RC_ASSERT(rebuilt->digest() == versions[i]->digest());
  }
}

class ConfigReaderTest : public testing::Test {
 protected:
  void Accept(int n) {
    for (int i = 0; i < n; ++i, ++orders_) {
      ASSERT_TRUE(store_.Apply(
          PutOrder(absl::StrCat("o", orders_), TestCustomer(orders_ % 400)),
          kTestTimeout, &reason_));
    }
  }

  int orders_ = 0;
  ManualClock clock_;
  MemoryTable table_;
  TableConfigStore store_{{.clock = &clock_, .table = &table_}};
  ConfigReader reader_{&table_, DiscardCounters()};
  LastReason reason_;
};

TEST_F(ConfigReaderTest, DetectsAScanThatLagsBeyondTheReplayedDeltas) {
  Accept(1);
  table_.SetFaults({.scan_lag_commits = 300});
  Accept(350);
  EXPECT_EQ(reader_.ReadSnapshot(kTestTimeout, &reason_), nullptr);
  EXPECT_EQ(reason_.reason(), Reason::kRevisionStale);
  const auto snapshot = reader_.ReadSnapshot(kTestTimeout, &reason_);
  ASSERT_NE(snapshot, nullptr) << reason_.detail();
  EXPECT_EQ(snapshot->size(), 351u);
  EXPECT_EQ(snapshot->revision(), Revision(351));
}

TEST_F(ConfigReaderTest, ReportsATrimmedLog) {
  TableConfigStore store({.clock = &clock_, .table = &table_, .log_length = 3});
  for (int i = 0; i < 6; ++i) {
    ASSERT_TRUE(store.Apply(PutOrder(absl::StrCat("o", i), TestCustomer(i)),
                            kTestTimeout, &reason_));
  }
  EXPECT_FALSE(
      reader_.ReadDeltas(Revision(1), Revision(6), kTestTimeout, &reason_));
  EXPECT_EQ(reason_.reason(), Reason::kRevisionStale);
  const auto deltas =
      reader_.ReadDeltas(Revision(3), Revision(6), kTestTimeout, &reason_);
  ASSERT_TRUE(deltas) << reason_.detail();
  EXPECT_EQ(deltas->size(), 3u);
}

}  // namespace
}  // namespace wisteriareel
