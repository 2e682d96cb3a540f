#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "gtest/gtest.h"
#include "test/raw_connection.h"
#include "test/router_daemon_fixture.h"

namespace wisteriareel {
namespace {

constexpr int kInstances = 4;
// Requests per second that a target among others accepts, and the only one.
constexpr double kLowLimit = 2;
constexpr double kOnlyLimit = 5;
// Time between two requests to one instance.
constexpr absl::Duration kRequestInterval = absl::Milliseconds(100);
constexpr absl::Duration kDemandTime = absl::Milliseconds(8500);
// Time from the start of the instances until they share a limit, and until the
// end of the requests that show it.
constexpr absl::Duration kStartTime = absl::Seconds(10);
constexpr absl::Duration kLongDemandTime = absl::Seconds(16);
// Part of a limit that is used while there is demand.
constexpr double kMinUsedPart = 0.8;
// Time from the first response that names the limit until it must hold.
constexpr absl::Duration kStableWindow = absl::Seconds(3);
constexpr absl::Duration kCountingTime = absl::Seconds(4);
// Time from an instance's first response with the limit until its requests
// count.
constexpr absl::Duration kInstanceDelay = absl::Milliseconds(500);

// Number of requests that a target with a limit of `per_second` may get within
// kCountingTime.
int MaxArrivals(double per_second) {
  return static_cast<int>(
      1.5 * per_second * absl::ToDoubleSeconds(kCountingTime) + 5);
}

// A request as its target got it.
struct Arrival {
  int instance = 0;
  absl::Time at;
};

// Target that responds at once, and states the number of requests per second
// that it accepts from all instances together if that is positive.
class CountingTarget {
 public:
  CountingTarget(std::string name, double per_second)
      : name_(std::move(name)),
        per_second_(per_second),
        target_([this](int fd) { Serve(fd); }) {}

  std::uint16_t port() const { return target_.port(); }

  std::vector<Arrival> arrivals() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return arrivals_;
  }

 private:
  void Serve(int fd) {
    const std::string head = ScriptedTarget::ReadHead(fd);
    char body[2];
    if (read(fd, body, sizeof(body)) != sizeof(body)) return;
    // Request ids have the form INSTANCE-NUMBER.
    const std::vector<std::string> parts =
        absl::StrSplit(head, "Wisteriareel-Request-Id: ");
    if (parts.size() != 2) return;
    const std::string id = parts[1].substr(0, parts[1].find('\r'));
    Arrival arrival{.at = SystemClock()->Now()};
    if (!absl::SimpleAtoi(id.substr(0, id.find('-')), &arrival.instance)) {
      return;
    }
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      arrivals_.push_back(arrival);
    }
    const std::string limit =
        per_second_ > 0 ? absl::StrCat("Server-Limit: ", per_second_, "\r\n")
                        : "";
    ScriptedTarget::Write(
        fd, absl::StrCat("HTTP/1.1 200 OK\r\nWisteriareel-Request-Id: ", id,
                         "\r\nWisteriareel-Response-Seal: s\r\n", limit,
                         "Connection: close\r\nContent-Length: ", name_.size(),
                         "\r\n\r\n", name_));
  }

  const std::string name_;
  const double per_second_;
  mutable std::mutex mutex_;
  std::vector<Arrival> arrivals_;
  // Destroyed first: its thread uses the members above.
  ScriptedTarget target_;
};

class TargetLimitTest : public RouterDaemonTest {
 protected:
  // Sends requests to all instances at a steady rate for `duration`.
  void SendDemand(absl::Duration duration) {
    std::vector<std::thread> callers;
    callers.reserve(kInstances);
    for (int n = 0; n < kInstances; ++n) {
      callers.emplace_back(
          [this, n, duration] { SendToInstance(n, duration); });
    }
    for (std::thread& caller : callers) caller.join();
  }

