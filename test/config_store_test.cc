#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "rapidcheck/gtest.h"
#include "standin/fakes/manual_clock.h"
#include "standin/fakes/memory_table.h"
#include "test/config_test_support.h"
#include "test/held_commit_table.h"
#include "wisteriareel/config_table_store.h"

namespace wisteriareel {
namespace {

class ConfigStoreTest : public testing::Test {
 protected:
  std::optional<AcceptedOrder> Apply(const ChangeOrder& order) {
    return store_.Apply(order, kTestTimeout, &reason_);
  }

  ManualClock clock_;
  MemoryTable table_;
  TableConfigStore store_{{.clock = &clock_, .table = &table_}};
  LastReason reason_;
};

TEST_F(ConfigStoreTest, RaisesOneRevisionForEachOrder) {
  const auto first = Apply(PutOrder("a", TestCustomer(1)));
  const auto second = Apply(PutOrder("b", TestCustomer(2)));
  ASSERT_TRUE(first && second) << reason_.detail();
  EXPECT_EQ(first->revision, Revision(1));
  EXPECT_EQ(second->revision, Revision(2));
}

TEST_F(ConfigStoreTest, ReportsTheCurrentVersionOnAConflict) {
  ASSERT_TRUE(Apply(PutOrder("a", TestCustomer(1), 0)));
  EXPECT_FALSE(Apply(PutOrder("b", TestCustomer(1, 7), 0)));
  EXPECT_EQ(reason_.reason(), Reason::kConflict);
  EXPECT_NE(reason_.detail().find("at version 1"), std::string::npos)
      << reason_.detail();
}

TEST_F(ConfigStoreTest, ResolvesALostReplyByOrderId) {
  table_.SetFaults({.lose_replies = 1});
  const auto accepted = Apply(PutOrder("a", TestCustomer(1), 0));
  ASSERT_TRUE(accepted) << reason_.detail();
  EXPECT_EQ(*accepted, (AcceptedOrder{Revision(1), true}));
  const auto again = Apply(PutOrder("a", TestCustomer(1), 0));
  ASSERT_TRUE(again) << reason_.detail();
  EXPECT_EQ(*again, (AcceptedOrder{Revision(1), true}));
}

TEST_F(ConfigStoreTest, RefusesAnOrderIdUsedForOtherChanges) {
  ASSERT_TRUE(Apply(PutOrder("a", TestCustomer(1))));
  EXPECT_FALSE(Apply(PutOrder("a", TestCustomer(2))));
  EXPECT_EQ(reason_.reason(), Reason::kConflict);
}

TEST_F(ConfigStoreTest, CommitsCompanionRowsWithTheChange) {
  ChangeOrder order = PutOrder("a", TestCustomer(1));
  order.companion = {.conditions = {{{"t", "k"}, 0}},
                     .writes = {{{"t", "k"}, "v"}}};
  ASSERT_TRUE(Apply(order)) << reason_.detail();
  LastReason reason;
  EXPECT_EQ(table_.Read({{"t", "k"}}, kTestTimeout, &reason)->size(), 1u);
  order.order = OrderId("b");
  EXPECT_FALSE(Apply(order));
  EXPECT_EQ(reason_.reason(), Reason::kConflict);
  const auto entry =
      store_.ReadEntry(order.changes[0].key, kTestTimeout, &reason);
  EXPECT_EQ(entry->version, 1u);
}

TEST_F(ConfigStoreTest, RefusesInvalidValues) {
  EXPECT_FALSE(Apply(PutOrder("a", TestCustomer(1, 0))));
  EXPECT_EQ(reason_.reason(), Reason::kMalformed);
  EXPECT_FALSE(Apply(PutOrder("b", ApiKey{.hash = "short"})));
  EXPECT_EQ(reason_.reason(), Reason::kMalformed);
  Customer latin1 = TestCustomer(1);
  latin1.display_name = "\xe9";
  EXPECT_FALSE(Apply(PutOrder("c", latin1)));
  EXPECT_EQ(reason_.reason(), Reason::kMalformed);
  EXPECT_EQ(table_.commits(), 0u);
}

TEST_F(ConfigStoreTest, TrimsLogRowsAndTheirOrderRows) {
  TableConfigStore store({.clock = &clock_, .table = &table_, .log_length = 3});
  for (int i = 0; i < 10; ++i) {
    ASSERT_TRUE(store.Apply(PutOrder(absl::StrCat("o", i), TestCustomer(i)),
                            kTestTimeout, &reason_));
  }
  LastReason reason;
  EXPECT_EQ(table_.Scan("config_log", "", 100, kTestTimeout, &reason)->size(),
            3u);
  EXPECT_EQ(table_.Scan("config_order", "", 100, kTestTimeout, &reason)->size(),
            3u);
}

// Operators send and retry conflicting orders through a table that loses
// requests and replies and applies some requests late. The result of each call
// must agree with the content of the table, at that time and later.
RC_GTEST_PROP(ConfigStoreProperty, ResultsAgreeWithTheTable, ()) {
  ManualClock clock;
  MemoryTable table;
  HeldCommitTable late(&table);
  TableConfigStore store({.clock = &clock, .table = &late, .max_attempts = 3});
  std::map<std::string, Revision> accepted;
  std::map<Revision, std::string> by_revision;
  // Orders with an attempt that may still take effect.
  std::set<std::string> in_doubt;
  const auto in_force = [&](const std::string& id) {
    LastReason reason;
    return !table.Read({{"config_order", id}}, kTestTimeout, &reason)->empty();
  };
  const int steps = *rc::gen::inRange(5, 60);
  for (int step = 0; step < steps; ++step) {
    const int fault = *rc::gen::inRange(0, 8);
    table.SetFaults(
        {.outage = fault == 3,
         .lose_replies = fault == 0 ? *rc::gen::inRange(1, 5) : 0,
         .lose_requests = fault == 1 ? *rc::gen::inRange(1, 5) : 0});
    late.HoldCommits(fault == 2 ? *rc::gen::inRange(1, 4) : 0);
    if (fault == 4) late.ReleaseCommit();
    const int number = *rc::gen::inRange(0, 12);
    const std::string id = absl::StrCat("order-", number);
    // The changes depend only on the id, as in a retried call.
    const Customer value =
        TestCustomer(number % 3, static_cast<std::uint32_t>(number + 1));
    std::optional<std::uint64_t> expected;
    if (*rc::gen::arbitrary<bool>()) expected = *rc::gen::inRange(0, 6);
    LastReason reason;
    const auto result =
        store.Apply(PutOrder(id, value, expected), kTestTimeout, &reason);
    table.SetFaults({});
    if (result) {
      RC_ASSERT(in_force(id));
      const auto [it, first] = accepted.emplace(id, result->revision);
      RC_ASSERT(it->second == result->revision);
      const auto [at, unique] = by_revision.emplace(result->revision, id);
      RC_ASSERT(at->second == id);
      continue;
    }
    if (reason.reason() == Reason::kPlatformReplyLost) {
      in_doubt.insert(id);
      continue;
    }
    // A refused order is not in the table, unless another call of the same
    // order was accepted or is in doubt.
    RC_ASSERT(!in_force(id) || in_doubt.contains(id) || accepted.contains(id));
    if (reason.reason() == Reason::kConflict) RC_ASSERT(!in_force(id));
  }
  // No refused order takes effect later.
  for (int i = 0; i < steps * 3; ++i) late.ReleaseCommit();
  for (int number = 0; number < 12; ++number) {
    const std::string id = absl::StrCat("order-", number);
    RC_ASSERT(!in_force(id) || in_doubt.contains(id) || accepted.contains(id));
  }
  // There is one log row per revision, without gaps, and one revision per
  // order.
  LastReason reason;
  const auto log = table.Scan("config_log", "", 1000, kTestTimeout, &reason);
  const auto orders =
      table.Scan("config_order", "", 1000, kTestTimeout, &reason);
  RC_ASSERT(log->size() == orders->size());
  for (std::size_t i = 0; i < log->size(); ++i) {
    const std::string key = absl::StrCat(absl::Dec(i + 1, absl::kZeroPad20));
    RC_ASSERT((*log)[i].key.key == key);
  }
  for (const auto& [id, revision] : accepted) {
    RC_ASSERT(revision.value() <= log->size());
  }
}

}  // namespace
}  // namespace wisteriareel
