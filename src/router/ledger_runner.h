#ifndef WISTERIAREEL_SRC_ROUTER_LEDGER_RUNNER_H_
#define WISTERIAREEL_SRC_ROUTER_LEDGER_RUNNER_H_

#include <functional>

#include "absl/time/time.h"
#include "src/forward/prepaid_ledger.h"
#include "src/router/scheduler.h"
#include "wisteriareel/async_table.h"
#include "wisteriareel/event_log.h"

namespace wisteriareel {

// Sends the ledger's orders to the platform's table. Not thread-safe.
class LedgerRunner {
 public:
  // The pointers outlive the runner. `changed` runs after each reply for the
  // customer whose tokens it is about.
  LedgerRunner(PrepaidLedger* ledger, AsyncTable* table, Scheduler* scheduler,
               EventLog* log, std::function<void(const CustomerId&)> changed);

  // Until then no order is sent.
  void Start();

  // Sends what is due now.
  void Poke();

 private:
  void Tick();
  void Complete(const CustomerId& customer, const CommitReply& reply);

  PrepaidLedger* const ledger_;
  AsyncTable* const table_;
  Scheduler* const scheduler_;
  EventLog* const log_;
  const std::function<void(const CustomerId&)> changed_;
  bool started_ = false;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTER_LEDGER_RUNNER_H_
