#include <algorithm>
#include <deque>
#include <vector>

#include "gtest/gtest.h"
#include "rapidcheck/gtest.h"
#include "src/forward/connection_limiter.h"
#include "src/forward/connection_shares.h"

namespace wisteriareel {
namespace {

constexpr std::size_t kMaxBytes = 8 << 20;
constexpr std::size_t kLargeBytes = 1 << 20;
constexpr std::size_t kSmallBytes = 4 << 10;

// A connection that frees everything when it is given up.
class FakeConnection final : public LimitedConnection {
 public:
  explicit FakeConnection(ConnectionLimiter* limiter) : limiter_(limiter) {}
  ~FakeConnection() override { limiter_->Remove(this); }
  FakeConnection(const FakeConnection&) = delete;
  FakeConnection& operator=(const FakeConnection&) = delete;

  void GiveUp() override {
    given_up = true;
    limiter_->Remove(this);
  }

  bool given_up = false;

 private:
  ConnectionLimiter* const limiter_;
};

class ConnectionLimiterTest : public testing::Test {
 protected:
  FakeConnection* Add() {
    connections_.emplace_back(&limiter_);
    limiter_.Add(&connections_.back(), now_);
    return &connections_.back();
  }

  // Adds a connection that has just received `bytes` of a request.
  FakeConnection* AddReading(std::size_t bytes) {
    FakeConnection* connection = Add();
    limiter_.Update(connection,
                    {.phase = ConnectionPhase::kReading, .bytes = bytes}, bytes,
                    now_);
    return connection;
  }

  int CountGivenUp() const {
    return static_cast<int>(std::ranges::count_if(
        connections_, [](const auto& it) { return it.given_up; }));
  }

