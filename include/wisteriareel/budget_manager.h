#ifndef WISTERIAREEL_BUDGET_MANAGER_H_
#define WISTERIAREEL_BUDGET_MANAGER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "wisteriareel/reason.h"
#include "wisteriareel/request_record.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Tokens set aside for one request out of what this instance holds. Settled
// or released exactly once.
struct Reservation {
  BudgetId budget;
  RequestId request;
  Tokens amount;
  // Sequence number of the grant that covers the amount.
  std::uint64_t grant = 0;

  friend bool operator==(const Reservation&, const Reservation&) = default;
};

// Keeps requests within prepaid budgets. Thread-safe.
class BudgetManager {
 public:
  virtual ~BudgetManager() = default;

  // Sets `worst_case` tokens aside, waiting for a larger grant until
  // `deadline` if what is held does not suffice. Sends no message and takes
  // no lock shared by all customers when it suffices. Returns nullopt with a
  // 2xx reason; nothing is then set aside.
  virtual std::optional<Reservation> Reserve(const BudgetId& budget,
                                             const RequestId& request,
                                             Tokens worst_case,
                                             absl::Time deadline,
                                             LastReason* reason) = 0;

  // Charges `record.billed`, at most the reserved amount, and gives the rest
  // back; appends `record` to the journal.
  virtual void Settle(const Reservation& reservation,
                      const RequestRecord& record) = 0;

  // Gives the whole reservation back; for requests that were not run.
  virtual void Release(const Reservation& reservation) = 0;
};

// State of one budget, from the table.
struct BudgetStatus {
  BudgetId budget;
  Tokens topped_up;
  Tokens granted;
  Tokens settled;
  Tokens written_off;

  friend bool operator==(const BudgetStatus&, const BudgetStatus&) = default;
};

// One accepted top-up.
struct AcceptedTopUp {
  OrderId order;
  Tokens amount;
  std::string operator_name;
  absl::Time accepted;

  friend bool operator==(const AcceptedTopUp&, const AcceptedTopUp&) = default;
};

// Operators' view of budgets. Thread-safe; calls block up to their timeout.
class BudgetAdmin {
 public:
  virtual ~BudgetAdmin() = default;

  // Adds `amount` to the budget, once per `order`. Returns the status after
  // it, or nullopt with a reason; see ConfigStore::Apply for lost replies.
  virtual std::optional<BudgetStatus> TopUp(const BudgetId& budget,
                                            const OrderId& order, Tokens amount,
                                            const std::string& operator_name,
                                            absl::Duration timeout,
                                            LastReason* reason) = 0;

  virtual std::optional<BudgetStatus> Status(const BudgetId& budget,
                                             absl::Duration timeout,
                                             LastReason* reason) = 0;

  virtual std::optional<std::vector<AcceptedTopUp>> History(
      const BudgetId& budget, absl::Duration timeout, LastReason* reason) = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_BUDGET_MANAGER_H_
