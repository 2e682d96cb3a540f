#include "src/router/ledger_transaction_sender.h"

#include <algorithm>
#include <utility>
#include <vector>

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
    PrepaidLedger* ledger, AsyncTable* table, LedgerRowSync* rows,
    Scheduler* scheduler, EventLog* log,
    std::function<void(const CustomerId&)> changed)
    : ledger_(ledger),
      table_(table),
      rows_(rows),
      scheduler_(scheduler),
      log_(log),
      changed_(std::move(changed)) {}

void LedgerTransactionSender::Start() {
  started_ = true;
  SendDueTransactions();
}

void LedgerTransactionSender::RecordContact() {
  ledger_->SetEra(table_->Era(), scheduler_->Now());
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
  for (const LedgerTransaction& entry :
       ledger_->TakeTransactions(scheduler_->Now())) {
    table_->Commit(entry.transaction, [this, entry](const CommitReply& reply) {
      HandleReply(entry, reply);
    });
  }
}

void LedgerTransactionSender::HandleReply(const LedgerTransaction& entry,
                                          const CommitReply& reply) {
  RecordContact();
  const bool is_definite = reply.outcome == CommitOutcome::kCommitted ||
                           reply.outcome == CommitOutcome::kConflict;
  if (is_definite && reply.era < ledger_->era()) {
    // The table was restored since: the reply says nothing about its rows.
    Complete(entry.customer, {});
    return;
  }
  if (!is_definite || reply.era == 0) {
    Complete(entry.customer, reply);
    return;
  }
  std::vector<PartitionRow> rows = reply.current;
  bool was_performed = reply.outcome == CommitOutcome::kCommitted;
  for (const PartitionRowWrite& write : entry.transaction.writes) {
    PartitionRow row{.key = write.key,
                     .value = write.value.value_or(""),
                     .version = reply.version};
    if (reply.outcome == CommitOutcome::kCommitted) {
      rows.push_back(std::move(row));
      continue;
    }
    // It was sent before, and the reply was lost.
    was_performed |= std::any_of(
        rows.begin(), rows.end(), [&row](const PartitionRow& current) {
          return current.key == row.key && current.value == row.value;
        });
  }
  std::vector<KnownLedgerRow> known;
  for (const PartitionRow& row : rows) {
    const TableVersion state = PrepaidLedger::StateOf(row);
    // The transaction may have been void: it was planned before the table was
    // restored and performed afterwards.
    if (state.era != row.version.era) continue;
    known.push_back({.customer = entry.customer,
                     .key = row.key.key,
                     .state = state,
                     .value = row.value});
  }
  if (!was_performed || known.empty()) {
    rows_->Record(known);
    Complete(entry.customer, reply);
    return;
  }
  rows_->Copy(known, [this, customer = entry.customer, reply](bool is_valid) {
    Complete(customer, is_valid ? reply : CommitReply{});
  });
}

void LedgerTransactionSender::Complete(const CustomerId& customer,
                                       const CommitReply& reply) {
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
