#include "bench/budget_run.h"

#include <algorithm>
#include <deque>
#include <vector>

namespace wisteriareel {
namespace {

// Seconds that a request waits for a grant before it is refused.
constexpr Second kPatience = 5;
constexpr Second kReplacementDelay = 30;

struct OpenRequest {
  Arrival arrival;
  Reservation reservation;
  int instance = 0;
  Second ends = 0;
};

struct WaitingRequest {
  Arrival arrival;
  int instance = 0;
};

struct BudgetTruth {
  std::int64_t topped_up = 0;
  std::int64_t spent = 0;
  std::int64_t reserved = 0;

  std::int64_t Left() const { return topped_up - spent - reserved; }
};

class Run {
 public:
  Run(const Deployment& deployment, const Scenario& scenario,
      const Trace& trace, BudgetModel* model)
      : deployment_(deployment),
        scenario_(scenario),
        trace_(trace),
        model_(model),
        cut_since_(static_cast<std::size_t>(deployment.instances), -1),
        dead_until_(static_cast<std::size_t>(deployment.instances), -1),
        truth_(kExperimentBudgets) {}

  RunResult All() {
    std::size_t next_arrival = 0;
    std::size_t next_top_up = 0;
    for (now_ = 0; now_ < kExperimentEnd; ++now_) {
      ApplyFaults();
      while (next_top_up < trace_.top_ups.size() &&
             trace_.top_ups[next_top_up].at <= now_) {
        due_.push_back(trace_.top_ups[next_top_up++]);
      }
      TopUpDue();
      EndRequests();
      RetryWaiting();
      while (next_arrival < trace_.arrivals.size() &&
             trace_.arrivals[next_arrival].at <= now_) {
        Arrive(trace_.arrivals[next_arrival++]);
      }
      model_->Tick();
    }
    return Finish();
  }

 private:
  bool Alive(int instance) const {
    return dead_until_[static_cast<std::size_t>(instance)] < 0;
  }
  bool Cut(int instance) const {
    return cut_since_[static_cast<std::size_t>(instance)] >= 0;
  }
  BudgetTruth& Truth(int budget) {
    return truth_[static_cast<std::size_t>(budget)];
  }

  void ApplyFaults() {
    using Kind = Scenario::Kind;
    const bool begins = now_ == scenario_.from && scenario_.to > 0;
    const bool ends = now_ == scenario_.to && scenario_.to > 0;
    for (int i = 0; i < deployment_.instances; ++i) {
      const bool concerned =
          scenario_.kind == Kind::kPlatformUnavailable ||
          (scenario_.kind == Kind::kZoneCut && deployment_.ZoneOf(i) == 0);
      if (concerned && (begins || ends)) SetCut(i, begins);
      if (dead_until_[static_cast<std::size_t>(i)] != now_) continue;
      dead_until_[static_cast<std::size_t>(i)] = -1;
      model_->Replace(i);
    }
    const bool dying = scenario_.kind == Kind::kDeaths &&
                       now_ >= scenario_.from && now_ < scenario_.to;
    if (dying && now_ % 60 == 0) Kill(now_ / 60 * 3 % deployment_.instances);
  }

  void SetCut(int instance, bool cut) {
    cut_since_[static_cast<std::size_t>(instance)] = cut ? now_ : -1;
    model_->SetCut(instance, cut);
  }

  // Requests of a dead instance are taken to have run to their end unseen.
  void Kill(int instance) {
    if (!Alive(instance)) return;
    for (OpenRequest& open : open_) {
      if (open.instance != instance || open.ends < 0) continue;
      Truth(open.arrival.budget).reserved -= open.arrival.worst_case;
      Truth(open.arrival.budget).spent += open.arrival.billed;
      open.ends = -1;
    }
    dead_until_[static_cast<std::size_t>(instance)] = now_ + kReplacementDelay;
    model_->Kill(instance);
  }

  void TopUpDue() {
    std::vector<PlannedTopUp> later;
    for (const PlannedTopUp& top_up : due_) {
      if (!model_->TopUp(top_up.budget, top_up.amount)) {
        later.push_back(top_up);
        continue;
      }
      Truth(top_up.budget).topped_up += top_up.amount;
      accepted_.push_back({now_, top_up.budget, top_up.amount});
    }
    due_ = std::move(later);
  }

  void EndRequests() {
    std::deque<OpenRequest> still_open;
    for (OpenRequest& open : open_) {
      if (open.ends < 0) continue;
      if (open.ends > now_) {
        still_open.push_back(open);
        continue;
      }
      BudgetTruth& truth = Truth(open.arrival.budget);
      truth.reserved -= open.arrival.worst_case;
      truth.spent += open.arrival.billed;
      model_->Settle(open.instance, open.reservation, open.arrival.billed);
    }
    open_ = std::move(still_open);
    for (const BudgetTruth& truth : truth_) {
      result_.overspent =
          std::max(result_.overspent, truth.spent - truth.topped_up);
    }
  }

