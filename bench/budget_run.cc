#include "bench/budget_run.h"

#include <algorithm>
#include <deque>
#include <vector>

namespace wisteriareel {
namespace {

// How long a request waits for a grant before it is refused.
constexpr Second kGrantTimeout = 5;
// Time from the failure of an instance to the start of its replacement.
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

struct BudgetLedger {
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
        ledgers_(kExperimentBudgets) {}

  RunResult Execute() {
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
  BudgetLedger& Ledger(int budget) {
    return ledgers_[static_cast<std::size_t>(budget)];
  }

  void ApplyFaults() {
    using Kind = Scenario::Kind;
    const bool begins = now_ == scenario_.from && scenario_.to > 0;
    const bool ends = now_ == scenario_.to && scenario_.to > 0;
    for (int i = 0; i < deployment_.instances; ++i) {
      const bool affected =
          scenario_.kind == Kind::kPlatformUnavailable ||
          (scenario_.kind == Kind::kZoneCut && deployment_.ZoneOf(i) == 0);
      if (affected && (begins || ends)) SetCut(i, begins);
      if (dead_until_[static_cast<std::size_t>(i)] != now_) continue;
      dead_until_[static_cast<std::size_t>(i)] = -1;
      model_->Replace(i);
    }
    const bool deaths_active = scenario_.kind == Kind::kDeaths &&
                               now_ >= scenario_.from && now_ < scenario_.to;
    if (deaths_active && now_ % 60 == 0)
      Kill(now_ / 60 * 3 % deployment_.instances);
  }

  void SetCut(int instance, bool cut) {
    cut_since_[static_cast<std::size_t>(instance)] = cut ? now_ : -1;
    model_->SetCut(instance, cut);
  }

  // Counts the requests of a failed instance as completed; their settlements
  // are lost.
  void Kill(int instance) {
    if (!Alive(instance)) return;
    for (OpenRequest& open : open_) {
      if (open.instance != instance || open.ends < 0) continue;
      Ledger(open.arrival.budget).reserved -= open.arrival.worst_case;
      Ledger(open.arrival.budget).spent += open.arrival.billed;
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
      Ledger(top_up.budget).topped_up += top_up.amount;
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
      BudgetLedger& ledger = Ledger(open.arrival.budget);
      ledger.reserved -= open.arrival.worst_case;
      ledger.spent += open.arrival.billed;
      model_->Settle(open.instance, open.reservation, open.arrival.billed);
    }
    open_ = std::move(still_open);
    for (const BudgetLedger& ledger : ledgers_) {
      result_.overspent =
          std::max(result_.overspent, ledger.spent - ledger.topped_up);
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
    Ledger(arrival.budget).reserved += arrival.worst_case;
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
        RecordRefusal(waiting);
        continue;
      }
      if (Admit(waiting.arrival, waiting.instance)) continue;
      if (now_ - waiting.arrival.at < kGrantTimeout) {
        still_waiting.push_back(waiting);
      } else {
        RecordRefusal(waiting);
      }
    }
    waiting_ = std::move(still_waiting);
  }

  void RecordRefusal(const WaitingRequest& waiting) {
    const Arrival& arrival = waiting.arrival;
    ++result_.refused;
    const BudgetLedger& ledger = Ledger(arrival.budget);
    if (ledger.Left() < arrival.worst_case) return;
    if (Cut(waiting.instance)) {
      RecordRefusalWhileCut(waiting);
      return;
    }
    if (!Alive(waiting.instance) ||
        Reachable(arrival.budget, -1) < arrival.worst_case) {
      ++result_.holder_dead;
      return;
    }
    ++result_.grant_too_small;
    const double left = static_cast<double>(ledger.Left()) /
                        static_cast<double>(ledger.topped_up);
    result_.max_left = std::max(result_.max_left, left);
  }

  void RecordRefusalWhileCut(const WaitingRequest& waiting) {
    const Arrival& arrival = waiting.arrival;
    std::int64_t unseen = 0;
    for (const PlannedTopUp& top_up : accepted_) {
      if (top_up.budget != arrival.budget) continue;
      if (top_up.at >= cut_since_[static_cast<std::size_t>(waiting.instance)]) {
        unseen += top_up.amount;
      }
    }
    if (Ledger(arrival.budget).Left() - unseen < arrival.worst_case) {
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

  // Returns the tokens that the live instances of `zone` hold, or of all zones
  // if it is negative.
  std::int64_t HeldIn(int budget, int zone) {
    std::int64_t held = 0;
    for (int i = 0; i < deployment_.instances; ++i) {
      if (zone >= 0 && deployment_.ZoneOf(i) != zone) continue;
      if (Alive(i)) held += model_->HeldAt(i, budget);
    }
    return held;
  }

  std::int64_t Reachable(int budget, int zone) {
    return model_->Ungranted(budget) + HeldIn(budget, zone);
  }

  RunResult Finish() {
    for (int i = 0; i < kExperimentBudgets; ++i) {
      result_.topped_up += Ledger(i).topped_up;
      const std::int64_t lost = Ledger(i).Left() - Reachable(i, -1);
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
  std::vector<BudgetLedger> ledgers_;
  std::vector<PlannedTopUp> due_;
  std::vector<PlannedTopUp> accepted_;
  std::deque<OpenRequest> open_;
  std::vector<WaitingRequest> waiting_;
  RunResult result_;
};

}  // namespace

RunResult RunModel(const Deployment& deployment, const Scenario& scenario,
                   const Trace& trace, BudgetModel* model) {
  return Run(deployment, scenario, trace, model).Execute();
}

}  // namespace wisteriareel
