#include "test/rate_limit_fleet.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "wisteriareel/stable_hash.h"

namespace wisteriareel {
namespace {

constexpr absl::Duration kHeartbeatInterval = absl::Milliseconds(500);
constexpr absl::Duration kHeartbeatIntervalPerInstance = absl::Milliseconds(10);
constexpr absl::Duration kListingInterval = absl::Seconds(3);
constexpr absl::Duration kFirstListingDelay = absl::Milliseconds(600);
// A heartbeat that doesn't change for this long is dropped from lists.
constexpr absl::Duration kHomeTimeout = absl::Seconds(5);
// An instance is unconfirmed if no heartbeat was acknowledged for this long.
constexpr absl::Duration kConfirmationTimeout = absl::Seconds(2);
constexpr absl::Duration kStableWindow = absl::Seconds(3);
constexpr absl::Duration kWindow = absl::Seconds(4);
constexpr absl::Duration kToldDelay = absl::Milliseconds(500);
constexpr absl::Duration kWarmUp = absl::Seconds(10);
constexpr absl::Duration kPatienceStep = absl::Milliseconds(20);
constexpr int kSubsetSize = 4;
// Instances that each notice is sent to.
constexpr int kNoticeFanOut = 12;
constexpr absl::Duration kPlatformAge = absl::Hours(24 * 365 * 57);

TargetEntry Target() {
  return {.id = TargetId("target"),
          .service = ServiceId("service"),
          .address = {.host = "10.0.0.1", .port = 80},
          .started_ms = 1};
}

// Decides for one instance when it sends to the target.
class RateLimiter {
 public:
  virtual ~RateLimiter() = default;
  virtual void SetPlatformEpoch(absl::Time epoch) = 0;
  virtual void SetInstances(const std::vector<std::string>& names,
                            bool confirmed, absl::Time now) = 0;
  virtual void RecordResponse(std::optional<double> limit, absl::Time sent,
                              absl::Time now) = 0;
  // Returns true, and counts the request, if it may be sent now.
  virtual bool Send(absl::Time now) = 0;
  virtual std::vector<RateLimitNotice> CollectNotices(absl::Time now) = 0;
  virtual void Merge(const RateLimitNotice& notice, absl::Time now) = 0;
};

class SlotLimiter : public RateLimiter {
 public:
  explicit SlotLimiter(const TargetRateLimitsOptions& options)
      : limits_(options) {}

  void SetPlatformEpoch(absl::Time epoch) override {
    limits_.SetPlatformEpoch(epoch);
  }

  void SetInstances(const std::vector<std::string>& names, bool confirmed,
                    absl::Time now) override {
    limits_.SetInstances(names, confirmed, now);
  }
  void RecordResponse(std::optional<double> limit, absl::Time sent,
                      absl::Time now) override {
    limits_.RecordResponse(Target(), limit, sent, now);
  }
  bool Send(absl::Time now) override {
    if (!limits_.MaySend(Target(), now)) return false;
    limits_.RecordSend(Target(), now);
    return true;
  }
  std::vector<RateLimitNotice> CollectNotices(absl::Time now) override {
    return limits_.CollectNotices(now);
  }
  void Merge(const RateLimitNotice& notice, absl::Time now) override {
    limits_.Merge(notice, now);
  }

 private:
  TargetRateLimits limits_;
};

// Sends 1/n of the limit, either as one of all instances or as one of a subset.
class SplitLimiter : public RateLimiter {
 public:
  SplitLimiter(std::string name, bool subset)
      : name_(std::move(name)), subset_(subset) {}

  void SetPlatformEpoch(absl::Time /*epoch*/) override {}

  void SetInstances(const std::vector<std::string>& names, bool /*confirmed*/,
                    absl::Time /*now*/) override {
    const auto rank = [](const std::string& name) {
      return StableHash(name, StableHash(Target().id.value()));
    };
    const auto higher = std::count_if(
        names.begin(), names.end(),
        [&](const std::string& name) { return rank(name) > rank(name_); });
    const auto n = static_cast<std::ptrdiff_t>(names.size());
    members_ = subset_ ? std::min<std::ptrdiff_t>(n, kSubsetSize) : n;
    member_ = higher < members_;
  }
  void RecordResponse(std::optional<double> limit, absl::Time /*sent*/,
                      absl::Time /*now*/) override {
    limit_ = limit;
  }
  bool Send(absl::Time now) override {
    if (!limit_.has_value()) return true;
    if (!member_ || now < next_) return false;
    next_ = now + absl::Seconds(static_cast<double>(members_) / *limit_);
    return true;
  }
  std::vector<RateLimitNotice> CollectNotices(absl::Time now) override {
    if (!limit_.has_value()) return {};
    return {{.per_second = limit_, .observed_ms = absl::ToUnixMillis(now)}};
  }
  void Merge(const RateLimitNotice& notice, absl::Time /*now*/) override {
    limit_ = notice.per_second;
  }

