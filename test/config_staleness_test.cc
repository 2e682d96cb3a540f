#include "wisteriareel/config_staleness.h"

#include <string>

#include "gtest/gtest.h"
#include "test/config_test_support.h"
#include "test/control_fleet.h"

namespace wisteriareel {
namespace {

const PoolId kRecords("records");
const std::string kHash(64, 'a');
constexpr std::size_t kCutOff = 3;

// One instance is partitioned from the platform and from all other instances
// while an operator changes the configuration.
class CutOffInstanceTest : public testing::Test {
 protected:
  CutOffInstanceTest() {
    Accept("rule", IdempotencyRule{.id = "r",
                                   .pool = kRecords,
                                   .path_prefix = "/records/",
                                   .idempotent = true});
    Accept("key", ApiKey{.hash = kHash,
                         .customer = CustomerId("customer-1"),
                         .budget = BudgetId("budget-1")});
    Accept("customer", TestCustomer(1));
    fleet_.Run(absl::Seconds(5));
    CutOff();
  }

  void Accept(const std::string& order, const ConfigValue& value) {
    LastReason reason;
    ASSERT_TRUE(fleet_.instances[0]->store.Apply(PutOrder(order, value),
                                                 kTestTimeout, &reason))
        << reason.detail();
  }

  void CutOff() {
    const InstanceId id(fleet_.listed()[kCutOff].id);
    fleet_.instances[kCutOff]->link.SetUp(false);
    fleet_.network.SetLinks([id](const InstanceId& from, const InstanceId& to) {
      return from != id && to != id;
    });
  }

  void Reconnect() {
    fleet_.instances[kCutOff]->link.SetUp(true);
    fleet_.network.SetLinks(nullptr);
    fleet_.Run(absl::Seconds(9));
  }

  bool MayRetryAt(std::size_t at) {
    return MayRetry(fleet_.instances[at]->config, kRecords, "GET", "/records/7",
                    fleet_.clock.Now());
  }

  std::shared_ptr<const ConfigSnapshot> Config(std::size_t at) {
    return fleet_.instances[at]->config.Current();
  }

  ControlFleet fleet_{2, 2};
};

TEST_F(CutOffInstanceTest, MakesNoRetriesOnceItsRulesAreStale) {
  EXPECT_TRUE(MayRetryAt(kCutOff));
  fleet_.Run(kIdempotencyRuleMaxAge + absl::Seconds(31));
  EXPECT_FALSE(MayRetryAt(kCutOff));
  EXPECT_TRUE(MayRetryAt(0));
  // The call is still served as idempotent: the rule itself does not expire.
  EXPECT_TRUE(Config(kCutOff)->IsIdempotent(kRecords, "GET", "/records/7"));
  Reconnect();
  EXPECT_TRUE(MayRetryAt(kCutOff));
}

TEST_F(CutOffInstanceTest, AppliesAWithdrawnRuleAfterReconnecting) {
  Accept("withdraw", IdempotencyRule{.id = "r",
                                     .pool = kRecords,
                                     .path_prefix = "/records/",
                                     .idempotent = false});
  fleet_.Run(absl::Seconds(5));
  EXPECT_FALSE(MayRetryAt(0));
  Reconnect();
  EXPECT_FALSE(MayRetryAt(kCutOff));
}

TEST_F(CutOffInstanceTest, AcceptsARevokedKeyUntilItReconnects) {
  Accept("revoke", ApiKey{.hash = kHash,
                          .customer = CustomerId("customer-1"),
                          .budget = BudgetId("budget-1"),
                          .revoked = true});
  fleet_.Run(absl::Minutes(10));
  EXPECT_FALSE(Config(kCutOff)->FindKeyByHash(kHash)->revoked);
  EXPECT_TRUE(Config(0)->FindKeyByHash(kHash)->revoked);
  Reconnect();
  EXPECT_TRUE(Config(kCutOff)->FindKeyByHash(kHash)->revoked);
}

TEST_F(CutOffInstanceTest, ServesASuspendedCustomerUntilItReconnects) {
  Customer suspended = TestCustomer(1);
  suspended.suspended = true;
  Accept("suspend", suspended);
  fleet_.Run(absl::Minutes(10));
  EXPECT_FALSE(Config(kCutOff)->FindCustomer(suspended.id)->suspended);
  Reconnect();
  EXPECT_TRUE(Config(kCutOff)->FindCustomer(suspended.id)->suspended);
}

TEST_F(CutOffInstanceTest, TracksALeavingTargetOnItsOwn) {
  const TargetId target("t");
  fleet_.instances[kCutOff]->membership.ReportTargetLeaving(target);
  EXPECT_TRUE(fleet_.instances[kCutOff]->membership.IsTargetLeaving(target));
  EXPECT_FALSE(fleet_.instances[2]->membership.IsTargetLeaving(target));
}

TEST_F(CutOffInstanceTest, RefusesAnOrderWithoutLeavingItInDoubt) {
  LastReason reason;
  EXPECT_FALSE(fleet_.instances[kCutOff]->store.Apply(
      PutOrder("x", TestCustomer(2)), kTestTimeout, &reason));
  EXPECT_EQ(reason.reason(), Reason::kPlatformUnavailable);
}

}  // namespace
}  // namespace wisteriareel
