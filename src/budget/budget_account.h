#ifndef WISTERIAREEL_BUDGET_BUDGET_ACCOUNT_H_
#define WISTERIAREEL_BUDGET_BUDGET_ACCOUNT_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "absl/hash/hash.h"
#include "wisteriareel/reason.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// What one holder has of one budget. The atomics belong to the request path;
// the plain members belong to the thread that steps the holder.
class BudgetAccount {
 public:
  explicit BudgetAccount(BudgetId budget) : budget_(std::move(budget)) {}

  const BudgetId& budget() const { return budget_; }

  // Takes `amount` out of what is available. Returns false, and takes
  // nothing, if that is less.
  bool TryWithdraw(std::int64_t amount) {
    if (available_.fetch_sub(amount, std::memory_order_acq_rel) >= amount) {
      return true;
    }
    available_.fetch_add(amount, std::memory_order_acq_rel);
    return false;
  }

  // Puts back what was taken.
  void Deposit(std::int64_t amount) {
    available_.fetch_add(amount, std::memory_order_acq_rel);
  }

  // Charges `billed` out of `amount` that was taken.
  void Charge(std::int64_t amount, std::int64_t billed) {
    settled_.fetch_add(billed, std::memory_order_acq_rel);
    if (amount != billed) Deposit(amount - billed);
  }

  // Notes that records over `billed` tokens are in the object store.
  void RecordPersisted(std::int64_t billed) {
    persisted_.fetch_add(billed, std::memory_order_acq_rel);
  }

  // Notes a request's worst case for the sizing of grants.
  void RecordWorstCase(std::int64_t amount) {
    if (amount > largest_request_.load(std::memory_order_relaxed)) {
      largest_request_.store(amount, std::memory_order_relaxed);
    }
  }

  // Asks for a grant that covers `amount`.
  void RequestGrant(std::int64_t amount) {
    std::int64_t seen = requested_grant_.load(std::memory_order_acquire);
    while (seen < amount &&
           !requested_grant_.compare_exchange_weak(seen, amount)) {
    }
  }

  std::int64_t available() const {
    return available_.load(std::memory_order_acquire);
  }
  std::int64_t settled() const {
    return settled_.load(std::memory_order_acquire);
  }
  std::int64_t persisted() const {
    return persisted_.load(std::memory_order_acquire);
  }
  std::int64_t requested_grant() const {
    return requested_grant_.load(std::memory_order_acquire);
  }
  std::int64_t largest_request() const {
    return largest_request_.load(std::memory_order_relaxed);
  }
  // Lets the largest worst case fade by an eighth.
  void DecayLargestRequest() {
    const std::int64_t seen = largest_request();
    largest_request_.store(seen - seen / 8, std::memory_order_relaxed);
  }
  // Returns what is taken by requests that have not ended.
  std::int64_t reserved() const {
    return granted - returned - pending_return - available() - settled();
  }
  // Returns the want and clears it.
  std::int64_t ClearRequestedGrant() { return requested_grant_.exchange(0); }

  // Counts the attempts to order that covered this account, and says why the
  // last one brought too little.
  std::atomic<std::uint64_t> grant_attempts = 0;
  std::atomic<Reason> last_refusal = Reason::kNone;

  // As the table has them after the last confirmed order.
  std::int64_t granted = 0;
  std::int64_t returned = 0;
  std::int64_t reported = 0;
  // Taken out of the available tokens by a return that isn't confirmed yet.
  std::int64_t pending_return = 0;
  bool has_row = false;
  // Zero until the top-up row was read.
  int stripes = 0;
  // Settled tokens a second, smoothed, and the reading it continues from.
  double spend_rate = 0;
  std::int64_t settled_at_rate_update = 0;
  // Holding that the sizing policy named at the last reading of the pool.
  std::int64_t desired_balance = 0;

 private:
  friend class BudgetAccountMap;

  const BudgetId budget_;
  BudgetAccount* next_ = nullptr;
  alignas(64) std::atomic<std::int64_t> available_ = 0;
  std::atomic<std::int64_t> settled_ = 0;
  std::atomic<std::int64_t> persisted_ = 0;
  std::atomic<std::int64_t> requested_grant_ = 0;
  std::atomic<std::int64_t> largest_request_ = 0;
};

// Accounts by budget. Insert-only, so that a lookup takes no lock and counts
// no reference; accounts live as long as the map. Thread-safe.
class BudgetAccountMap {
 public:
  // `buckets` must be a power of two.
  explicit BudgetAccountMap(std::size_t buckets) : heads_(buckets) {}

  ~BudgetAccountMap() {
    for (std::atomic<BudgetAccount*>& head : heads_) {
      BudgetAccount* it = head.load();
      while (it != nullptr) {
        BudgetAccount* next = it->next_;
        delete it;
        it = next;
      }
    }
  }

  BudgetAccountMap(const BudgetAccountMap&) = delete;
  BudgetAccountMap& operator=(const BudgetAccountMap&) = delete;

  // Returns the account of `budget`, or null.
  BudgetAccount* Find(const BudgetId& budget) const {
    return FindInList(Head(budget).load(std::memory_order_acquire), budget);
  }

  // Returns the account of `budget`, made if there was none.
  BudgetAccount* FindOrCreate(const BudgetId& budget) {
    if (BudgetAccount* found = Find(budget)) return found;
    std::atomic<BudgetAccount*>& head = Head(budget);
    auto* made = new BudgetAccount(budget);
    BudgetAccount* seen = head.load(std::memory_order_acquire);
    while (true) {
      if (BudgetAccount* found = FindInList(seen, budget)) {
        delete made;
        return found;
      }
      made->next_ = seen;
      if (head.compare_exchange_weak(seen, made)) return made;
    }
  }

  // Returns all accounts, in no order.
  std::vector<BudgetAccount*> All() const {
    std::vector<BudgetAccount*> all;
    for (const std::atomic<BudgetAccount*>& head : heads_) {
      BudgetAccount* it = head.load(std::memory_order_acquire);
      for (; it != nullptr; it = it->next_) all.push_back(it);
    }
    return all;
  }

 private:
  static BudgetAccount* FindInList(BudgetAccount* it, const BudgetId& budget) {
    while (it != nullptr && it->budget_ != budget) it = it->next_;
    return it;
  }

  std::atomic<BudgetAccount*>& Head(const BudgetId& budget) {
    return heads_[absl::HashOf(budget) & (heads_.size() - 1)];
  }
  const std::atomic<BudgetAccount*>& Head(const BudgetId& budget) const {
    return heads_[absl::HashOf(budget) & (heads_.size() - 1)];
  }

  std::vector<std::atomic<BudgetAccount*>> heads_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_BUDGET_BUDGET_ACCOUNT_H_
