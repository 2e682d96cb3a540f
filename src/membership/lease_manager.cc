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
// A candidate's look is at most this often stretched by its rank.
constexpr std::size_t kLowestRank = 30;

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
      Note();
      return options_.candidate_poll;
    }
    // The holder's own write says all that a read would say, unless its
    // outcome is in doubt or it found the row changed.
    if ((!held_before || read_again_) && !Read()) return Pause(rank);
    Write();
    Note();
    return Pause(rank);
  }

  std::optional<HeldLease> Held() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return decision_.Held(options_.clock->Now());
  }

  void Release() {
    std::lock_guard<std::mutex> step_lock(step_mutex_);
    // The row's version is needed, which the last write has changed.
    if (read_again_) Read();
    std::optional<Transaction> transaction;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      transaction = decision_.Release(options_.random->HexId());
    }
    read_again_ = true;
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
    read_again_ = false;
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
    // The next write is conditional on the version of this one's row.
    read_again_ = true;
  }

  absl::Duration Pause(std::optional<std::size_t> rank) const {
    if (Held()) return options_.renewal;
    const std::size_t stretch = 1 + std::min(rank.value_or(0), kLowestRank);
    return options_.candidate_poll * static_cast<std::int64_t>(stretch);
  }

  // Logs when the duty was taken or lost.
  void Note() {
    const auto held = Held();
    const FencingNumber fencing = held ? held->fencing : FencingNumber();
    if (fencing == noted_) return;
    const bool taken = held.has_value();
    options_.events->Write(
        taken ? EventId::kLeaseTaken : EventId::kLeaseLost,
        taken ? Severity::kInfo : Severity::kWarning,
        taken ? "duty is held" : "duty is no longer held",
        {{"duty", options_.task},
         {"fencing", absl::StrCat(taken ? fencing.value() : noted_.value())}});
    noted_ = fencing;
  }

  const Options options_;
  // Held over calls of the table; taken before `mutex_`.
  std::mutex step_mutex_;
  mutable std::mutex mutex_;
  LeaseDecision decision_;
  // Guarded by `step_mutex_`.
  bool read_again_ = true;
  FencingNumber noted_;
};

LeaseManager::LeaseManager(Options options)
    : state_(std::make_unique<State>(std::move(options))) {}

LeaseManager::~LeaseManager() = default;

absl::Duration LeaseManager::Step() { return state_->Step(); }

std::optional<HeldLease> LeaseManager::Held() const { return state_->Held(); }

void LeaseManager::Release() { state_->Release(); }

}  // namespace wisteriareel
