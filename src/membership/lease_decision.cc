#include "src/membership/lease_decision.h"

#include <cstddef>
#include <utility>

namespace wisteriareel {
namespace {

// Maximum number of remembered writes in doubt. If a discarded one takes effect
// later, this instance waits until its lease has lapsed, as for any other
// holder.
constexpr std::size_t kMaxPending = 16;

}  // namespace

LeaseDecision::LeaseDecision(Options options) : options_(std::move(options)) {}

void LeaseDecision::OnRead(const Row* row, absl::Time now) {
  const std::uint64_t version = row == nullptr ? 0 : row->version;
  const bool first_read = first_seen_ == absl::InfiniteFuture();
  if (first_read || version != version_) {
    version_ = version;
    first_seen_ = now;
    row_ = row == nullptr ? std::nullopt : DecodeLeaseRow(row->value);
    // A write in doubt that took effect holds the lease from the time at which
    // it was started. The others can't take effect any more, since the row has
    // changed.
    for (const PendingWrite& write : pending_) {
      if (row_ == write.row) SetHeld(write);
    }
    pending_.clear();
  }
  const bool own = row_ && held_ && row_->holder == options_.self &&
                   row_->fencing == held_->fencing;
  if (!own) held_.reset();
}

void LeaseDecision::SetHeld(const PendingWrite& write) {
  held_ = HeldLease{.fencing = write.row.fencing,
                    .expires = write.started + options_.duration};
}

bool LeaseDecision::MayWrite(absl::Time now) const {
  if (first_seen_ == absl::InfiniteFuture()) return false;
  if (Held(now)) return true;
  // A malformed row counts as held by another instance.
  const bool free = version_ == 0 || (row_ && row_->holder.empty());
  if (free) return true;
  return now - first_seen_ >= options_.duration + options_.margin;
}

Transaction LeaseDecision::Write(const std::string& write, absl::Time now) {
  const auto held = Held(now);
  // Each new term has a higher fencing number, even for the same holder.
  FencingNumber fencing;
  if (held) {
    fencing = held->fencing;
  } else if (row_) {
    fencing = row_->fencing.Next();
  } else {
    fencing = FencingNumber(1);
  }
  if (pending_.size() == kMaxPending) pending_.erase(pending_.begin());
  pending_.push_back({{options_.self, fencing, write}, now});
  return {.conditions = {{options_.key, version_}},
          .writes = {{options_.key, EncodeLeaseRow(pending_.back().row)}}};
}

std::optional<Transaction> LeaseDecision::Release(const std::string& write) {
  if (!held_) return std::nullopt;
  const LeaseRow row{InstanceId(), held_->fencing, write};
  held_.reset();
  pending_.clear();
  return Transaction{.conditions = {{options_.key, version_}},
                     .writes = {{options_.key, EncodeLeaseRow(row)}}};
}

void LeaseDecision::OnOutcome(CommitOutcome outcome) {
  if (outcome == CommitOutcome::kUnknown) return;
  if (outcome == CommitOutcome::kCommitted) SetHeld(pending_.back());
  pending_.pop_back();
}

std::optional<HeldLease> LeaseDecision::Held(absl::Time now) const {
  if (!held_ || now >= held_->expires) return std::nullopt;
  return held_;
}

}  // namespace wisteriareel