 private:
  const std::string name_;
  const bool subset_;
  std::optional<double> limit_;
  std::ptrdiff_t members_ = 1;
  bool member_ = false;
  absl::Time next_ = absl::InfinitePast();
};

struct Instance {
  std::string name;
  bool running = false;
  bool cut = false;
  // Was killed or cut.
  bool affected = false;
  double weight = 1;
  // Differs after each restart.
  int incarnation = 0;
  absl::Duration clock_error;
  absl::Time told = absl::InfiniteFuture();
  absl::Time acknowledged = absl::InfinitePast();
  // The last heartbeat seen of each instance, and since when.
  std::map<std::string, std::pair<std::uint64_t, absl::Time>> seen;
  std::vector<std::string> list;
  std::unique_ptr<RateLimiter> limiter;
};

struct Arrival {
  absl::Time at;
  bool affected = false;
  bool told = false;
};

class Fleet {
 public:
  explicit Fleet(const RateLimitFleetOptions& options)
      : options_(options), random_(options.seed) {}

  RateLimitFleetResult Run() {
    for (int n = 0; n < options_.instances; ++n) {
      AddInstance(WeightOf(n));
      At(start_ + Uniform(absl::Seconds(1)), [this, n] { StartInstance(n); });
    }
    for (const RateLimitFault& fault : options_.faults)
      At(start_ + fault.at, [this, fault] { Apply(fault); });
    At(start_, [this] { Demand(); });
    for (int n = 0; n < options_.burst; ++n) {
      At(start_ + options_.pause_end + Uniform(absl::Seconds(1)),
         [this] { AddRequest(); });
    }
    while (!events_.empty() && events_.top().at <= start_ + options_.length) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
    }
    return Evaluate();
  }

 private:
  struct Event {
    absl::Time at;
    std::uint64_t number = 0;
    std::function<void()> action;

    bool operator<(const Event& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };

  void At(absl::Time at, std::function<void()> action) {
    events_.push(
        {.at = at, .number = ++event_number_, .action = std::move(action)});
  }

  double Random() { return std::generate_canonical<double, 53>(random_); }

  absl::Duration Uniform(absl::Duration max) { return Random() * max; }

  // Most delays are short.
  absl::Duration Delay() {
    return Random() < 0.2
               ? Uniform(options_.max_delay)
               : std::min(options_.max_delay, Uniform(absl::Milliseconds(10)));
  }

  double WeightOf(int number) const {
    switch (options_.shape) {
      case DemandShape::kEqual:
        return 1;
      case DemandShape::kOneHasHalf:
        return number == 0 ? std::max(1, options_.instances - 1) : 1;
      case DemandShape::kHalfHaveNone:
        return number % 2 == 0 ? 1 : 0;
    }
    return 1;
  }

  void AddInstance(double weight) {
    auto instance = std::make_unique<Instance>();
    instance->name = absl::StrCat("front-", instances_.size());
    instance->weight = weight;
    instance->clock_error = options_.max_clock_error * (2 * Random() - 1);
    instances_.push_back(std::move(instance));
  }

  void StartInstance(std::size_t number) {
    Instance& instance = *instances_[number];
    instance.running = true;
    instance.told = absl::InfiniteFuture();
    instance.acknowledged = absl::InfinitePast();
    instance.seen.clear();
    instance.list = {instance.name};
    const int incarnation = ++instance.incarnation;
    if (options_.way == RateLimitWay::kSlots) {
      TargetRateLimitsOptions limits = options_.limits;
      limits.self = InstanceId(instance.name);
      instance.limiter = std::make_unique<SlotLimiter>(limits);
    } else {
      instance.limiter = std::make_unique<SplitLimiter>(
          instance.name, options_.way == RateLimitWay::kSubset);
    }
    Heartbeat(number, incarnation);
    At(now_ + kFirstListingDelay, [=, this] { List(number, incarnation); });
    if (options_.notice_delay != absl::InfiniteDuration())
      SendNotices(number, incarnation);
  }

