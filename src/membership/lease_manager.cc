#include "wisteriareel/lease_manager.h"

#include <algorithm>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "src/membership/lease_decision.h"

namespace wisteriareel {
namespace {

constexpr char kLeaseTable[] = "lease";
// Candidates of a higher rank poll at the interval of this rank.
constexpr std::size_t kMaxRank = 30;

LeaseDecision::Options DecisionOptions(const LeaseManager::Options& options) {
  return {.key = {kLeaseTable, options.task},
          .self = options.self,
          .duration = options.duration,
          .margin = options.margin};
}

}  // namespace

class LeaseManager::State {
 public:
  explicit State(Options options)
      : options_(std::move(options)), decision_(DecisionOptions(options_)) {}

  absl::Duration Step() {
    std::lock_guard<std::mutex> step_lock(step_mutex_);
    const bool held_before = Held().has_value();
    const std::optional<std::size_t> rank =
        options_.rank ? options_.rank() : std::size_t{0};
    if (!held_before && !rank) {
      LogTransition();
      return options_.candidate_poll;
    }
    // A holder skips the read, unless a write or a release has changed the
    // version of the row since the last read.
    if ((!held_before || needs_read_) && !Read()) return NextPause(rank);
    Write();
    LogTransition();
    return NextPause(rank);
  }

  std::optional<HeldLease> Held() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return decision_.Held(options_.clock->Now());
  }

  void Release() {
    std::lock_guard<std::mutex> step_lock(step_mutex_);
    // The release is conditional on the row's version, which the last write has
    // changed.
    if (needs_read_) Read();
    std::optional<Transaction> transaction;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      transaction = decision_.Release(options_.random->HexId());
    }
    needs_read_ = true;
    if (!transaction) return;
    options_.table->Commit(*transaction, options_.table_timeout);
  }

 private:
  bool Read() {
    LastReason reason;
    const auto rows = options_.table->Read({{kLeaseTable, options_.task}},
                                           options_.table_timeout, &reason);
    if (!rows) return false;
    options_.counters->Add(Counter::kTableReads, 1);
    std::lock_guard<std::mutex> lock(mutex_);
    decision_.OnRead(rows->empty() ? nullptr : &rows->front(),
                     options_.clock->Now());
    needs_read_ = false;
    return true;
  }

  void Write() {
    Transaction transaction;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      const absl::Time now = options_.clock->Now();
      if (!decision_.MayWrite(now)) return;
      transaction = decision_.Write(options_.random->HexId(), now);
    }
    const CommitOutcome outcome =
        options_.table->Commit(transaction, options_.table_timeout);
    options_.counters->Add(Counter::kTableWrites, 1);
    {
      std::lock_guard<std::mutex> lock(mutex_);
      decision_.OnOutcome(outcome);
    }
    // The next write is conditional on the new version of the row.
    needs_read_ = true;
  }

  absl::Duration NextPause(std::optional<std::size_t> rank) const {
    if (Held()) return options_.renewal;
    const std::size_t factor = 1 + std::min(rank.value_or(0), kMaxRank);
    return options_.candidate_poll * static_cast<std::int64_t>(factor);
  }

  // Logs if the lease has been acquired or lost since the last call.
  void LogTransition() {
    const auto held = Held();
    const FencingNumber fencing = held ? held->fencing : FencingNumber();
    if (fencing == logged_fencing_) return;
    const bool acquired = held.has_value();
    options_.events->Write(
        acquired ? EventId::kLeaseTaken : EventId::kLeaseLost,
        acquired ? Severity::kInfo : Severity::kWarning,
        acquired ? "lease acquired" : "lease lost or released",
        {{"duty", options_.task},
         {"fencing",
          absl::StrCat(acquired ? fencing.value() : logged_fencing_.value())}});
    logged_fencing_ = fencing;
  }

  const Options options_;
  // Held during calls of the table service; locked before `mutex_`.
  std::mutex step_mutex_;
  mutable std::mutex mutex_;
  LeaseDecision decision_;
  // Guarded by `step_mutex_`.
  bool needs_read_ = true;
  FencingNumber logged_fencing_;
};

LeaseManager::LeaseManager(Options options)
    : state_(std::make_unique<State>(std::move(options))) {}

LeaseManager::~LeaseManager() = default;

absl::Duration LeaseManager::Step() { return state_->Step(); }

std::optional<HeldLease> LeaseManager::Held() const { return state_->Held(); }

void LeaseManager::Release() { state_->Release(); }

}  // namespace wisteriareel
