#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "test/config_test_support.h"
#include "test/control_fleet.h"
#include "wisteriareel/background_loop.h"

namespace wisteriareel {
namespace {

// Instances whose steps run on separate threads, as in a daemon.
class ControlThreadsTest : public testing::Test {
 protected:
  ControlThreadsTest() {
    std::vector<ListedInstance> listed;
    listed.reserve(3);
    for (int i = 0; i < 3; ++i) {
      listed.push_back({.id = absl::StrCat("instance-", i),
                        .zone = ZoneId(absl::StrCat("zone-", i / 2)),
                        .endpoint = {"10.0.0.1", 7000}});
    }
    list_.Set(listed);
    for (const ListedInstance& instance : listed) {
      instances_.push_back(std::make_unique<ControlInstance>(
          instance, SystemClock(), &table_, &list_, &network_, random_.get()));
    }
    for (const auto& instance : instances_) {
      ControlInstance* control = instance.get();
      loops_.push_back(std::make_unique<BackgroundLoop>([control] {
        control->membership.Step();
        control->follower.Step();
        return absl::Milliseconds(5);
      }));
    }
    loops_.push_back(std::make_unique<BackgroundLoop>([this] {
      network_.DeliverAll();
      return absl::Milliseconds(1);
    }));
  }

  MemoryTable table_;
  MemoryInstanceList list_;
  FakePeerNetwork network_;
  std::unique_ptr<RandomSource> random_ = MakeSeededRandom(1);
  std::vector<std::unique_ptr<ControlInstance>> instances_;
  std::vector<std::unique_ptr<BackgroundLoop>> loops_;
};

TEST_F(ControlThreadsTest, RollOutWhileOthersReadAndReport) {
  Revision newest;
  for (int i = 0; i < 5; ++i) {
    LastReason reason;
    const auto accepted = instances_[0]->store.Apply(
        PutOrder(absl::StrCat("o", i), TestCustomer(i)), kTestTimeout, &reason);
    ASSERT_TRUE(accepted) << reason.detail();
    newest = accepted->revision;
    const TargetId target(absl::StrCat("t", i));
    instances_[1]->membership.ReportTargetLeaving(target);
    instances_[2]->membership.ZoneMembers();
    EXPECT_TRUE(instances_[1]->membership.IsTargetLeaving(target));
  }
  const auto lagging =
      instances_[0]->store.AwaitRollout(newest, absl::Seconds(60));
  for (const RolloutLine& entry : lagging) {
    ADD_FAILURE() << entry.instance.value() << " at " << entry.revision.value();
  }
  for (const auto& instance : instances_) {
    EXPECT_NE(instance->config.Current()->FindCustomer(TestCustomer(4).id),
              nullptr);
  }
}

}  // namespace
}  // namespace wisteriareel