  bool Runs(std::size_t number, int incarnation) const {
    return instances_[number]->running &&
           instances_[number]->incarnation == incarnation;
  }

  absl::Duration HeartbeatInterval() const {
    return std::max(kHeartbeatInterval,
                    options_.instances * kHeartbeatIntervalPerInstance);
  }

  void Heartbeat(std::size_t number, int incarnation) {
    if (!Runs(number, incarnation)) return;
    Instance& instance = *instances_[number];
    if (!instance.cut) {
      heartbeats_[instance.name] = ++heartbeat_number_;
      const absl::Duration delay =
          std::min(options_.max_platform_delay,
                   Uniform(Random() < 0.2 ? options_.max_platform_delay
                                          : absl::Milliseconds(10)));
      instance.limiter->SetPlatformEpoch(start_ - kPlatformAge +
                                         instance.clock_error + delay);
      instance.acknowledged = now_;
    }
    UpdateList(&instance);
    At(now_ + HeartbeatInterval(),
       [=, this] { Heartbeat(number, incarnation); });
  }

  void List(std::size_t number, int incarnation) {
    if (!Runs(number, incarnation)) return;
    Instance& instance = *instances_[number];
    if (!instance.cut) {
      instance.list.clear();
      for (const auto& [name, heartbeat] : heartbeats_) {
        auto& seen = instance.seen[name];
        if (seen.first != heartbeat) seen = {heartbeat, now_};
        if (name == instance.name || now_ - seen.second < kHomeTimeout)
          instance.list.push_back(name);
      }
      UpdateList(&instance);
    }
    At(now_ + kListingInterval, [=, this] { List(number, incarnation); });
  }

  void UpdateList(Instance* instance) {
    // Before the first listing an instance doesn't know the others.
    if (instance->seen.empty()) return;
    instance->limiter->SetInstances(
        instance->list,
        now_ - instance->acknowledged <=
            std::max(kConfirmationTimeout, 2 * HeartbeatInterval()),
        now_);
  }

  void SendNotices(std::size_t number, int incarnation) {
    if (!Runs(number, incarnation)) return;
    At(now_ + options_.notice_delay,
       [=, this] { SendNotices(number, incarnation); });
    const Instance& instance = *instances_[number];
    if (instance.cut) return;
    for (const RateLimitNotice& notice :
         instance.limiter->CollectNotices(now_)) {
      for (int n = 0; n < kNoticeFanOut; ++n) {
        Instance& other = *instances_[random_() % instances_.size()];
        if (&other == &instance || !other.running || other.cut) continue;
        other.limiter->Merge(notice, now_);
      }
    }
  }

  void Apply(const RateLimitFault& fault) {
    const std::size_t count = instances_.size();
    const auto affected = static_cast<std::size_t>(
        std::lround(fault.share * static_cast<double>(options_.instances)));
    for (std::size_t n = 0; n < std::min(affected, count); ++n) {
      if (fault.kind == RateLimitFault::Kind::kJoined) {
        AddInstance(1);
        StartInstance(instances_.size() - 1);
        continue;
      }
      // Spread over the instances, so that all demand shapes are affected.
      Instance& instance = *instances_[n];
      instance.affected = true;
      if (fault.kind == RateLimitFault::Kind::kCut) {
        instance.cut = true;
        At(now_ + fault.duration, [&instance] { instance.cut = false; });
      } else {
        instance.running = false;
        At(now_ + fault.duration, [=, this] { StartInstance(n); });
      }
    }
  }

  void Demand() {
    At(now_ + absl::Seconds(-std::log(1 - Random()) / options_.requests_per_s),
       [this] { Demand(); });
    if (now_ < start_ + options_.pause_at ||
        now_ >= start_ + options_.pause_end)
      AddRequest();
  }

  void AddRequest() {
    double total = 0;
    for (const auto& instance : instances_) total += instance->weight;
    double choice = Random() * total;
    std::size_t n = 0;
    while (n + 1 < instances_.size() && choice >= instances_[n]->weight)
      choice -= instances_[n++]->weight;
    TrySend(n, instances_[n]->incarnation, now_ + options_.patience);
  }

