#include <cmath>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "src/forward/target_rate_limits.h"

namespace wisteriareel {
namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;
using ::testing::Optional;

constexpr absl::Duration kMs = absl::Milliseconds(1);
constexpr absl::Duration kS = absl::Seconds(1);
const absl::Time kEpoch = absl::FromUnixSeconds(1000);
const absl::Time kStart = kEpoch + absl::Hours(500000);
// A time from which an instance that started at kStart uses its shares.
const absl::Time kReady = kStart + absl::Seconds(20);

TargetEntry Target(std::int64_t started_ms = 7, std::uint16_t port = 80) {
  return {.id = TargetId("t1"),
          .service = ServiceId("s1"),
          .address = {.host = "10.0.0.1", .port = port},
          .started_ms = started_ms};
}

std::vector<std::string> Names(int count) {
  std::vector<std::string> names;
  names.reserve(static_cast<std::size_t>(count));
  for (int n = 0; n < count; ++n) names.push_back(absl::StrCat("front-", n));
  return names;
}

std::unique_ptr<TargetRateLimits> Start(const std::string& name, int instances,
                                        absl::Time at = kStart) {
  auto limits = std::make_unique<TargetRateLimits>(
      TargetRateLimitsOptions{.self = InstanceId(name)});
  limits->SetPlatformEpoch(kEpoch);
  limits->SetInstances(Names(instances), true, at);
  return limits;
}

// An instance that knows no other one and a limit of `per_second` at kReady.
std::unique_ptr<TargetRateLimits> StartAlone(double per_second) {
  auto limits = Start("front-0", 1);
  limits->RecordResponse(Target(), per_second, kReady - 10 * kMs, kReady);
  return limits;
}

// Sends whenever possible from `from` to `until`. Returns the number of
// requests.
int SendAll(TargetRateLimits* limits, absl::Time from, absl::Time until,
            absl::Duration step = 10 * kMs) {
  int sent = 0;
  for (absl::Time now = from; now < until; now += step) {
    while (limits->MaySend(Target(), now)) {
      limits->RecordSend(Target(), now);
      ++sent;
    }
  }
  return sent;
}

TEST(TargetRateLimitsTest, ATargetWithoutALimitGetsAllRequests) {
  TargetRateLimits limits({.self = InstanceId("front-0")});
  EXPECT_TRUE(limits.MaySend(Target(), kStart));
  limits.RecordSend(Target(), kStart);
  EXPECT_FALSE(
      limits.RecordResponse(Target(), std::nullopt, kStart, kStart + kMs));
  EXPECT_TRUE(limits.MaySend(Target(), kStart + kMs));
  EXPECT_EQ(limits.TimeUntilShare(Target(), kStart), std::nullopt);
  EXPECT_EQ(limits.Limit(Target()), std::nullopt);
  EXPECT_FALSE(limits.HasLimits());
}

TEST(TargetRateLimitsTest, AnInstanceAloneSendsWhatTheLimitAllows) {
  auto limits = StartAlone(2);
  EXPECT_THAT(limits->Limit(Target()), Optional(2.0));
  EXPECT_TRUE(limits->HasLimits());
  const int sent = SendAll(limits.get(), kReady, kReady + 100 * kS);
  EXPECT_GE(sent, 198);
  EXPECT_LE(sent, 201);
}

TEST(TargetRateLimitsTest, EachShareBelongsToOneInstance) {
  for (const int count : {2, 8, 95}) {
    int sent = 0;
    for (int n = 0; n < count; ++n) {
      auto limits = Start(absl::StrCat("front-", n), count);
      limits->RecordResponse(Target(), 10, kReady - kMs, kReady);
      sent += SendAll(limits.get(), kReady, kReady + 100 * kS, 50 * kMs);
    }
    EXPECT_GE(sent, 995) << count;
    EXPECT_LE(sent, 1001) << count;
  }
}

TEST(TargetRateLimitsTest, UnusedSharesExpire) {
  auto limits = StartAlone(10);
  int sent = 0;
  const absl::Time now = kReady + 100 * kS;
  for (; limits->MaySend(Target(), now); ++sent)
    limits->RecordSend(Target(), now);
  // Valid for 1.4 s, and for the time of four requests.
  EXPECT_EQ(sent, 18);
}

TEST(TargetRateLimitsTest, AChangedListMovesOnlyTheSharesOfTheChangedInstance) {
  auto before = Start("front-0", 8);
  auto after = Start("front-0", 7);
  before->RecordResponse(Target(), 1, kReady - kMs, kReady);
  after->RecordResponse(Target(), 1, kReady - kMs, kReady);
  int gained = 0;
  for (int n = 0; n < 4000; ++n) {
    const absl::Time now = kReady + n * 250 * kMs;
    const bool had = before->MaySend(Target(), now);
    const bool has = after->MaySend(Target(), now);
    EXPECT_TRUE(has || !had);
    if (has && !had) ++gained;
    if (had) before->RecordSend(Target(), now);
    if (has) after->RecordSend(Target(), now);
  }
  EXPECT_GT(gained, 0);
}

TEST(TargetRateLimitsTest, ARestartFreesNoSecondShare) {
  auto limits = StartAlone(0.5);
  const absl::Duration wait = *limits->TimeUntilShare(Target(), kReady);
  const absl::Time sent_at = kReady + wait;
  ASSERT_TRUE(limits->MaySend(Target(), sent_at));
  limits->RecordSend(Target(), sent_at);

  const absl::Time restart = sent_at + 100 * kMs;
  limits = Start("front-0", 1, restart);
  limits->RecordResponse(Target(), 0.5, restart + kMs, restart + 2 * kMs);
  EXPECT_EQ(SendAll(limits.get(), restart, restart + absl::Milliseconds(6990)),
            0);
  EXPECT_GE(SendAll(limits.get(), restart, restart + 12 * kS), 1);
}

TEST(TargetRateLimitsTest, AnInstanceWithoutAConfirmedListUsesNoShares) {
  TargetRateLimits limits({.self = InstanceId("front-0")});
  limits.RecordResponse(Target(), 10, kStart, kStart + kMs);
  EXPECT_FALSE(limits.MaySend(Target(), kReady));
  limits.SetPlatformEpoch(kEpoch);
  EXPECT_FALSE(limits.MaySend(Target(), kReady));
  limits.SetInstances(Names(2), false, kReady);
  EXPECT_EQ(SendAll(&limits, kReady, kReady + 30 * kS), 0);
  EXPECT_GT(*limits.TimeUntilShare(Target(), kReady), absl::ZeroDuration());
}

TEST(TargetRateLimitsTest, AnUnconfirmedInstanceUsesAPartOfItsShares) {
  auto limits = StartAlone(10);
  SendAll(limits.get(), kReady, kReady + 5 * kS);
  limits->SetInstances(Names(1), false, kReady + 5 * kS);
  SendAll(limits.get(), kReady + 5 * kS, kReady + 7 * kS);
  const int part = SendAll(limits.get(), kReady + 7 * kS, kReady + 107 * kS);
  EXPECT_GE(part, 200);
  EXPECT_LE(part, 300);
  // Others list the instance again only after a time.
  limits->SetInstances(Names(1), true, kReady + 107 * kS);
  EXPECT_LE(SendAll(limits.get(), kReady + 107 * kS, kReady + 114 * kS), 35);
  EXPECT_GE(SendAll(limits.get(), kReady + 114 * kS, kReady + 124 * kS), 98);
}

TEST(TargetRateLimitsTest, AHeartbeatThatFailsOnceDoesNotReduceTheShares) {
  auto limits = StartAlone(10);
  SendAll(limits.get(), kReady, kReady + 5 * kS);
  limits->SetInstances(Names(1), false, kReady + 5 * kS);
  EXPECT_GE(SendAll(limits.get(), kReady + 5 * kS, kReady + 6500 * kMs), 14);
  limits->SetInstances(Names(1), true, kReady + 6500 * kMs);
  EXPECT_GE(SendAll(limits.get(), kReady + 6500 * kMs, kReady + 16500 * kMs),
            99);
}

TEST(TargetRateLimitsTest, RepeatedConfirmationsDoNotEndTheReduction) {
  auto limits = StartAlone(10);
  SendAll(limits.get(), kReady, kReady + 5 * kS);
  limits->SetInstances(Names(1), false, kReady + 5 * kS);
  SendAll(limits.get(), kReady + 5 * kS, kReady + 10 * kS);
  int part = 0;
  for (int n = 0; n < 30; ++n) {
    const absl::Time now = kReady + 10 * kS + n * kS;
    limits->SetInstances(Names(1), n % 2 == 0, now);
    part += SendAll(limits.get(), now, now + kS);
  }
  EXPECT_LE(part, 110);
}

TEST(TargetRateLimitsTest, SharesBeforeTheLimitWasKnownAreNotUsed) {
  auto limits = StartAlone(10);
  EXPECT_LE(SendAll(limits.get(), kReady, kReady + 50 * kMs), 1);
  // The slots of the first limit aren't used for the second.
  limits->RecordResponse(Target(), 5, kReady + 10 * kMs, kReady + 60 * kMs);
  EXPECT_LE(SendAll(limits.get(), kReady + 60 * kMs, kReady + 160 * kMs), 1);
}

TEST(TargetRateLimitsTest, RequestsWithoutAShareUseLaterOnes) {
  auto limits = StartAlone(10);
  SendAll(limits.get(), kReady, kReady + kS);
  for (int n = 0; n < 5; ++n) limits->RecordSend(Target(), kReady + kS);
  const absl::Duration wait = *limits->TimeUntilShare(Target(), kReady + kS);
  EXPECT_GT(wait, 490 * kMs);
  EXPECT_LE(wait, 600 * kMs);
  EXPECT_EQ(SendAll(limits.get(), kReady + kS, kReady + 1490 * kMs), 0);
  EXPECT_FALSE(limits->MaySend(Target(), kReady + kS + wait - kMs));
  EXPECT_TRUE(limits->MaySend(Target(), kReady + kS + wait));
}

TEST(TargetRateLimitsTest, TimeUntilShareIsTheStartOfTheNextOwnSlot) {
  auto limits = Start("front-3", 8);
  limits->RecordResponse(Target(), 1.2, kReady - kMs, kReady);
  absl::Time now = kReady;
  for (int n = 0; n < 50; ++n) {
    const absl::Duration wait = *limits->TimeUntilShare(Target(), now);
    if (wait > kMs) {
      EXPECT_FALSE(limits->MaySend(Target(), now + wait - kMs));
    }
    now += wait;
    ASSERT_TRUE(limits->MaySend(Target(), now));
    EXPECT_EQ(limits->TimeUntilShare(Target(), now), absl::ZeroDuration());
    limits->RecordSend(Target(), now);
  }
}

TEST(TargetRateLimitsTest, ALateResponseDoesNotLiftALimit) {
  auto limits = Start("front-0", 8);
  EXPECT_TRUE(limits->RecordResponse(Target(), 2, kReady, kReady + 100 * kMs));
  // Sent before the limit was last stated.
  const absl::Time late = kReady + 90 * kMs;
  EXPECT_FALSE(
      limits->RecordResponse(Target(), std::nullopt, late, kReady + kS));
  EXPECT_FALSE(limits->RecordResponse(Target(), 5, late, kReady + kS));
  EXPECT_THAT(limits->Limit(Target()), Optional(2.0));
  EXPECT_TRUE(
      limits->RecordResponse(Target(), 5, kReady + 101 * kMs, kReady + 2 * kS));
  EXPECT_THAT(limits->Limit(Target()), Optional(5.0));
  EXPECT_TRUE(limits->RecordResponse(Target(), std::nullopt,
                                     kReady + 2001 * kMs, kReady + 3 * kS));
  EXPECT_EQ(limits->Limit(Target()), std::nullopt);
  EXPECT_TRUE(limits->MaySend(Target(), kReady + 3 * kS));
}

TEST(TargetRateLimitsTest, ALowerLimitHoldsAtOnce) {
  auto limits = StartAlone(10);
  SendAll(limits.get(), kReady, kReady + kS);
  ASSERT_TRUE(limits->MaySend(Target(), kReady + 1500 * kMs));
  EXPECT_TRUE(
      limits->RecordResponse(Target(), 1, kReady - kS, kReady + 1500 * kMs));
  EXPECT_LE(SendAll(limits.get(), kReady + 1500 * kMs, kReady + 3500 * kMs), 2);
}

TEST(TargetRateLimitsTest, ANewLifetimeStartsWithoutALimit) {
  auto limits = StartAlone(1);
  EXPECT_EQ(limits->Limit(Target(8)), std::nullopt);
  EXPECT_EQ(limits->Limit(Target(7, 81)), std::nullopt);
  EXPECT_TRUE(limits->MaySend(Target(8), kReady));
  EXPECT_FALSE(limits->RecordResponse(Target(8), std::nullopt, kReady - kS,
                                      kReady + kMs));
  EXPECT_EQ(limits->Limit(Target(7)), std::nullopt);
  EXPECT_TRUE(
      limits->RecordResponse(Target(8), 3, kReady - kS, kReady + 2 * kMs));
  // A response of the earlier lifetime.
  EXPECT_FALSE(limits->RecordResponse(Target(7), 1, kReady, kReady + 3 * kMs));
  EXPECT_THAT(limits->Limit(Target(8)), Optional(3.0));
}

TEST(TargetRateLimitsTest, ALimitOfZeroAllowsOnlyRareRequests) {
  auto limits = StartAlone(0);
  EXPECT_THAT(limits->Limit(Target()), Optional(0.0));
  const int sent = SendAll(limits.get(), kReady, kReady + 300 * kS, 100 * kMs);
  EXPECT_GE(sent, 9);
  EXPECT_LE(sent, 11);
  EXPECT_LE(*limits->TimeUntilShare(Target(), kReady + 300 * kS),
            absl::Seconds(30));
}

TEST(TargetRateLimitsTest, InvalidLimitsAreIgnored) {
  auto limits = StartAlone(4);
  for (const double value : {-1.0, std::nan(""), HUGE_VAL, -HUGE_VAL}) {
    EXPECT_FALSE(limits->RecordResponse(Target(), value, kReady + kMs,
                                        kReady + 2 * kMs));
    limits->Merge({.target = Target().id,
                   .started_ms = 7,
                   .address = Target().address,
                   .per_second = value,
                   .observed_ms = absl::ToInt64Milliseconds(kReady - kEpoch)},
                  kReady + 2 * kMs);
    EXPECT_THAT(limits->Limit(Target()), Optional(4.0));
  }
}

TEST(TargetRateLimitsTest, ExtremeLimitsAreSafe) {
  for (const double value :
       {1e-300, 1e300, std::numeric_limits<double>::denorm_min(),
        std::numeric_limits<double>::max()}) {
    auto limits = StartAlone(value);
    const int sent = SendAll(limits.get(), kReady, kReady + 10 * kMs, kMs);
    EXPECT_LE(sent, value < 1 ? 1 : 2000) << value;
  }
}

TEST(TargetRateLimitsTest, AStepOfThePlatformsClockDoesNotEndTheUseOfShares) {
  auto limits = StartAlone(10);
  SendAll(limits.get(), kReady, kReady + 5 * kS);
  limits->SetPlatformEpoch(kEpoch + absl::Hours(1));
  EXPECT_GE(SendAll(limits.get(), kReady + 5 * kS, kReady + 15 * kS), 80);
}

TEST(TargetRateLimitsTest, SlowResponsesOfThePlatformDoNotShiftTheSlots) {
  auto limits = StartAlone(0.5);
  SendAll(limits.get(), kReady, kReady + 5 * kS);
  const absl::Duration wait =
      *limits->TimeUntilShare(Target(), kReady + 5 * kS);
  for (int n = 0; n < 20; ++n)
    limits->SetPlatformEpoch(kEpoch + absl::Seconds(1));
  EXPECT_LE(*limits->TimeUntilShare(Target(), kReady + 5 * kS),
            wait + 25 * kMs);
  // Clocks drift: estimates that stay later count in the end.
  for (int n = 0; n < 10000; ++n)
    limits->SetPlatformEpoch(kEpoch + absl::Seconds(1));
  const absl::Duration shifted =
      *limits->TimeUntilShare(Target(), kReady + 5 * kS);
  EXPECT_GE(shifted, wait + 990 * kMs - 2 * kS);
  EXPECT_NE(shifted, wait);
}

class RateLimitNoticeTest : public ::testing::Test {
 protected:
  static RateLimitNotice Notice(std::optional<double> per_second,
                                absl::Time observed,
                                std::int64_t started_ms = 7) {
    return {.target = Target().id,
            .started_ms = started_ms,
            .address = Target().address,
            .per_second = per_second,
            .observed_ms = absl::ToInt64Milliseconds(observed - kEpoch)};
  }

