#include "src/router/ledger_runner.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace wisteriareel {
namespace {

// How often refills and reports are looked for; requests that wait don't wait
// for this.
constexpr absl::Duration kTick = absl::Milliseconds(100);

std::string OutcomeName(CommitOutcome outcome) {
  switch (outcome) {
    case CommitOutcome::kCommitted:
      return "committed";
    case CommitOutcome::kConflict:
      return "conflict";
    case CommitOutcome::kRejected:
      return "rejected";
    case CommitOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace

LedgerRunner::LedgerRunner(PrepaidLedger* ledger, AsyncTable* table,
                           Scheduler* scheduler, EventLog* log,
                           std::function<void(const CustomerId&)> changed)
    : ledger_(ledger),
      table_(table),
      scheduler_(scheduler),
      log_(log),
      changed_(std::move(changed)) {}

void LedgerRunner::Start() {
  started_ = true;
  Tick();
}

void LedgerRunner::Tick() {
  Poke();
  scheduler_->After(kTick, [this] { Tick(); });
}

void LedgerRunner::Poke() {
  const std::optional<TableContact> contact = table_->LastContact();
  if (contact.has_value()) ledger_->RecordContact(contact->sent);
  if (!started_) return;
  for (LedgerTransaction& order :
       ledger_->TakeTransactions(scheduler_->Now())) {
    table_->Commit(order.transaction,
                   [this, customer = order.customer](const CommitReply& reply) {
                     Complete(customer, reply);
                   });
  }
}

void LedgerRunner::Complete(const CustomerId& customer,
                            const CommitReply& reply) {
  ledger_->CompleteTransaction(customer, reply, scheduler_->Now());
  const bool failed = reply.outcome == CommitOutcome::kRejected ||
                      reply.outcome == CommitOutcome::kUnknown;
  const PrepaidLedger::Summary view = ledger_->GetSummary(customer);
  log_->Write(EventId::kLedgerTransactionEnded,
              failed ? Severity::kWarning : Severity::kDebug,
              "budget order ended",
              {{"customer", customer.value()},
               {"outcome", OutcomeName(reply.outcome)},
               {"prepaid", absl::StrCat(view.prepaid.value())},
               {"granted", absl::StrCat(view.granted.value())},
               {"settled", absl::StrCat(view.settled.value())},
               {"held_here", absl::StrCat(view.held_here.value())},
               {"reserved_here", absl::StrCat(view.reserved_here.value())}});
  changed_(customer);
  Poke();
}

}  // namespace wisteriareel
