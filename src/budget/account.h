#ifndef WISTERIAREEL_BUDGET_ACCOUNT_H_
#define WISTERIAREEL_BUDGET_ACCOUNT_H_

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
class Account {
 public:
  explicit Account(BudgetId budget) : budget_(std::move(budget)) {}

  const BudgetId& budget() const { return budget_; }

  // Takes `amount` out of what is available. Returns false, and takes
  // nothing, if that is less.
  bool Take(std::int64_t amount) {
    if (available_.fetch_sub(amount, std::memory_order_acq_rel) >= amount) {
      return true;
    }
    available_.fetch_add(amount, std::memory_order_acq_rel);
    return false;
  }

  // Puts back what was taken.
  void Put(std::int64_t amount) {
    available_.fetch_add(amount, std::memory_order_acq_rel);
  }

  // Charges `billed` out of `amount` that was taken.
  void Charge(std::int64_t amount, std::int64_t billed) {
    settled_.fetch_add(billed, std::memory_order_acq_rel);
    if (amount != billed) Put(amount - billed);
  }

  // Notes that records over `billed` tokens are in the object store.
  void Keep(std::int64_t billed) {
    kept_.fetch_add(billed, std::memory_order_acq_rel);
  }

  // Notes a request's worst case for the sizing of grants.
  void RecordWorstCase(std::int64_t amount) {
    if (amount > largest_.load(std::memory_order_relaxed)) {
      largest_.store(amount, std::memory_order_relaxed);
    }
  }

  // Asks for a grant that covers `amount`.
  void RequestGrant(std::int64_t amount) {
    std::int64_t seen = wanted_.load(std::memory_order_acquire);
    while (seen < amount && !wanted_.compare_exchange_weak(seen, amount)) {
    }
  }

  std::int64_t available() const {
    return available_.load(std::memory_order_acquire);
  }
  std::int64_t settled() const {
    return settled_.load(std::memory_order_acquire);
  }
  std::int64_t kept() const { return kept_.load(std::memory_order_acquire); }
  std::int64_t wanted() const {
    return wanted_.load(std::memory_order_acquire);
  }
  std::int64_t largest() const {
    return largest_.load(std::memory_order_relaxed);
  }
  // Lets the largest worst case fade by an eighth.
  void DecayLargestRequest() {
    const std::int64_t seen = largest();
    largest_.store(seen - seen / 8, std::memory_order_relaxed);
  }
  // Returns what is taken by requests that have not ended.
  std::int64_t reserved() const {
    return granted - returned - pending_return - available() - settled();
  }
  // Returns the want and clears it.
  std::int64_t ClearRequestedGrant() { return wanted_.exchange(0); }

  // Counts the attempts to order that covered this account, and says why the
  // last one brought too little.
  std::atomic<std::uint64_t> answers = 0;
  std::atomic<Reason> refusal = Reason::kNone;

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
  double rate = 0;
  std::int64_t settled_at_rate_update = 0;
  // Holding that the sizing policy named at the last reading of the pool.
  std::int64_t target = 0;

 private:
  friend class BudgetAccountMap;

  const BudgetId budget_;
  Account* next_ = nullptr;
  alignas(64) std::atomic<std::int64_t> available_ = 0;
  std::atomic<std::int64_t> settled_ = 0;
  std::atomic<std::int64_t> kept_ = 0;
  std::atomic<std::int64_t> wanted_ = 0;
  std::atomic<std::int64_t> largest_ = 0;
};

// Accounts by budget. Insert-only, so that a lookup takes no lock and counts
// no reference; accounts live as long as the map. Thread-safe.
class BudgetAccountMap {
 public:
  // `buckets` must be a power of two.
  explicit BudgetAccountMap(std::size_t buckets) : heads_(buckets) {}

  ~BudgetAccountMap() {
    for (std::atomic<Account*>& head : heads_) {
      Account* it = head.load();
      while (it != nullptr) {
        Account* next = it->next_;
        delete it;
        it = next;
      }
    }
  }

  BudgetAccountMap(const BudgetAccountMap&) = delete;
  BudgetAccountMap& operator=(const BudgetAccountMap&) = delete;

  // Returns the account of `budget`, or null.
  Account* Find(const BudgetId& budget) const {
    return FindInList(Head(budget).load(std::memory_order_acquire), budget);
  }

  // Returns the account of `budget`, made if there was none.
  Account* FindOrCreate(const BudgetId& budget) {
    if (Account* found = Find(budget)) return found;
    std::atomic<Account*>& head = Head(budget);
    auto* made = new Account(budget);
    Account* seen = head.load(std::memory_order_acquire);
    while (true) {
      if (Account* found = FindInList(seen, budget)) {
        delete made;
        return found;
      }
      made->next_ = seen;
      if (head.compare_exchange_weak(seen, made)) return made;
    }
  }

  // Returns all accounts, in no order.
  std::vector<Account*> All() const {
    std::vector<Account*> all;
    for (const std::atomic<Account*>& head : heads_) {
      Account* it = head.load(std::memory_order_acquire);
      for (; it != nullptr; it = it->next_) all.push_back(it);
    }
    return all;
  }

 private:
  static Account* FindInList(Account* it, const BudgetId& budget) {
    while (it != nullptr && it->budget_ != budget) it = it->next_;
    return it;
  }

  std::atomic<Account*>& Head(const BudgetId& budget) {
    return heads_[absl::HashOf(budget) & (heads_.size() - 1)];
  }
  const std::atomic<Account*>& Head(const BudgetId& budget) const {
    return heads_[absl::HashOf(budget) & (heads_.size() - 1)];
  }

  std::vector<std::atomic<Account*>> heads_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_BUDGET_ACCOUNT_H_