  void Arrive(const Arrival& arrival) {
    ++result_.requests;
    int instance = arrival.instance;
    while (!Alive(instance)) instance = (instance + 1) % deployment_.instances;
    if (!Admit(arrival, instance)) waiting_.push_back({arrival, instance});
  }

  bool Admit(const Arrival& arrival, int instance) {
    const auto reservation =
        model_->TryReserve(instance, arrival.budget, arrival.worst_case);
    if (!reservation) return false;
    Truth(arrival.budget).reserved += arrival.worst_case;
    open_.push_back({.arrival = arrival,
                     .reservation = *reservation,
                     .instance = instance,
                     .ends = now_ + arrival.duration});
    return true;
  }

  void RetryWaiting() {
    std::vector<WaitingRequest> still_waiting;
    for (const WaitingRequest& waiting : waiting_) {
      if (!Alive(waiting.instance)) {
        Refuse(waiting);
        continue;
      }
      if (Admit(waiting.arrival, waiting.instance)) continue;
      if (now_ - waiting.arrival.at < kPatience) {
        still_waiting.push_back(waiting);
      } else {
        Refuse(waiting);
      }
    }
    waiting_ = std::move(still_waiting);
  }

  void Refuse(const WaitingRequest& waiting) {
    const Arrival& arrival = waiting.arrival;
    ++result_.refused;
    const BudgetTruth& truth = Truth(arrival.budget);
    if (truth.Left() < arrival.worst_case) return;
    if (Cut(waiting.instance)) {
      RefuseAway(waiting);
      return;
    }
    if (!Alive(waiting.instance) ||
        Reachable(arrival.budget, -1) < arrival.worst_case) {
      ++result_.holder_dead;
      return;
    }
    ++result_.grant_too_small;
    const double left = static_cast<double>(truth.Left()) /
                        static_cast<double>(truth.topped_up);
    result_.max_left = std::max(result_.max_left, left);
  }

  void RefuseAway(const WaitingRequest& waiting) {
    const Arrival& arrival = waiting.arrival;
    std::int64_t unseen = 0;
    for (const PlannedTopUp& top_up : accepted_) {
      if (top_up.budget != arrival.budget) continue;
      if (top_up.at >= cut_since_[static_cast<std::size_t>(waiting.instance)]) {
        unseen += top_up.amount;
      }
    }
    if (Truth(arrival.budget).Left() - unseen < arrival.worst_case) {
      ++result_.top_up_unseen;
    } else {
      ++result_.platform_unavailable;
    }
    const int zone = deployment_.ZoneOf(waiting.instance);
    if (HeldIn(arrival.budget, zone) >= arrival.worst_case) {
      ++result_.covered_in_zone;
    }
    if (HeldIn(arrival.budget, -1) >= arrival.worst_case) {
      ++result_.covered_anywhere;
    }
  }

  // Returns what the live instances of `zone`, or of all if negative, hold.
  std::int64_t HeldIn(int budget, int zone) {
    std::int64_t held = 0;
    for (int i = 0; i < deployment_.instances; ++i) {
      if (zone >= 0 && deployment_.ZoneOf(i) != zone) continue;
      if (Alive(i)) held += model_->HeldAt(i, budget);
    }
    return held;
  }

  std::int64_t Reachable(int budget, int zone) {
    return model_->Pool(budget) + HeldIn(budget, zone);
  }

  RunResult Finish() {
    for (int i = 0; i < kExperimentBudgets; ++i) {
      result_.topped_up += Truth(i).topped_up;
      const std::int64_t lost = Truth(i).Left() - Reachable(i, -1);
      result_.stranded += std::max<std::int64_t>(0, lost);
    }
    result_.writes = model_->TableWrites();
    return result_;
  }

  const Deployment& deployment_;
  const Scenario& scenario_;
  const Trace& trace_;
  BudgetModel* const model_;
  Second now_ = 0;
  std::vector<Second> cut_since_;
  std::vector<Second> dead_until_;
  std::vector<BudgetTruth> truth_;
  std::vector<PlannedTopUp> due_;
  std::vector<PlannedTopUp> accepted_;
  std::deque<OpenRequest> open_;
  std::vector<WaitingRequest> waiting_;
  RunResult result_;
};

}  // namespace

RunResult RunModel(const Deployment& deployment, const Scenario& scenario,
                   const Trace& trace, BudgetModel* model) {
  return Run(deployment, scenario, trace, model).All();
}

}  // namespace wisteriareel
