#ifndef WISTERIAREEL_SRC_ROUTER_LEDGER_TRANSACTION_SENDER_H_
#define WISTERIAREEL_SRC_ROUTER_LEDGER_TRANSACTION_SENDER_H_

#include <functional>

#include "absl/time/time.h"
#include "src/forward/prepaid_ledger.h"
#include "src/router/ledger_row_sync.h"
#include "src/router/scheduler.h"
#include "wisteriareel/async_table.h"
#include "wisteriareel/event_log.h"

namespace wisteriareel {

// Commits the ledger's transactions to the platform's table. While the table
// states eras, the ledger learns of a commit once other instances know the
// rows, so that none of its tokens is used before. Not thread-safe.
class LedgerTransactionSender {
 public:
  // The pointers must outlive the sender. `changed` runs after each reply,
  // with the customer whose tokens the transaction changes.
  LedgerTransactionSender(PrepaidLedger* ledger, AsyncTable* table,
                          LedgerRowSync* rows, Scheduler* scheduler,
                          EventLog* log,
                          std::function<void(const CustomerId&)> changed);

  // Starts sending. No transaction is sent before this call.
  void Start();

  // Sends the transactions that are due now.
  void SendDueTransactions();

 private:
  // Passes the latest contact with the platform to the ledger.
  void RecordContact();
  void HandleReply(const LedgerTransaction& entry, const CommitReply& reply);
  void Complete(const CustomerId& customer, const CommitReply& reply);

  PrepaidLedger* const ledger_;
  AsyncTable* const table_;
  LedgerRowSync* const rows_;
  Scheduler* const scheduler_;
  EventLog* const log_;
  const std::function<void(const CustomerId&)> changed_;
  bool started_ = false;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTER_LEDGER_TRANSACTION_SENDER_H_
