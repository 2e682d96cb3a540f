#include "src/router/ledger_transaction_sender.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace wisteriareel {
namespace {

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

LedgerTransactionSender::LedgerTransactionSender(
    PrepaidLedger* ledger, AsyncTable* table, Scheduler* scheduler,
    EventLog* log, std::function<void(const CustomerId&)> changed)
    : ledger_(ledger),
      table_(table),
      scheduler_(scheduler),
      log_(log),
      changed_(std::move(changed)) {}

void LedgerTransactionSender::Start() {
  started_ = true;
  SendDueTransactions();
}

void LedgerTransactionSender::RecordContact() {
  const std::optional<TableContact> commit = table_->LastCommitContact();
  if (commit.has_value()) ledger_->RecordContact(commit->sent);
  const std::optional<TableContact> clock = table_->LastContact();
  if (clock.has_value()) {
    ledger_->RecordClock(clock->platform_ms, clock->received);
  }
}

void LedgerTransactionSender::SendDueTransactions() {
  RecordContact();
  if (!started_) return;
  for (LedgerTransaction& entry :
       ledger_->TakeTransactions(scheduler_->Now())) {
    table_->Commit(entry.transaction,
                   [this, customer = entry.customer](const CommitReply& reply) {
                     Complete(customer, reply);
                   });
  }
}

void LedgerTransactionSender::Complete(const CustomerId& customer,
                                       const CommitReply& reply) {
  RecordContact();
  ledger_->CompleteTransaction(customer, reply, scheduler_->Now());
  const bool failed = reply.outcome == CommitOutcome::kRejected ||
                      reply.outcome == CommitOutcome::kUnknown;
  const PrepaidLedger::Summary summary = ledger_->GetSummary(customer);
  log_->Write(
      EventId::kLedgerTransactionEnded,
      failed ? Severity::kWarning : Severity::kDebug,
      "ledger transaction completed",
      {{"customer", customer.value()},
       {"outcome", OutcomeName(reply.outcome)},
       {"prepaid", absl::StrCat(summary.prepaid.value())},
       {"granted", absl::StrCat(summary.granted.value())},
       {"delivered", absl::StrCat(summary.delivered.value())},
       {"held_here", absl::StrCat(summary.held_here.value())},
       {"authorized_here", absl::StrCat(summary.authorized_here.value())},
       {"reserved_here", absl::StrCat(summary.reserved_here.value())}});
  changed_(customer);
  SendDueTransactions();
}

}  // namespace wisteriareel
