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

// Balance of one holder on one budget. Request threads access only the atomic
// members; the plain members belong to the thread that runs
// LeasedGrants::Step.
class BudgetAccount {
 public:
  explicit BudgetAccount(BudgetId budget) : budget_(std::move(budget)) {}

  const BudgetId& budget() const { return budget_; }

  // Withdraws `amount` from the available tokens. Returns false and withdraws
  // nothing if fewer are available.
  bool TryWithdraw(std::int64_t amount) {
    if (available_.fetch_sub(amount, std::memory_order_acq_rel) >= amount) {
      return true;
    }
    available_.fetch_add(amount, std::memory_order_acq_rel);
    return false;
  }

  // Adds `amount` to the available tokens.
  void Deposit(std::int64_t amount) {
    available_.fetch_add(amount, std::memory_order_acq_rel);
  }

  // Settles a withdrawal of `amount`: charges `billed` and deposits the rest.
  void Charge(std::int64_t amount, std::int64_t billed) {
    settled_.fetch_add(billed, std::memory_order_acq_rel);
    if (amount != billed) Deposit(amount - billed);
  }

  // Records that the object store has the records of `billed` tokens.
  void RecordPersisted(std::int64_t billed) {
    persisted_.fetch_add(billed, std::memory_order_acq_rel);
  }

  // Records the worst case of a request for the sizing of grants.
  void RecordWorstCase(std::int64_t amount) {
    if (amount > largest_request_.load(std::memory_order_relaxed)) {
      largest_request_.store(amount, std::memory_order_relaxed);
    }
  }

  // Requests a grant that covers at least `amount`.
  void RequestGrant(std::int64_t amount) {
    std::int64_t current = requested_grant_.load(std::memory_order_acquire);
    while (current < amount &&
           !requested_grant_.compare_exchange_weak(current, amount)) {
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
  // Reduces the largest worst case by an eighth.
  void DecayLargestRequest() {
    const std::int64_t current = largest_request();
    largest_request_.store(current - current / 8, std::memory_order_relaxed);
  }
  // Returns the tokens withdrawn by requests that have not ended.
  std::int64_t reserved() const {
    return granted - returned - pending_return - available() - settled();
  }
  // Clears the requested grant and returns its previous value.
  std::int64_t ClearRequestedGrant() { return requested_grant_.exchange(0); }

  // Number of attempts to get a grant for this account, and the reason why the
  // last one granted too little.
  std::atomic<std::uint64_t> grant_attempts = 0;
  std::atomic<Reason> last_refusal = Reason::kNone;

  // Values in the table after the last confirmed transaction.
  std::int64_t granted = 0;
  std::int64_t returned = 0;
  std::int64_t reported = 0;
  // Tokens withdrawn for a return that is not confirmed yet.
  std::int64_t pending_return = 0;
  bool has_row = false;
  // Zero until the top-up row has been read.
  int stripes = 0;
  // Smoothed settled tokens per second, and the settled tokens at its last
  // update.
  double spend_rate = 0;
  std::int64_t settled_at_rate_update = 0;
  // Result of the sizing policy when the budget was last read.
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

// Hash map from budgets to accounts. Insert-only, so that a lookup needs no
// lock and no reference count; accounts live as long as the map. Thread-safe.
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

  // Returns the account of `budget`, which is created if it does not exist.
  BudgetAccount* FindOrCreate(const BudgetId& budget) {
    if (BudgetAccount* found = Find(budget)) return found;
    std::atomic<BudgetAccount*>& head = Head(budget);
    auto* created = new BudgetAccount(budget);
    BudgetAccount* first = head.load(std::memory_order_acquire);
    while (true) {
      if (BudgetAccount* found = FindInList(first, budget)) {
        delete created;
        return found;
      }
      created->next_ = first;
      if (head.compare_exchange_weak(first, created)) return created;
    }
  }

  // Returns all accounts in unspecified order.
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
