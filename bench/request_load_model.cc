#include "bench/request_load_model.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "src/routing/pair_rank.h"

namespace wisteriareel {
namespace {

const PoolId kPool = PoolId("pool");

TargetId MakeTargetId(int target) {
  return TargetId(absl::StrCat("t", target));
}

// A request on its way through the model.
struct Job {
  std::size_t workload = 0;
  std::uint64_t prefix = 0;
  absl::Time arrived;
  absl::Time admitted;
  int instance = 0;
  int target = 0;
};

// A simulated target with slots, a queue and a prefix cache.
struct ModelTarget {
  int active = 0;
  // Queued jobs by priority; the target starts jobs of higher priority first.
  std::map<Priority, std::deque<Job>> queue;
  std::list<std::uint64_t> cache;

  // Returns whether the prefix was cached, and caches it.
  bool CachePrefix(std::uint64_t prefix, std::size_t capacity) {
    const auto it = std::find(cache.begin(), cache.end(), prefix);
    const bool hit = it != cache.end();
    if (hit) cache.erase(it);
    cache.push_front(prefix);
    if (cache.size() > capacity) cache.pop_back();
    return hit;
  }
  // Returns the number of active and queued jobs.
  int load() const {
    std::size_t queued = 0;
    for (const auto& [priority, jobs] : queue) queued += jobs.size();
    return active + static_cast<int>(queued);
  }
};

// An action at a simulated time. Events of the same time run in the order in
// which they were scheduled.
struct Event {
  absl::Time at;
  std::uint64_t sequence = 0;
  std::function<void()> run;

  friend bool operator>(const Event& a, const Event& b) {
    return a.at != b.at ? a.at > b.at : a.sequence > b.sequence;
  }
};

class LoadModel {
 public:
  explicit LoadModel(const LoadModelOptions& options)
      : options_(options),
        config_(MakeConfig(options)),
        targets_(options.targets),
        queues_(options.instances, AdmissionQueue(AdmissionQueueOptions{})),
        waiting_(options.instances),
        in_flight_(options.instances, std::vector<int>(options.targets)) {
    for (int i = 0; i < options.instances; ++i) {
      selectors_.push_back(std::make_unique<FleetSelector>(
          FleetSelectorOptions{.instance = InstanceId(absl::StrCat("i", i)),
                               .zone = ZoneId("z"),
                               .config = &config_,
                               .clock = &clock_,
                               .random = random_.get()}));
    }
    result_.first_token_time.resize(options.workloads.size());
    result_.completion_time.resize(options.workloads.size());
    double total = 0;
    for (int i = 1; i <= options.prefixes; ++i) {
      total += 1.0 / i;
      cumulative_popularity_.push_back(total);
    }
  }

  LoadResult Run() {
    begin_ = clock_.Now();
    const absl::Time end = begin_ + options_.length;
    for (std::size_t i = 0; i < options_.workloads.size(); ++i) {
      ScheduleNextArrival(i);
    }
    ScheduleAt(begin_ + options_.report_interval, [this] { ReportLoads(); });
    while (!events_.empty() && events_.top().at < end) {
      const Event event = events_.top();
      events_.pop();
      clock_.Advance(event.at - clock_.Now());
      event.run();
    }
    result_.seconds = absl::ToDoubleSeconds(options_.length - options_.warm_up);
    result_.imbalance /= std::max(1, samples_);
    result_.prefix_hits = hits_ / std::max(1.0, starts_);
    return result_;
  }

 private:
  static std::shared_ptr<const ConfigSnapshot> MakeConfig(
      const LoadModelOptions& options) {
    auto config = std::make_shared<StaticSnapshot>();
    // Without admission control, the selectors must not refuse any request.
    const std::uint32_t limit = options.admission ? options.slots : 1'000'000;
    config->Add(Pool{.id = kPool, .max_in_flight_per_target = limit});
    for (int i = 0; i < options.targets; ++i) {
      config->Add(
          Target{.id = MakeTargetId(i), .pool = kPool, .zone = ZoneId("z")});
    }
    config->IndexTargets();
    return config;
  }

  void ScheduleAt(absl::Time at, std::function<void()> run) {
    events_.push({at, ++last_sequence_, std::move(run)});
  }

  bool IsMeasured() const { return clock_.Now() >= begin_ + options_.warm_up; }

  void ScheduleNextArrival(std::size_t workload) {
    const double gap = -std::log(1.0 - random_->Fraction()) /
                       options_.workloads[workload].per_second;
    ScheduleAt(clock_.Now() + absl::Seconds(gap), [this, workload] {
      ScheduleNextArrival(workload);
      HandleArrival(workload);
    });
  }

  void HandleArrival(std::size_t workload) {
    const double at = random_->Fraction() * cumulative_popularity_.back();
    const auto it = std::lower_bound(cumulative_popularity_.begin(),
                                     cumulative_popularity_.end(), at);
    Job job{.workload = workload,
            .prefix = PairRank(1, static_cast<std::uint64_t>(
                                      it - cumulative_popularity_.begin())),
            .arrived = clock_.Now(),
            .instance = static_cast<int>(random_->Below(queues_.size()))};
    if (IsMeasured()) ++result_.offered;
    if (!options_.admission) return DispatchJob(job);
    const AdmissionDecision decision = queues_[job.instance].OfferRequest(
        MakeAdmissionRequest(job), clock_.Now());
    if (decision.kind == AdmissionDecision::Kind::kAdmitted) {
      return DispatchJob(job);
    }
    if (decision.kind == AdmissionDecision::Kind::kQueued) {
      waiting_[job.instance][decision.ticket] = job;
      return;
    }
    if (IsMeasured()) ++result_.refused;
  }

