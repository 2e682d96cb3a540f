#ifndef WISTERIAREEL_STANDIN_FAKES_FAKE_BUDGET_MANAGER_H_
#define WISTERIAREEL_STANDIN_FAKES_FAKE_BUDGET_MANAGER_H_

#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include "wisteriareel/budget_manager.h"
#include "wisteriareel/request_record.h"

namespace wisteriareel {

// BudgetManager with one balance for all budgets, and an in-memory journal.
// Thread-safe.
class FakeBudgetManager final : public BudgetManager, public RecordJournal {
 public:
  explicit FakeBudgetManager(Tokens balance) : balance_(balance) {}

  std::optional<Reservation> Reserve(const BudgetId& budget,
                                     const RequestId& request,
                                     Tokens worst_case, absl::Time /*deadline*/,
                                     LastReason* reason) override {
    std::lock_guard<std::mutex> lock(mutex_);
    if (worst_case > balance_) {
      reason->Set(Reason::kBudgetExhausted);
      return std::nullopt;
    }
    balance_ -= worst_case;
    ++open_;
    return Reservation{
        .budget = budget, .request = request, .amount = worst_case};
  }

  void Settle(const Reservation& reservation,
              const RequestRecord& record) override {
    std::lock_guard<std::mutex> lock(mutex_);
    --open_;
    balance_ += reservation.amount - record.billed;
    records_.push_back(record);
  }

  void Release(const Reservation& reservation) override {
    std::lock_guard<std::mutex> lock(mutex_);
    --open_;
    balance_ += reservation.amount;
  }

  void Append(const RequestRecord& record) override {
    std::lock_guard<std::mutex> lock(mutex_);
    records_.push_back(record);
  }

  Tokens balance() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return balance_;
  }
  // Returns the number of reservations that are neither settled nor released.
  int open() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return open_;
  }
  std::vector<RequestRecord> records() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return records_;
  }

 private:
  mutable std::mutex mutex_;
  Tokens balance_;
  int open_ = 0;
  std::vector<RequestRecord> records_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_STANDIN_FAKES_FAKE_BUDGET_MANAGER_H_