  const std::unique_ptr<TargetRateLimits> limits_ = Start("front-0", 8);
};

TEST_F(RateLimitNoticeTest, TellsAnInstanceThatWasNotToldYet) {
  limits_->Merge(Notice(2, kReady), kReady + 50 * kMs);
  EXPECT_THAT(limits_->Limit(Target()), Optional(2.0));
  // Only what this instance was told itself.
  EXPECT_THAT(limits_->CollectNotices(kReady + kS), IsEmpty());
  limits_->RecordResponse(Target(), 2, kReady + kS, kReady + 2 * kS);
  EXPECT_THAT(limits_->CollectNotices(kReady + 2 * kS),
              ElementsAre(Notice(2, kReady + kS)));
}

TEST_F(RateLimitNoticeTest, CountsOnlyIfItIsNewer) {
  limits_->RecordResponse(Target(), 2, kReady, kReady + kS);
  limits_->Merge(Notice(std::nullopt, kReady + 900 * kMs), kReady + 2 * kS);
  limits_->Merge(Notice(3, kReady + 900 * kMs), kReady + 2 * kS);
  limits_->Merge(Notice(1, kReady - kMs), kReady + 2 * kS);
  EXPECT_THAT(limits_->Limit(Target()), Optional(2.0));
  limits_->Merge(Notice(1, kReady + kMs), kReady + 2 * kS);
  EXPECT_THAT(limits_->Limit(Target()), Optional(1.0));
  limits_->Merge(Notice(std::nullopt, kReady + 1200 * kMs), kReady + 2 * kS);
  EXPECT_EQ(limits_->Limit(Target()), std::nullopt);
}

TEST_F(RateLimitNoticeTest, OfAnEarlierLifetimeIsIgnored) {
  limits_->Merge(Notice(2, kReady, 8), kReady + kMs);
  limits_->Merge(Notice(1, kReady + kS, 7), kReady + kS);
  EXPECT_THAT(limits_->Limit(Target(8)), Optional(2.0));
  limits_->Merge(Notice(5, kReady - kS, 9), kReady + kS);
  EXPECT_EQ(limits_->Limit(Target(8)), std::nullopt);
  EXPECT_THAT(limits_->Limit(Target(9)), Optional(5.0));
}

TEST_F(RateLimitNoticeTest, ReportsTheEndOfALimitForATime) {
  limits_->RecordResponse(Target(), 2, kReady, kReady + kMs);
  const absl::Time end = kReady + kS;
  limits_->RecordResponse(Target(), std::nullopt, end, end + kMs);
  EXPECT_THAT(limits_->CollectNotices(end + 10 * kS),
              ElementsAre(Notice(std::nullopt, end)));
  EXPECT_THAT(limits_->CollectNotices(end + 100 * kS), IsEmpty());
}

TEST_F(RateLimitNoticeTest, UnusedLimitsAreForgotten) {
  limits_->RecordResponse(Target(), 2, kReady, kReady + kMs);
  limits_->SetInstances(Names(8), true, kReady + absl::Minutes(50));
  EXPECT_TRUE(limits_->HasLimits());
  limits_->SetInstances(Names(8), true, kReady + absl::Minutes(70));
  EXPECT_FALSE(limits_->HasLimits());
}

}  // namespace
}  // namespace wisteriareel