  ConnectionLimiter limiter_{{.max_bytes = kMaxBytes,
                              .max_connections = 100,
                              .max_closing = 4,
                              .max_served = 10}};
  std::deque<FakeConnection> connections_;
  absl::Time now_ = absl::UnixEpoch();
};

TEST_F(ConnectionLimiterTest, GivesUpNothingWithinTheLimits) {
  for (int n = 0; n < 6; ++n) AddReading(kLargeBytes);
  limiter_.GiveUpExcess(now_);
  EXPECT_EQ(CountGivenUp(), 0);
}

// Load pattern: many bodies that stop just short of their end, and an honest
// upload over a slow link beside them.
TEST_F(ConnectionLimiterTest, GivesUpWhatStoppedBeforeASlowUpload) {
  const FakeConnection* stopped = AddReading(kLargeBytes);
  for (int n = 1; n < 5; ++n) AddReading(kLargeBytes);
  constexpr std::size_t slow_bytes = 125'000;
  FakeConnection* slow = Add();
  for (std::size_t bytes = 0; bytes < kLargeBytes; bytes += slow_bytes) {
    now_ += absl::Seconds(1);
    limiter_.Update(
        slow, {.phase = ConnectionPhase::kReading, .bytes = bytes + slow_bytes},
        slow_bytes, now_);
  }
  AddReading(kLargeBytes);
  limiter_.GiveUpExcess(now_);
  EXPECT_EQ(CountGivenUp(), 2);
  EXPECT_FALSE(slow->given_up);
  EXPECT_TRUE(stopped->given_up);
}

// Load pattern: a byte now and then holds a body.
TEST_F(ConnectionLimiterTest, GivesUpWhatTricklesFirst) {
  FakeConnection* trickling = AddReading(kLargeBytes);
  for (int n = 0; n < 30; ++n) {
    now_ += absl::Seconds(1);
    limiter_.Update(trickling,
                    {.phase = ConnectionPhase::kReading, .bytes = kLargeBytes},
                    1, now_);
  }
  for (int n = 0; n < 6; ++n) AddReading(kLargeBytes);
  limiter_.GiveUpExcess(now_);
  EXPECT_TRUE(trickling->given_up);
  EXPECT_EQ(CountGivenUp(), 1);
}

// Load pattern: a crowd came first and fills the large part.
TEST_F(ConnectionLimiterTest, KeepsAPartForSmallRequests) {
  for (int n = 0; n < 20; ++n) AddReading(kLargeBytes);
  limiter_.GiveUpExcess(now_);
  const int given_up = CountGivenUp();
  FakeConnection* small = AddReading(kSmallBytes);
  limiter_.GiveUpExcess(now_);
  EXPECT_FALSE(limiter_.ExceedsBytes(small));
  EXPECT_FALSE(small->given_up);
  EXPECT_EQ(CountGivenUp(), given_up);
}

// Load pattern: so many small requests stop midway that they fill all bytes.
TEST_F(ConnectionLimiterTest, ANewSmallRequestTakesThePlaceOfAStoppedOne) {
  for (int n = 0; n < 90; ++n) AddReading(ConnectionLimiter::kMaxSmallBytes);
  for (int n = 0; n < 50; ++n) {
    AddReading(ConnectionLimiter::kMaxSmallBytes);
  }
  limiter_.GiveUpExcess(now_);
  now_ += absl::Seconds(10);
  FakeConnection* small = AddReading(kSmallBytes);
  limiter_.GiveUpExcess(now_);
  EXPECT_FALSE(small->given_up);
  EXPECT_LE(limiter_.bytes(), kMaxBytes);
}

TEST_F(ConnectionLimiterTest, NeverGivesUpAServedRequest) {
  for (int n = 0; n < 20; ++n) {
    limiter_.Update(Add(),
                    {.phase = ConnectionPhase::kServing,
                     .bytes = kLargeBytes,
                     .is_served = true},
                    kLargeBytes, now_);
  }
  FakeConnection* reading = AddReading(kLargeBytes);
  EXPECT_TRUE(limiter_.ExceedsBytes(reading));
  EXPECT_TRUE(limiter_.IsServedFull());
  limiter_.GiveUpExcess(now_);
  EXPECT_EQ(CountGivenUp(), 1);
  EXPECT_TRUE(reading->given_up);
}

// Load pattern: responses that aren't read, beside one that is.
TEST_F(ConnectionLimiterTest, GivesUpTheUnreadResponse) {
  const ConnectionUsage writing{.phase = ConnectionPhase::kWriting,
                                .bytes = kLargeBytes,
                                .is_served = true};
  FakeConnection* read = Add();
  FakeConnection* unread = Add();
  limiter_.Update(unread, writing, 0, now_);
  now_ += absl::Seconds(5);
  limiter_.Update(read, writing, kLargeBytes / 8, now_);
  for (int n = 0; n < 5; ++n) AddReading(kLargeBytes);
  limiter_.GiveUpExcess(now_);
  EXPECT_TRUE(unread->given_up);
  EXPECT_FALSE(read->given_up);
}

// Load pattern: connections that send nothing, more than there are places.
TEST_F(ConnectionLimiterTest, GivesUpTheLongestIdleConnection) {
  for (int n = 0; n < 100; ++n) {
    Add();
    now_ += absl::Milliseconds(1);
  }
  FakeConnection* newest = Add();
  limiter_.GiveUpExcess(now_);
  EXPECT_TRUE(connections_.front().given_up);
  EXPECT_FALSE(newest->given_up);
  EXPECT_EQ(limiter_.connections(), 100U);
}

// Load pattern: refused callers that go on sending.
TEST_F(ConnectionLimiterTest, BoundsWhatIsClosing) {
  for (int n = 0; n < 6; ++n) {
    limiter_.Update(Add(), {.phase = ConnectionPhase::kClosing, .bytes = 200},
                    0, now_);
    now_ += absl::Milliseconds(1);
  }
  limiter_.GiveUpExcess(now_);
  EXPECT_EQ(CountGivenUp(), 2);
  EXPECT_TRUE(connections_[0].given_up);
  EXPECT_TRUE(connections_[1].given_up);
}

RC_GTEST_PROP(
    ConnectionLimiterPropertyTest, MeetsTheLimitsAfterEachEvent,
    (const std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint32_t>>&
         events)) {
  constexpr std::size_t peers = 16;
  ConnectionLimiter limiter({.max_bytes = 1 << 20,
                             .max_connections = 8,
                             .max_closing = 2,
                             .max_served = 3});
  std::deque<FakeConnection> connections;
  for (std::size_t n = 0; n < peers; ++n) connections.emplace_back(&limiter);
  absl::Time now = absl::UnixEpoch();
  for (const auto& [peer, step, size] : events) {
    now += absl::Milliseconds(step);
    FakeConnection* connection = &connections[peer % peers];
    limiter.Remove(connection);
    limiter.Add(connection, now);
    const auto phase = static_cast<ConnectionPhase>(step % 5);
    // A request is served only if it has room, as its connection checks.
    const bool is_served = phase == ConnectionPhase::kServing;
    if (is_served && limiter.IsServedFull()) continue;
    const std::size_t bytes = is_served ? size % 1024 : size % (512 << 10);
    limiter.Update(connection,
                   {.phase = phase, .bytes = bytes, .is_served = is_served},
                   bytes, now);
    limiter.GiveUpExcess(now);
    // Closing connections hold a last response each.
    RC_ASSERT(limiter.bytes() <=
              (1 << 20) + 2 * ConnectionLimiter::kMaxSmallBytes);
    RC_ASSERT(limiter.connections() <= 10U);
  }
}

TEST(ConnectionSharesTest, LeaveMemoryAndDescriptorsToTheRest) {
  for (const std::size_t megabytes : {88, 110, 256, 512, 4096}) {
    for (const std::size_t descriptors : {256, 1024, 4100, 8192}) {
      const MachineLimits machine{.memory_bytes = megabytes * 1'000'000,
                                  .descriptors = descriptors};
      const ConnectionShares shares = DivideMachine(machine);
      std::size_t bytes = 0;
      std::size_t used = shares.callers.max_served;
      for (const ConnectionLimiterOptions& limits :
           {shares.callers, shares.peers, shares.ready}) {
        const std::size_t open = limits.max_connections + limits.max_closing;
        bytes += limits.max_bytes + open * kReceiveBufferBytes;
        used += open;
      }
      EXPECT_LE(bytes, machine.memory_bytes * 3 / 4) << megabytes;
      EXPECT_LE(used, descriptors * 9 / 10) << descriptors;
    }
  }
}

// A body of the largest size that callers may send fits into the smallest
// machine.
TEST(ConnectionSharesTest, AdmitALargeRequestOnASmallMachine) {
  constexpr std::size_t body_bytes = 4 << 20;
  ConnectionLimiter limiter(
      DivideMachine({.memory_bytes = 88'000'000, .descriptors = 4100}).callers);
  FakeConnection connection(&limiter);
  limiter.Add(&connection, absl::UnixEpoch());
  limiter.Update(&connection,
                 {.phase = ConnectionPhase::kReading, .bytes = 2 * body_bytes},
                 0, absl::UnixEpoch());
  EXPECT_FALSE(limiter.ExceedsBytes(&connection));
  EXPECT_EQ(limiter.FindExcess(absl::InfiniteFuture()), nullptr);
}

}  // namespace
}  // namespace wisteriareel
