#include "src/request/row_batcher.h"

#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

namespace wisteriareel {

// A thread that finds no leader becomes the leader. It commits batches until
// its own change has an outcome, then a waiting thread takes over.
RowChangeResult RowBatcher::Apply(const RowChange& change,
                                  absl::Duration timeout) {
  Pending pending{.change = &change,
                  .deadline = options_.clock->Now() + timeout};
  std::unique_lock<std::mutex> lock(mutex_);
  queue_.push_back(&pending);
  changed_.wait(lock, [&] { return pending.done || !leader_active_; });
  if (pending.done) return pending.result;
  leader_active_ = true;
  while (!pending.done) {
    Batch batch = TakeBatch();
    lock.unlock();
    ProcessBatch(batch);
    lock.lock();
    for (Pending* resolved : batch) resolved->done = true;
    changed_.notify_all();
  }
  leader_active_ = false;
  changed_.notify_all();
  return pending.result;
}

std::size_t RowBatcher::CountWaiting() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return queue_.size();
}

// Takes at most one change per row; the others stay queued.
RowBatcher::Batch RowBatcher::TakeBatch() {
  Batch batch;
  std::deque<Pending*> remaining;
  absl::flat_hash_set<std::string> keys;
  for (Pending* pending : queue_) {
    const bool taken = batch.size() < options_.max_batch &&
                       keys.insert(pending->change->key.key).second;
    if (taken) {
      batch.push_back(pending);
    } else {
      remaining.push_back(pending);
    }
  }
  queue_ = std::move(remaining);
  return batch;
}

void RowBatcher::ProcessBatch(Batch batch) {
  if (!ReadVersions(&batch, false)) return FailBatch(batch);
  for (int attempt = 0; attempt < options_.max_commit_attempts; ++attempt) {
    DropExpired(&batch);
    if (batch.empty()) return;
    const absl::Time until = options_.clock->Now() + options_.call_timeout;
    const CommitOutcome outcome = CommitBatch(batch);
    if (outcome == CommitOutcome::kCommitted) {
      for (Pending* pending : batch) {
        pending->result.outcome = RowChangeOutcome::kApplied;
      }
      return;
    }
    if (outcome == CommitOutcome::kRejected) return FailBatch(batch);
    if (outcome == CommitOutcome::kUnknown) {
      for (Pending* pending : batch) pending->result.uncertain_until = until;
    }
    if (!ReadVersions(&batch, true)) return FailBatch(batch);
  }
  FailBatch(batch);
}

// Reads the rows whose changes expect a value, or all rows, and removes the
// changes whose outcome follows from the read. Returns false if the read
// failed.
bool RowBatcher::ReadVersions(Batch* batch, bool all) {
  std::vector<RowKey> keys;
  for (const Pending* pending : *batch) {
    if (all || pending->change->expected) keys.push_back(pending->change->key);
  }
  if (keys.empty()) return true;
  LastReason reason;
  const std::optional<std::vector<Row>> rows =
      options_.table->Read(keys, options_.call_timeout, &reason);
  if (!rows) return false;
  absl::flat_hash_map<std::string, const Row*> by_key;
  for (const Row& row : *rows) by_key[row.key.key] = &row;
  for (Pending* pending : *batch) {
    if (!all && !pending->change->expected) continue;
    const auto it = by_key.find(pending->change->key.key);
    MatchRow(pending, it == by_key.end() ? std::nullopt
                                         : std::optional<Row>(*it->second));
  }
  DropResolved(batch);
  return true;
}

void RowBatcher::MatchRow(Pending* pending, const std::optional<Row>& row) {
  const RowChange& change = *pending->change;
  const std::optional<std::string> value =
      row ? std::optional<std::string>(row->value) : std::nullopt;
  if (value == change.value) {
    return SetOutcome(pending, RowChangeOutcome::kApplied);
  }
  if (value != change.expected) {
    pending->result.current = row;
    return SetOutcome(pending, RowChangeOutcome::kConflict);
  }
  pending->version = row ? row->version : 0;
}

void RowBatcher::SetOutcome(Pending* pending, RowChangeOutcome outcome) {
  pending->result.outcome = outcome;
  pending->resolved = true;
}

void RowBatcher::DropExpired(Batch* batch) {
  const absl::Time now = options_.clock->Now();
  Batch expired;
  for (Pending* pending : *batch) {
    if (now >= pending->deadline) expired.push_back(pending);
  }
  FailBatch(expired);
  for (Pending* pending : expired) pending->resolved = true;
  DropResolved(batch);
}

CommitOutcome RowBatcher::CommitBatch(const Batch& batch) {
  Transaction transaction;
  for (const Pending* pending : batch) {
    const RowChange& change = *pending->change;
    transaction.conditions.push_back({change.key, pending->version});
    transaction.writes.push_back({change.key, change.value});
  }
  return options_.table->Commit(transaction, options_.call_timeout);
}

void RowBatcher::FailBatch(const Batch& batch) {
  for (Pending* pending : batch) {
    const bool tried = pending->result.uncertain_until != absl::InfinitePast();
    pending->result.outcome =
        tried ? RowChangeOutcome::kUnknown : RowChangeOutcome::kRejected;
  }
}

void RowBatcher::DropResolved(Batch* batch) {
  batch->erase(
      std::remove_if(batch->begin(), batch->end(),
                     [](const Pending* pending) { return pending->resolved; }),
      batch->end());
}

}  // namespace wisteriareel
