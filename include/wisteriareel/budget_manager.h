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

// Tokens reserved for one request out of the grants of this instance. Must be
// settled or released exactly once.
struct Reservation {
  BudgetId budget;
  RequestId request;
  Tokens amount;
  // Sequence number of the grant that covers the amount.
  std::uint64_t grant = 0;

  friend bool operator==(const Reservation&, const Reservation&) = default;
};

// Limits requests to prepaid budgets. Thread-safe.
class BudgetManager {
 public:
  virtual ~BudgetManager() = default;

  // Reserves `worst_case` tokens. If the unreserved tokens of this instance
  // are too few, waits for a larger grant until `deadline`; otherwise sends no
  // message and takes no lock that all customers share. On failure, reserves
  // nothing and returns nullopt with a 2xx reason.
  virtual std::optional<Reservation> Reserve(const BudgetId& budget,
                                             const RequestId& request,
                                             Tokens worst_case,
                                             absl::Time deadline,
                                             LastReason* reason) = 0;

  // Charges `record.billed`, at most the reserved amount, releases the rest
  // and appends `record` to the journal.
  virtual void Settle(const Reservation& reservation,
                      const RequestRecord& record) = 0;

  // Releases the complete reservation of a request that was not run.
  virtual void Release(const Reservation& reservation) = 0;
};

// State of one budget as stored in the table. `granted` is net of returned
// tokens.
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

  // Adds `amount` to the budget. Idempotent per `order`. Returns the new
  // status, or nullopt with a reason; see ConfigStore::Apply for lost replies.
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