  void TrySend(std::size_t number, int incarnation, absl::Time until) {
    if (!Runs(number, incarnation)) return;
    if (!instances_[number]->limiter->Send(now_)) {
      if (now_ >= until) return;
      At(now_ + kPatienceStep,
         [=, this] { TrySend(number, incarnation, until); });
      return;
    }
    const absl::Time sent = now_;
    At(now_ + Delay(), [=, this] { Arrive(number, incarnation, sent); });
  }

  void Arrive(std::size_t number, int incarnation, absl::Time sent) {
    const Instance& instance = *instances_[number];
    arrivals_.push_back({.at = now_,
                         .affected = instance.affected,
                         .told = now_ - instance.told >= kToldDelay});
    At(now_ + Uniform(options_.max_response_time), [=, this] {
      const std::optional<double> limit = LimitAt(now_);
      At(now_ + Delay(), [=, this] {
        if (!Runs(number, incarnation)) return;
        Instance& receiver = *instances_[number];
        if (limit.has_value()) receiver.told = std::min(receiver.told, now_);
        receiver.limiter->RecordResponse(limit, sent, now_);
      });
    });
  }

  std::optional<double> LimitAt(absl::Time time) const {
    std::optional<double> limit;
    for (const RateLimitChange& change : options_.changes) {
      if (start_ + change.at <= time) limit = change.per_second;
    }
    return limit;
  }

  // Returns the bound of the arrivals in the window, or infinity if the target
  // named no limit at some time.
  double Bound(absl::Time window) const {
    const absl::Time from = window - kStableWindow;
    std::optional<double> highest = LimitAt(from);
    if (!highest.has_value()) return HUGE_VAL;
    for (const RateLimitChange& change : options_.changes) {
      const absl::Time at = start_ + change.at;
      if (at < from || at >= window + kWindow) continue;
      if (!change.per_second.has_value()) return HUGE_VAL;
      highest = std::max(highest, change.per_second);
    }
    return 1.5 * *highest * absl::ToDoubleSeconds(kWindow) + 5;
  }

  void FindWorstWindow(bool with_affected, int* arrivals, double* bound) const {
    std::vector<absl::Time> times;
    for (const Arrival& arrival : arrivals_) {
      if (arrival.told && (with_affected || !arrival.affected))
        times.push_back(arrival.at);
    }
    double worst = -1;
    std::size_t end = 0;
    for (std::size_t begin = 0; begin < times.size(); ++begin) {
      while (end < times.size() && times[end] < times[begin] + kWindow) ++end;
      const double allowed = Bound(times[begin]);
      const double ratio = static_cast<double>(end - begin) / allowed;
      if (allowed == HUGE_VAL || ratio <= worst) continue;
      worst = ratio;
      *arrivals = static_cast<int>(end - begin);
      *bound = allowed;
    }
  }

  RateLimitFleetResult Evaluate() const {
    RateLimitFleetResult result;
    FindWorstWindow(true, &result.worst_arrivals, &result.worst_bound);
    FindWorstWindow(false, &result.worst_unaffected_arrivals,
                    &result.worst_unaffected_bound);
    const absl::Time from = start_ + options_.changes.front().at + kWarmUp;
    const absl::Time until = start_ + options_.length;
    double allowed = 0;
    int used = 0;
    constexpr absl::Duration step = absl::Milliseconds(10);
    for (absl::Time time = from; time < until; time += step)
      allowed += LimitAt(time).value_or(0) * absl::ToDoubleSeconds(step);
    for (const Arrival& arrival : arrivals_) {
      if (arrival.at >= from && LimitAt(arrival.at).has_value()) ++used;
    }
    result.used_share = allowed > 0 ? used / allowed : 0;
    result.arrivals = static_cast<int>(arrivals_.size());
    return result;
  }

  const RateLimitFleetOptions options_;
  std::mt19937_64 random_;
  const absl::Time start_ = absl::UnixEpoch() + kPlatformAge;
  absl::Time now_ = start_;
  std::uint64_t event_number_ = 0;
  std::priority_queue<Event> events_;
  std::uint64_t heartbeat_number_ = 0;
  std::map<std::string, std::uint64_t> heartbeats_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::vector<Arrival> arrivals_;
};

}  // namespace

RateLimitFleetResult RunRateLimitFleet(const RateLimitFleetOptions& options) {
  return Fleet(options).Run();
}

}  // namespace wisteriareel