  // Returns the largest number of requests within kCountingTime that reached a
  // target after the limit must hold, from instances that had relayed a
  // response of `name` with the limit.
  int MaxCounted(const std::string& name,
                 const std::vector<Arrival>& arrivals) const {
    std::vector<absl::Time> counting_from(kInstances, absl::InfiniteFuture());
    absl::Time first = absl::InfiniteFuture();
    for (const Relayed& relayed : relayed_) {
      if (relayed.target != name) continue;
      absl::Time& from =
          counting_from[static_cast<std::size_t>(relayed.instance)];
      from = std::min(from, relayed.at + kInstanceDelay);
      first = std::min(first, relayed.at);
    }
    std::vector<absl::Time> counted;
    for (const Arrival& arrival : arrivals) {
      if (arrival.at < first + kStableWindow) continue;
      if (arrival.at <
          counting_from[static_cast<std::size_t>(arrival.instance)]) {
        continue;
      }
      counted.push_back(arrival.at);
    }
    std::sort(counted.begin(), counted.end());
    std::ptrdiff_t most = 0;
    for (auto it = counted.begin(); it != counted.end(); ++it) {
      const auto end = std::lower_bound(it, counted.end(), *it + kCountingTime);
      most = std::max(most, end - it);
    }
    return static_cast<int>(most);
  }

  // A complete response that a caller got.
  struct Relayed {
    int instance = 0;
    // Its body, which is the name of its target.
    std::string target;
    absl::Time at;
  };

  std::atomic<int> sent_ = 0;
  // Responses that tell the caller to return later.
  std::atomic<int> refused_ = 0;
  std::mutex mutex_;
  std::vector<Relayed> relayed_;

 private:
  void SendToInstance(int instance, absl::Duration duration) {
    const absl::Time start = SystemClock()->Now();
    for (int n = 0;; ++n) {
      const absl::Duration elapsed = n * kRequestInterval;
      if (elapsed >= duration) return;
      SystemClock()->Sleep(start + elapsed - SystemClock()->Now());
      ++sent_;
      RawConnection caller(CallerPort(instance));
      caller.Send(
          Request(absl::StrCat(instance, "-", n), "Connection: close\r\n"));
      const std::string response = caller.ReadAll();
      if (!absl::StartsWith(response, "HTTP/1.1 200")) {
        if (absl::StartsWith(response, "HTTP/1.1 503") &&
            absl::StrContains(response, "Retry-After: ")) {
          ++refused_;
        }
        continue;
      }
      const std::vector<std::string> parts =
          absl::StrSplit(response, "\r\n\r\n");
      const std::lock_guard<std::mutex> lock(mutex_);
      relayed_.push_back({.instance = instance,
                          .target = parts.back(),
                          .at = SystemClock()->Now()});
    }
  }
};

// Each instance sent to the target as if it had no limit.
TEST_F(TargetLimitTest, InstancesTogetherStayWithinTheLimitOfATarget) {
  CountingTarget limited("limited", kLowLimit);
  CountingTarget unlimited("unlimited", 0);
  StartInstances(kInstances, MakeConfig(RouteKind::kIdempotent),
                 {MakeTarget("limited", limited.port()),
                  MakeTarget("unlimited", unlimited.port())});
  SendDemand(kDemandTime);
  EXPECT_LE(MaxCounted("limited", limited.arrivals()), MaxArrivals(kLowLimit));
  // The other target takes what the limited one may not get.
  EXPECT_EQ(relayed_.size(), static_cast<std::size_t>(sent_));
}

TEST_F(TargetLimitTest, InstancesTogetherUseTheLimitOfTheOnlyTarget) {
  CountingTarget limited("limited", kOnlyLimit);
  StartInstances(kInstances, MakeConfig(RouteKind::kIdempotent),
                 {MakeTarget("limited", limited.port())});
  const absl::Time start = SystemClock()->Now();
  SendDemand(kLongDemandTime);
  const std::vector<Arrival> arrivals = limited.arrivals();
  EXPECT_LE(MaxCounted("limited", arrivals), MaxArrivals(kOnlyLimit));
  const auto used = std::count_if(arrivals.begin(), arrivals.end(),
                                  [start](const Arrival& arrival) {
                                    return arrival.at >= start + kStartTime;
                                  });
  EXPECT_GE(used, kMinUsedPart * kOnlyLimit *
                      absl::ToDoubleSeconds(kLongDemandTime - kStartTime));
  // The others were told to return later.
  EXPECT_EQ(relayed_.size() + static_cast<std::size_t>(refused_),
            static_cast<std::size_t>(sent_));
}

}  // namespace
}  // namespace wisteriareel
