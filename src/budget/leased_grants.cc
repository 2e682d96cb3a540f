#include "src/budget/leased_grants.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "absl/hash/hash.h"
#include "absl/strings/str_cat.h"

namespace wisteriareel {
namespace {

// Exponential smoothing of the spend rate of an account. The rate rises with a
// short time constant, so that grants keep up with a growing load, and falls
// with a long one.
constexpr absl::Duration kRateUpdateInterval = absl::Seconds(5);
constexpr absl::Duration kRateRiseTime = absl::Seconds(30);
constexpr absl::Duration kRateFallTime = absl::Minutes(10);

std::int64_t NonNegative(std::int64_t amount) {
  return std::max<std::int64_t>(0, amount);
}

}  // namespace

std::string HolderName(const InstanceId& instance, std::uint64_t number) {
  return absl::StrCat(instance.value(), ".",
                      absl::Hex(number, absl::kZeroPad16));
}

LeasedGrants::LeasedGrants(const GrantManagerOptions& options,
                           std::uint64_t number, TableService* table,
                           const SizingPolicy* policy, Clock* clock,
                           Counters* counters)
    : options_(options),
      number_(number),
      holder_(HolderName(options.instance, number)),
      table_(table),
      policy_(policy),
      clock_(clock),
      counters_(counters),
      accounts_(options.account_buckets),
      max_changes_(options.max_budgets_per_transaction) {}

bool LeasedGrants::IsLeaseValid() const {
  return absl::ToUnixNanos(clock_->Now()) <
         lease_expiry_ns_.load(std::memory_order_acquire);
}

// Checks the lease again after the withdrawal, because the thread may have been
// suspended in between. Tokens withdrawn under a valid lease are accounted for
// when the grants are reclaimed, so a suspension after the second check is
// harmless.
Reason LeasedGrants::TryReserve(BudgetAccount* account,
                                std::int64_t amount) const {
  if (!IsLeaseValid()) return Reason::kGrantLeaseLapsed;
  if (!account->TryWithdraw(amount)) return Reason::kGrantTooSmall;
  if (IsLeaseValid()) return Reason::kNone;
  account->Deposit(amount);
  return Reason::kGrantLeaseLapsed;
}

GrantStepResult LeasedGrants::Step(int holders) {
  if (pending_) {
    const GrantStepResult step = ResolveInDoubt();
    if (pending_ || !step.platform_reached) return step;
  }
  const absl::Time now = clock_->Now();
  UpdateRates(now);
  const AccountSelection selection = SelectAccounts(now);
  const bool renew = row_created_ && !reclaimed() && !returning_ &&
                     now - last_renewal_ >= options_.renew_interval;
  if (selection.accounts.empty() && !renew) return GrantStepResult{};
  return CommitChanges(selection, holders, now);
}

void LeasedGrants::UpdateRates(absl::Time now) {
  if (now - last_rate_update_ < kRateUpdateInterval) return;
  const bool first = last_rate_update_ == absl::InfinitePast();
  const double seconds =
      first ? 0 : absl::ToDoubleSeconds(now - last_rate_update_);
  last_rate_update_ = now;
  for (BudgetAccount* account : accounts_.All()) {
    const std::int64_t settled = account->settled();
    const std::int64_t spent = settled - account->settled_at_rate_update;
    account->settled_at_rate_update = settled;
    if (seconds <= 0) continue;
    const double rate = static_cast<double>(spent) / seconds;
    const absl::Duration time_constant =
        rate > account->spend_rate ? kRateRiseTime : kRateFallTime;
    const double gain =
        1 - std::exp(-seconds / absl::ToDoubleSeconds(time_constant));
    account->spend_rate += (rate - account->spend_rate) * gain;
  }
}

bool LeasedGrants::IsDue(const BudgetAccount* account, bool report_due) const {
  if (account->requested_grant() > account->available()) return !returning_;
  const bool unreported = account->persisted() > account->reported;
  if (reclaimed() || returning_) return unreported || account->available() > 0;
  return report_due && unreported;
}

LeasedGrants::AccountSelection LeasedGrants::SelectAccounts(absl::Time now) {
  report_due_ = now - last_report_ >= options_.report_interval;
  const bool poll_due =
      now - last_poll_ >= options_.poll_interval && !returning_ && !reclaimed();
  AccountSelection selection;
  std::vector<BudgetAccount*> pollable;
  for (BudgetAccount* account : accounts_.All()) {
    if (IsDue(account, report_due_)) {
      selection.accounts.push_back(account);
      continue;
    }
    if (poll_due && account->has_row) pollable.push_back(account);
  }
  if (selection.accounts.size() > options_.max_budgets_per_poll) {
    selection.accounts.resize(options_.max_budgets_per_poll);
    selection.more = true;
    return selection;
  }
  if (report_due_) {
    const bool report_continues = last_report_ == absl::InfinitePast();
    last_report_ = now;
    for (BudgetAccount* account : accounts_.All()) {
      if (!report_continues) account->DecayLargestRequest();
    }
  }
  if (!poll_due) return selection;
  last_poll_ = now;
  const std::size_t room =
      options_.max_budgets_per_poll - selection.accounts.size();
  const std::size_t n = std::min(room, pollable.size());
  for (std::size_t i = 0; i < n; ++i) {
    selection.accounts.push_back(
        pollable[(poll_position_ + i) % pollable.size()]);
  }
  poll_position_ += n;
  return selection;
}

int LeasedGrants::PreferredStripe(int stripes) const {
  return static_cast<int>(absl::HashOf(holder_) %
                          static_cast<std::size_t>(stripes));
}

GrantStepResult LeasedGrants::CommitChanges(const AccountSelection& selection,
                                            int holders, absl::Time now) {
  std::vector<BudgetId> budgets;
  std::vector<int> stripes;
  for (const BudgetAccount* account : selection.accounts) {
    budgets.push_back(account->budget());
    stripes.push_back(account->stripes);
  }
  LastReason reason;
  auto snapshots = ReadBudgetSnapshots(table_, budgets, stripes,
                                       options_.table_timeout, &reason);
  if (!snapshots || !ReadHolderRow(&reason)) {
    RecordRefusal(selection, Reason::kBudgetPlatformAway);
    return GrantStepResult{.platform_reached = false};
  }

  if (row_created_ && row_version_ == 0) {
    MarkAllReported();
    return GrantStepResult{};
  }
  GrantStepResult step{.more = selection.more};
  PendingTransaction pending{.row = row_, .first_sent = now};
  for (std::size_t i = 0; i < selection.accounts.size(); ++i) {
    BudgetAccount* account = selection.accounts[i];
    if (!(*snapshots)[i]) {
      if (account->ClearRequestedGrant() == 0) continue;
      account->last_refusal = Reason::kBudgetUnknown;
      ++account->grant_attempts;
      continue;
    }
    if (pending.changes.size() >= max_changes_) {
      step.more = true;
      if (report_due_) last_report_ = absl::InfinitePast();
      break;
    }
    BudgetSnapshot& snapshot = *(*snapshots)[i];
    account->stripes = snapshot.top_up().stripes;
    BudgetAccountChange change = PlanChange(account, snapshot, holders);
    if (change.Empty()) continue;
    if (!AddChange(change, &snapshot, &pending)) {
      account->Deposit(change.return_amount);
      account->pending_return -= change.return_amount;
      step.platform_reached = false;
    }
  }
  const bool renew = row_created_ && !reclaimed() && !returning_ &&
                     now - last_renewal_ >= options_.renew_interval;
  if (pending.changes.empty() && !renew) return step;

  pending.row.instance = options_.instance;
  pending.row.lease = options_.lease;
  pending.row.renewed = now;
  pending.row.last_order =
      OrderId(absl::StrCat(holder_, "/", ++transaction_count_));
  pending.transaction.conditions.push_back({HolderKey(holder_), row_version_});
  pending.transaction.writes.push_back(
      {HolderKey(holder_), Encode(pending.row)});
  pending_ = std::move(pending);
  const GrantStepResult sent = SendPending();
  step.platform_reached &= sent.platform_reached;
  step.more |= sent.more;
  return step;
}

bool LeasedGrants::ReadHolderRow(LastReason* reason) {
  const auto rows =
      table_->Read({HolderKey(holder_)}, options_.table_timeout, reason);
  if (!rows) return false;
  if (rows->empty()) {
    if (row_created_) reclaimed_ = true;
    row_version_ = 0;
    return true;
  }
  const auto row = DecodeHolder(rows->front().value);
  if (!row) {
    reason->Set(Reason::kMalformed, holder_);
    return false;
  }
  row_ = *row;
  row_version_ = rows->front().version;
  if (row_.state == HolderState::kReclaimed) reclaimed_ = true;
  if (reclaimed()) lease_expiry_ns_ = INT64_MIN;
  return true;
}

BudgetAccountChange LeasedGrants::PlanChange(BudgetAccount* account,
                                             const BudgetSnapshot& snapshot,
                                             int holders) {
  const std::int64_t requested = account->ClearRequestedGrant();
  if (!returning_ && !reclaimed()) {
    return PlanGrant(account, snapshot, holders, requested);
  }
  BudgetAccountChange change{.account = account};
  const std::int64_t available = NonNegative(account->available());
  if (account->TryWithdraw(available)) change.return_amount = available;
  account->pending_return += change.return_amount;
  ReadPersisted(&change);
  return change;
}

void LeasedGrants::ReadPersisted(BudgetAccountChange* change) {
  std::lock_guard<std::mutex> lock(persisted_mutex_);
  const BudgetAccount* account = change->account;
  change->report = NonNegative(account->persisted() - account->reported);
  change->batches = persisted_batches_;
}

void LeasedGrants::RecordPersistedBatch(
    std::uint64_t number, const std::vector<RequestRecord>& records) {
  std::lock_guard<std::mutex> lock(persisted_mutex_);
  for (const RequestRecord& record : records) {
    if (record.grant != number_) continue;
    BudgetAccount* account = accounts_.Find(record.budget);
    if (account != nullptr) account->RecordPersisted(record.billed.value());
  }
  persisted_batches_ = number + 1;
}

BudgetAccountChange LeasedGrants::PlanGrant(BudgetAccount* account,
                                            const BudgetSnapshot& snapshot,
                                            int holders,
                                            std::int64_t requested) {
  const std::int64_t available = NonNegative(account->available());
  const std::int64_t ungranted = snapshot.Ungranted().value();
  const std::int64_t own =
      account->granted - account->returned - account->reported;
  const std::int64_t granted_elsewhere =
      NonNegative(snapshot.Outstanding().value() - own);
  const BudgetDemand demand{.tokens_per_second = account->spend_rate,
                            .largest_request = Tokens(std::max(
                                requested, account->largest_request())),
                            .ungranted = Tokens(ungranted + available),
                            .granted_elsewhere = Tokens(granted_elsewhere),
                            .holders = holders};
  const std::int64_t desired = policy_->DesiredBalance(demand).value();
  account->desired_balance = desired;

  BudgetAccountChange change{.account = account, .requested = requested};
  ReadPersisted(&change);
  const std::int64_t unmet = NonNegative(requested - available);
  if (unmet > ungranted) {
    // A partial grant would not cover the request, but could cover a request at
    // another holder.
    account->last_refusal = unmet > ungranted + granted_elsewhere
                                ? Reason::kBudgetExhausted
                                : Reason::kGrantTooSmall;
    ++account->grant_attempts;
    return change;
  }
  if (unmet > 0 || available < desired / 2) {
    change.grant = std::min(ungranted, std::max(unmet, desired - available));
  } else if (available > 2 * desired) {
    if (account->TryWithdraw(available - desired)) {
      change.return_amount = available - desired;
    }
    account->pending_return += change.return_amount;
  }
  // A report without a grant or return is written only when it is due.
  const bool moves_tokens = change.grant > 0 || change.return_amount > 0;
  if (!moves_tokens && !report_due_) change.report = 0;
  return change;
}

bool LeasedGrants::AddChange(const BudgetAccountChange& change,
                             BudgetSnapshot* snapshot,
                             PendingTransaction* pending) {
  BudgetAccountChange added = change;
  if (reclaimed()) {
    if (!AddReclaimedChange(&added, snapshot, pending)) return false;
  } else {
    BudgetAccount* account = added.account;
    const GrantRow row{
        .granted = Tokens(account->granted + added.grant),
        .returned = Tokens(account->returned + added.return_amount),
        .settled = Tokens(account->reported + added.report),
        .batches = added.batches};
    pending->transaction.writes.push_back(
        {GrantKey(holder_, account->budget()), Encode(row)});
    if (!account->has_row) ++pending->row.grants;
    const int preferred_stripe = PreferredStripe(snapshot->top_up().stripes);
    snapshot->Grant(Tokens(added.grant), preferred_stripe);
    StripeRow& stripe = snapshot->MutableStripe(preferred_stripe);
    stripe.returned += Tokens(added.return_amount);
    stripe.settled += Tokens(added.report);
  }
  snapshot->AddWritesTo(&pending->transaction);
  pending->changes.push_back(added);
  return true;
}

// The reclaimer writes the grant rows of a reclaimed holder too, so the current
// row is read and its version is a condition of the transaction. Write-offs are
// reversed for the tokens that are now accounted for.
bool LeasedGrants::AddReclaimedChange(BudgetAccountChange* change,
                                      BudgetSnapshot* snapshot,
                                      PendingTransaction* pending) {
  BudgetAccount* account = change->account;
  const RowKey key = GrantKey(holder_, account->budget());
  LastReason reason;
  const auto rows = table_->Read({key}, options_.table_timeout, &reason);
  if (!rows || rows->empty()) return false;
  auto row = DecodeGrant(rows->front().value);
  if (!row) return false;

  change->settled_by_reclaimer =
      NonNegative(row->settled.value() - account->reported);
  change->report = NonNegative(change->report - change->settled_by_reclaimer);
  const Tokens accounted_for(change->return_amount + change->report);
  const Tokens recovered = std::min(row->written_off, accounted_for);
  row->returned += Tokens(change->return_amount);
  row->settled += Tokens(change->report);
  row->written_off -= recovered;
  row->batches = std::max(row->batches, change->batches);
  pending->transaction.conditions.push_back({key, rows->front().version});
  pending->transaction.writes.push_back({key, Encode(*row)});
  StripeRow& stripe =
      snapshot->MutableStripe(PreferredStripe(snapshot->top_up().stripes));
  stripe.returned += Tokens(change->return_amount);
  stripe.settled += Tokens(change->report);
  stripe.written_off -= recovered;
  return true;
}

GrantStepResult LeasedGrants::SendPending() {
  switch (table_->Commit(pending_->transaction, options_.table_timeout)) {
    case CommitOutcome::kCommitted:
      ApplyCommitted();
      max_changes_ =
          std::min(max_changes_ * 2, options_.max_budgets_per_transaction);
      return GrantStepResult{};
    case CommitOutcome::kConflict:
      counters_->Retried(Reason::kConflict);
      if (!pending_->in_doubt) DiscardPending();
      max_changes_ = std::max<std::size_t>(1, max_changes_ / 2);
      return GrantStepResult{.more = true};
    case CommitOutcome::kRejected:
      if (!pending_->in_doubt) DiscardPending();
      return GrantStepResult{.platform_reached = false};
    case CommitOutcome::kUnknown:
      break;
  }
  counters_->Retried(Reason::kPlatformReplyLost);
  pending_->in_doubt = true;
  return GrantStepResult{.platform_reached = false};
}

// The rows of a reclaimed holder are removed only after all of its tokens have
// been returned or settled, so nothing is left to report.
void LeasedGrants::MarkAllReported() {
  for (BudgetAccount* account : accounts_.All()) {
    account->reported = account->granted - account->returned;
  }
}

// The row of a holder is removed only after all of its grants have been
// accounted for. So a pending transaction with a grant did not take effect, and
// one with only returns and reports did.
void LeasedGrants::ResolveByAbsentRow() {
  for (const BudgetAccountChange& change : pending_->changes) {
    if (change.grant == 0) continue;
    DiscardPending();
    return;
  }
  ApplyCommitted();
}

// A transaction in doubt took effect if the holder's row has its id. Otherwise
// it is sent again unchanged; its conditions let it commit at most once. If the
// retry conflicts and the row still does not have the id, no copy of the
// transaction can take effect any more, because versions only increase.
GrantStepResult LeasedGrants::ResolveInDoubt() {
  LastReason reason;
  const OrderId transaction_id = pending_->row.last_order;
  if (!ReadHolderRow(&reason))
    return GrantStepResult{.platform_reached = false};
  if (row_version_ != 0 && row_.last_order == transaction_id) {
    ApplyCommitted();
    return GrantStepResult{};
  }
  if (row_version_ == 0 && row_created_) {
    ResolveByAbsentRow();
    return GrantStepResult{};
  }
  const GrantStepResult step = SendPending();
  if (!pending_ || !step.more) return step;
  if (!ReadHolderRow(&reason))
    return GrantStepResult{.platform_reached = false};
  if (row_version_ != 0 && row_.last_order == transaction_id) {
    ApplyCommitted();
  } else if (row_version_ == 0 && row_created_) {
    ResolveByAbsentRow();
  } else {
    DiscardPending();
  }
  return step;
}

void LeasedGrants::ApplyCommitted() {
  for (const BudgetAccountChange& change : pending_->changes) {
    BudgetAccount* account = change.account;
    account->has_row = true;
    account->granted += change.grant;
    account->pending_return -= change.return_amount;
    account->returned += change.return_amount;
    account->reported += change.report + change.settled_by_reclaimer;
    if (change.grant > 0) account->Deposit(change.grant);
    if (change.requested == 0 || change.grant == 0) continue;
    account->last_refusal = Reason::kNone;
    ++account->grant_attempts;
  }
  row_created_ = true;
  last_renewal_ = pending_->first_sent;
  if (!reclaimed()) {
    const absl::Duration lease =
        options_.lease * (1 - options_.clock_rate_margin);
    lease_expiry_ns_ = absl::ToUnixNanos(last_renewal_ + lease);
  }
  pending_.reset();
}

void LeasedGrants::DiscardPending() {
  for (const BudgetAccountChange& change : pending_->changes) {
    change.account->pending_return -= change.return_amount;
    if (change.return_amount > 0) change.account->Deposit(change.return_amount);
    if (change.requested > 0) change.account->RequestGrant(change.requested);
  }
  pending_.reset();
}

void LeasedGrants::RecordRefusal(const AccountSelection& selection,
                                 Reason reason) {
  for (BudgetAccount* account : selection.accounts) {
    if (account->requested_grant() == 0) continue;
    account->last_refusal = reason;
    ++account->grant_attempts;
  }
}

bool LeasedGrants::IsSettled() {
  if (pending_) return false;
  for (const BudgetAccount* account : accounts_.All()) {
    if (account->granted - account->returned != account->reported) return false;
  }
  return true;
}

bool LeasedGrants::Close() {
  if (!row_created_) return true;
  if (!IsSettled()) return false;
  LastReason reason;
  if (!ReadHolderRow(&reason)) return false;
  if (row_version_ == 0 || row_.state != HolderState::kActive) return true;
  HolderRow closed = row_;
  closed.state = HolderState::kClosed;
  const RowKey key = HolderKey(holder_);
  const Transaction transaction{.conditions = {{key, row_version_}},
                                .writes = {{key, Encode(closed)}}};
  lease_expiry_ns_ = INT64_MIN;
  return table_->Commit(transaction, options_.table_timeout) ==
         CommitOutcome::kCommitted;
}

}  // namespace wisteriareel