  AdmissionRequest MakeAdmissionRequest(const Job& job) const {
    const Workload& workload = options_.workloads[job.workload];
    return {.pool = kPool,
            .customer = CustomerId(absl::StrCat("c", job.prefix % 10)),
            .priority = workload.priority,
            .capacity = options_.targets * options_.slots / options_.instances,
            .deadline = job.arrived + workload.useful};
  }

  int ChooseTarget(const Job& job) {
    const std::vector<int>& own = in_flight_[job.instance];
    switch (options_.policy) {
      case Policy::kRoundRobin:
        return next_target_++ % options_.targets;
      case Policy::kRandom:
        return static_cast<int>(random_->Below(own.size()));
      case Policy::kLeastConnections:
        return static_cast<int>(std::min_element(own.begin(), own.end()) -
                                own.begin());
      case Policy::kPlainHash:
        return static_cast<int>(job.prefix % own.size());
      case Policy::kFleet:
        break;
    }
    LastReason reason;
    const auto picked = selectors_[job.instance]->Pick(
        {.pool = kPool, .prefix_hash = job.prefix}, clock_.Now(), &reason);
    return std::stoi(picked->id.value().substr(1));
  }

  void DispatchJob(Job job) {
    job.admitted = clock_.Now();
    job.target = ChooseTarget(job);
    ++in_flight_[job.instance][job.target];
    ModelTarget& target = targets_[job.target];
    if (target.active < options_.slots) return StartJob(job);
    target.queue[options_.workloads[job.workload].priority].push_back(job);
  }

  void StartJob(const Job& job) {
    ModelTarget& target = targets_[job.target];
    ++target.active;
    const bool hit = target.CachePrefix(job.prefix, options_.cached_prefixes);
    const double busy = static_cast<double>(target.active) / options_.slots;
    const absl::Duration interval = options_.token_interval * (1 + busy / 2);
    const absl::Duration prefill =
        hit ? options_.prefill_cached : options_.prefill;
    const Workload& workload = options_.workloads[job.workload];
    const absl::Time first = clock_.Now() + prefill;
    if (IsMeasured()) {
      ++starts_;
      hits_ += hit ? 1 : 0;
      result_.first_token_time[job.workload].push_back(
          absl::ToDoubleSeconds(first - job.arrived));
      result_.inter_token_time.push_back(absl::ToDoubleSeconds(interval));
    }
    ScheduleAt(first + interval * workload.tokens,
               [this, job] { FinishJob(job); });
  }

  void FinishJob(const Job& job) {
    ModelTarget& target = targets_[job.target];
    --target.active;
    --in_flight_[job.instance][job.target];
    const absl::Duration took = clock_.Now() - job.arrived;
    if (IsMeasured()) {
      result_.completion_time[job.workload].push_back(
          absl::ToDoubleSeconds(took));
      if (took <= options_.workloads[job.workload].useful) ++result_.useful;
    }
    if (options_.policy == Policy::kFleet) {
      selectors_[job.instance]->FinishAttempt(
          kPool,
          {.target = MakeTargetId(job.target),
           .duration = clock_.Now() - job.admitted},
          clock_.Now());
    }
    StartNextJob(&target);
    if (options_.admission) AdmitWaitingJobs(job);
  }

  void StartNextJob(ModelTarget* target) {
    for (auto& [priority, jobs] : target->queue) {
      if (jobs.empty()) continue;
      const Job next = jobs.front();
      jobs.pop_front();
      return StartJob(next);
    }
  }

  void AdmitWaitingJobs(const Job& finished) {
    AdmissionQueue& queue = queues_[finished.instance];
    queue.ReleaseSlot(MakeAdmissionRequest(finished),
                      clock_.Now() - finished.admitted);
    while (const auto ticket = queue.AdmitNext(clock_.Now())) {
      auto waiting = waiting_[finished.instance].extract(*ticket);
      DispatchJob(waiting.mapped());
    }
  }

  void ReportLoads() {
    ScheduleAt(clock_.Now() + options_.report_interval,
               [this] { ReportLoads(); });
    int highest = 0;
    int total = 0;
    for (int i = 0; i < options_.targets; ++i) {
      const int load = targets_[i].load();
      highest = std::max(highest, load);
      total += load;
      const TargetLoadReport report{.target = MakeTargetId(i),
                                    .requests = load,
                                    .measured = clock_.Now()};
      ScheduleAt(clock_.Now() + options_.report_lag, [this, report] {
        for (const auto& selector : selectors_) selector->OnLoadReport(report);
      });
    }
    if (!IsMeasured() || total == 0) return;
    ++samples_;
    result_.imbalance +=
        static_cast<double>(highest) * options_.targets / total;
  }

  const LoadModelOptions options_;
  SteppingClock clock_;
  absl::Time begin_;
  std::unique_ptr<RandomSource> random_ = MakeSeededRandom(20261204);
  StaticConfig config_;
  std::vector<ModelTarget> targets_;
  std::vector<std::unique_ptr<FleetSelector>> selectors_;
  std::vector<AdmissionQueue> queues_;
  std::vector<std::map<AdmissionTicket, Job>> waiting_;
  std::vector<std::vector<int>> in_flight_;
  std::vector<double> cumulative_popularity_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t last_sequence_ = 0;
  int next_target_ = 0;
  int samples_ = 0;
  double hits_ = 0;
  double starts_ = 0;
  LoadResult result_;
};

}  // namespace

LoadResult RunLoad(const LoadModelOptions& options) {
  return LoadModel(options).Run();
}

double Quantile(std::vector<double> values, double quantile) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(last * quantile)];
}

}  // namespace wisteriareel
