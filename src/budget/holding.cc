#include "src/budget/holding.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "absl/hash/hash.h"
#include "absl/strings/str_cat.h"

namespace wisteriareel {
namespace {

// Smoothing of an account's rate: quick to follow growth, slow to forget.
constexpr absl::Duration kRateInterval = absl::Seconds(5);
constexpr absl::Duration kRateRise = absl::Seconds(30);
constexpr absl::Duration kRateFall = absl::Minutes(10);

std::int64_t Positive(std::int64_t amount) {
  return std::max<std::int64_t>(0, amount);
}

}  // namespace

std::string HolderName(const InstanceId& instance, std::uint64_t number) {
  return absl::StrCat(instance.value(), ".",
                      absl::Hex(number, absl::kZeroPad16));
}

Holding::Holding(const GrantManagerOptions& options, std::uint64_t number,
                 TableService* table, const SizingPolicy* policy, Clock* clock,
                 Counters* counters)
    : options_(options),
      number_(number),
      holder_(HolderName(options.instance, number)),
      table_(table),
      policy_(policy),
      clock_(clock),
      counters_(counters),
      accounts_(options.account_buckets),
      batch_(options.max_budgets_per_transaction) {}

bool Holding::IsLeaseValid() const {
  return absl::ToUnixNanos(clock_->Now()) <
         lease_expiry_ns_.load(std::memory_order_acquire);
}

// The lease is looked at again after the tokens are taken: the thread may
// have been paused in between. What it has taken by then stays out of reach
// of whoever reclaims the grant, so a pause after the second look is harmless.
Reason Holding::TryReserve(Account* account, std::int64_t amount) const {
  if (!IsLeaseValid()) return Reason::kGrantLeaseLapsed;
  if (!account->Take(amount)) return Reason::kGrantTooSmall;
  if (IsLeaseValid()) return Reason::kNone;
  account->Put(amount);
  return Reason::kGrantLeaseLapsed;
}

GrantStepResult Holding::Step(int holders) {
  if (pending_) {
    const GrantStepResult step = ResolveInDoubt();
    if (pending_ || !step.platform_reached) return step;
  }
  const absl::Time now = clock_->Now();
  UpdateRates(now);
  const Selection selection = Select(now);
  const bool renew = row_created_ && !reclaimed() && !giving_up_ &&
                     now - renewed_ >= options_.renew_interval;
  if (selection.accounts.empty() && !renew) return GrantStepResult{};
  return Order(selection, holders, now);
}

void Holding::UpdateRates(absl::Time now) {
  if (now - rated_ < kRateInterval) return;
  const bool first = rated_ == absl::InfinitePast();
  const double seconds = first ? 0 : absl::ToDoubleSeconds(now - rated_);
  rated_ = now;
  for (Account* account : accounts_.All()) {
    const std::int64_t settled = account->settled();
    const std::int64_t spent = settled - account->settled_at_rate_update;
    account->settled_at_rate_update = settled;
    if (seconds <= 0) continue;
    const double rate = static_cast<double>(spent) / seconds;
    const absl::Duration period = rate > account->rate ? kRateRise : kRateFall;
    const double part = 1 - std::exp(-seconds / absl::ToDoubleSeconds(period));
    account->rate += (rate - account->rate) * part;
  }
}

bool Holding::Due(const Account* account, bool reporting) const {
  if (account->wanted() > account->available()) return !giving_up_;
  const bool unreported = account->kept() > account->reported;
  if (reclaimed() || giving_up_) return unreported || account->available() > 0;
  return reporting && unreported;
}

Holding::Selection Holding::Select(absl::Time now) {
  reporting_ = now - reported_ >= options_.report_interval;
  const bool polling =
      now - polled_ >= options_.poll_interval && !giving_up_ && !reclaimed();
  Selection selection;
  std::vector<Account*> held;
  for (Account* account : accounts_.All()) {
    if (Due(account, reporting_)) {
      selection.accounts.push_back(account);
      continue;
    }
    if (polling && account->has_row) held.push_back(account);
  }
  if (selection.accounts.size() > options_.max_budgets_per_poll) {
    selection.accounts.resize(options_.max_budgets_per_poll);
    selection.more = true;
    return selection;
  }
  if (reporting_) {
    const bool goes_on = reported_ == absl::InfinitePast();
    reported_ = now;
    for (Account* account : accounts_.All()) {
      if (!goes_on) account->DecayLargestRequest();
    }
  }
  if (!polling) return selection;
  polled_ = now;
  const std::size_t room =
      options_.max_budgets_per_poll - selection.accounts.size();
  const std::size_t n = std::min(room, held.size());
  for (std::size_t i = 0; i < n; ++i) {
    selection.accounts.push_back(held[(poll_position_ + i) % held.size()]);
  }
  poll_position_ += n;
  return selection;
}

int Holding::PreferredStripe(int stripes) const {
  return static_cast<int>(absl::HashOf(holder_) %
                          static_cast<std::size_t>(stripes));
}

GrantStepResult Holding::Order(const Selection& selection, int holders,
                               absl::Time now) {
  std::vector<BudgetId> budgets;
  std::vector<int> stripes;
  for (const Account* account : selection.accounts) {
    budgets.push_back(account->budget());
    stripes.push_back(account->stripes);
  }
  LastReason reason;
  auto pools = ReadBudgetSnapshots(table_, budgets, stripes,
                                   options_.table_timeout, &reason);
  if (!pools || !ReadHolderRow(&reason)) {
    Refuse(selection, Reason::kBudgetPlatformAway);
    return GrantStepResult{.platform_reached = false};
  }

  if (row_created_ && row_version_ == 0) {
    MarkAllReported();
    return GrantStepResult{};
  }
  GrantStepResult step{.more = selection.more};
  PendingTransaction order{.row = row_, .first_sent = now};
  for (std::size_t i = 0; i < selection.accounts.size(); ++i) {
    Account* account = selection.accounts[i];
    if (!(*pools)[i]) {
      if (account->ClearRequestedGrant() == 0) continue;
      account->refusal = Reason::kBudgetUnknown;
      ++account->answers;
      continue;
    }
    if (order.changes.size() >= batch_) {
      step.more = true;
      if (reporting_) reported_ = absl::InfinitePast();
      break;
    }
    BudgetSnapshot& pool = *(*pools)[i];
    account->stripes = pool.top_up().stripes;
    BudgetAccountChange change = Plan(account, pool, holders);
    if (change.Empty()) continue;
    if (!AddChange(change, &pool, &order)) {
      account->Put(change.give_back);
      account->pending_return -= change.give_back;
      step.platform_reached = false;
    }
  }
  const bool renew = row_created_ && !reclaimed() && !giving_up_ &&
                     now - renewed_ >= options_.renew_interval;
  if (order.changes.empty() && !renew) return step;

  order.row.instance = options_.instance;
  order.row.lease = options_.lease;
  order.row.renewed = now;
  order.row.last_order = OrderId(absl::StrCat(holder_, "/", ++orders_));
  order.transaction.conditions.push_back({HolderKey(holder_), row_version_});
  order.transaction.writes.push_back({HolderKey(holder_), Encode(order.row)});
  pending_ = std::move(order);
  const GrantStepResult sent = Send();
  step.platform_reached &= sent.platform_reached;
  step.more |= sent.more;
  return step;
}

bool Holding::ReadHolderRow(LastReason* reason) {
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

BudgetAccountChange Holding::Plan(Account* account, const BudgetSnapshot& pool,
                                  int holders) {
  const std::int64_t want = account->ClearRequestedGrant();
  if (!giving_up_ && !reclaimed()) {
    return PlanGrant(account, pool, holders, want);
  }
  BudgetAccountChange change{.account = account};
  const std::int64_t rest = Positive(account->available());
  if (account->Take(rest)) change.give_back = rest;
  account->pending_return += change.give_back;
  ReadPersisted(&change);
  return change;
}

void Holding::ReadPersisted(BudgetAccountChange* change) {
  std::lock_guard<std::mutex> lock(persisted_mutex_);
  const Account* account = change->account;
  change->report = Positive(account->kept() - account->reported);
  change->batches = persisted_batches_;
}

void Holding::RecordPersistedBatch(std::uint64_t number,
                                   const std::vector<RequestRecord>& records) {
  std::lock_guard<std::mutex> lock(persisted_mutex_);
  for (const RequestRecord& record : records) {
    if (record.grant != number_) continue;
    Account* account = accounts_.Find(record.budget);
    if (account != nullptr) account->Keep(record.billed.value());
  }
  persisted_batches_ = number + 1;
}

BudgetAccountChange Holding::PlanGrant(Account* account,
                                       const BudgetSnapshot& pool, int holders,
                                       std::int64_t want) {
  const std::int64_t available = Positive(account->available());
  const std::int64_t free = pool.Free().value();
  const std::int64_t own =
      account->granted - account->returned - account->reported;
  const std::int64_t elsewhere = Positive(pool.Outstanding().value() - own);
  const BudgetDemand demand{
      .tokens_per_second = account->rate,
      .largest_request = Tokens(std::max(want, account->largest())),
      .pool = Tokens(free + available),
      .elsewhere = Tokens(elsewhere),
      .holders = holders};
  const std::int64_t target = policy_->Target(demand).value();
  account->target = target;

  BudgetAccountChange change{.account = account, .want = want};
  ReadPersisted(&change);
  const std::int64_t unmet = Positive(want - available);
  if (unmet > free) {
    // A part would serve nobody and be missing elsewhere.
    account->refusal = unmet > free + elsewhere ? Reason::kBudgetExhausted
                                                : Reason::kGrantTooSmall;
    ++account->answers;
    return change;
  }
  if (unmet > 0 || available < target / 2) {
    change.grant = std::min(free, std::max(unmet, target - available));
  } else if (available > 2 * target) {
    if (account->Take(available - target)) {
      change.give_back = available - target;
    }
    account->pending_return += change.give_back;
  }
  // A report alone is worth a write only when it is due.
  const bool moves = change.grant > 0 || change.give_back > 0;
  if (!moves && !reporting_) change.report = 0;
  return change;
}

bool Holding::AddChange(const BudgetAccountChange& change, BudgetSnapshot* pool,
                        PendingTransaction* order) {
  BudgetAccountChange added = change;
  if (reclaimed()) {
    if (!AddReclaimedChange(&added, pool, order)) return false;
  } else {
    Account* account = added.account;
    const GrantRow row{.granted = Tokens(account->granted + added.grant),
                       .returned = Tokens(account->returned + added.give_back),
                       .settled = Tokens(account->reported + added.report),
                       .batches = added.batches};
    order->transaction.writes.push_back(
        {GrantKey(holder_, account->budget()), Encode(row)});
    if (!account->has_row) ++order->row.grants;
    const int home = PreferredStripe(pool->top_up().stripes);
    pool->Grant(Tokens(added.grant), home);
    StripeRow& stripe = pool->Change(home);
    stripe.returned += Tokens(added.give_back);
    stripe.settled += Tokens(added.report);
  }
  pool->AddTo(&order->transaction);
  order->changes.push_back(added);
  return true;
}

// Whoever reclaimed the grants writes their rows too, so the row is read and
// is a condition. What was written off of it is taken back as far as it is
// accounted for.
bool Holding::AddReclaimedChange(BudgetAccountChange* change,
                                 BudgetSnapshot* pool,
                                 PendingTransaction* order) {
  Account* account = change->account;
  const RowKey key = GrantKey(holder_, account->budget());
  LastReason reason;
  const auto rows = table_->Read({key}, options_.table_timeout, &reason);
  if (!rows || rows->empty()) return false;
  auto row = DecodeGrant(rows->front().value);
  if (!row) return false;

  change->found_settled = Positive(row->settled.value() - account->reported);
  change->report = Positive(change->report - change->found_settled);
  const Tokens known(change->give_back + change->report);
  const Tokens taken_back = std::min(row->written_off, known);
  row->returned += Tokens(change->give_back);
  row->settled += Tokens(change->report);
  row->written_off -= taken_back;
  row->batches = std::max(row->batches, change->batches);
  order->transaction.conditions.push_back({key, rows->front().version});
  order->transaction.writes.push_back({key, Encode(*row)});
  StripeRow& stripe = pool->Change(PreferredStripe(pool->top_up().stripes));
  stripe.returned += Tokens(change->give_back);
  stripe.settled += Tokens(change->report);
  stripe.written_off -= taken_back;
  return true;
}

GrantStepResult Holding::Send() {
  switch (table_->Commit(pending_->transaction, options_.table_timeout)) {
    case CommitOutcome::kCommitted:
      Confirm();
      batch_ = std::min(batch_ * 2, options_.max_budgets_per_transaction);
      return GrantStepResult{};
    case CommitOutcome::kConflict:
      counters_->Retried(Reason::kConflict);
      if (!pending_->in_doubt) Drop();
      batch_ = std::max<std::size_t>(1, batch_ / 2);
      return GrantStepResult{.more = true};
    case CommitOutcome::kRejected:
      if (!pending_->in_doubt) Drop();
      return GrantStepResult{.platform_reached = false};
    case CommitOutcome::kUnknown:
      break;
  }
  counters_->Retried(Reason::kPlatformReplyLost);
  pending_->in_doubt = true;
  return GrantStepResult{.platform_reached = false};
}

// The rows of a reclaimed holder are removed only once every token of it is
// returned or recorded, so nothing is left to report.
void Holding::MarkAllReported() {
  for (Account* account : accounts_.All()) {
    account->reported = account->granted - account->returned;
  }
}

// The row of a holder is removed only once all its grants are accounted for.
// So an order that granted anything did not take effect, and one that only
// returned or reported did.
void Holding::ResolveByAbsentRow() {
  for (const BudgetAccountChange& change : pending_->changes) {
    if (change.grant == 0) continue;
    Drop();
    return;
  }
  Confirm();
}

// A transaction in doubt took effect if the holder's row names its order.
// Else it is sent again as it is: its conditions let it through once only. A
// conflict without the order's name proves that no copy of it can take effect
// any more, because versions only grow.
GrantStepResult Holding::ResolveInDoubt() {
  LastReason reason;
  const OrderId order = pending_->row.last_order;
  if (!ReadHolderRow(&reason))
    return GrantStepResult{.platform_reached = false};
  if (row_version_ != 0 && row_.last_order == order) {
    Confirm();
    return GrantStepResult{};
  }
  if (row_version_ == 0 && row_created_) {
    ResolveByAbsentRow();
    return GrantStepResult{};
  }
  const GrantStepResult step = Send();
  if (!pending_ || !step.more) return step;
  if (!ReadHolderRow(&reason))
    return GrantStepResult{.platform_reached = false};
  if (row_version_ != 0 && row_.last_order == order) {
    Confirm();
  } else if (row_version_ == 0 && row_created_) {
    ResolveByAbsentRow();
  } else {
    Drop();
  }
  return step;
}

void Holding::Confirm() {
  for (const BudgetAccountChange& change : pending_->changes) {
    Account* account = change.account;
    account->has_row = true;
    account->granted += change.grant;
    account->pending_return -= change.give_back;
    account->returned += change.give_back;
    account->reported += change.report + change.found_settled;
    if (change.grant > 0) account->Put(change.grant);
    if (change.want == 0 || change.grant == 0) continue;
    account->refusal = Reason::kNone;
    ++account->answers;
  }
  row_created_ = true;
  renewed_ = pending_->first_sent;
  if (!reclaimed()) {
    const absl::Duration lease =
        options_.lease * (1 - options_.clock_rate_margin);
    lease_expiry_ns_ = absl::ToUnixNanos(renewed_ + lease);
  }
  pending_.reset();
}

void Holding::Drop() {
  for (const BudgetAccountChange& change : pending_->changes) {
    change.account->pending_return -= change.give_back;
    if (change.give_back > 0) change.account->Put(change.give_back);
    if (change.want > 0) change.account->RequestGrant(change.want);
  }
  pending_.reset();
}

void Holding::Refuse(const Selection& selection, Reason reason) {
  for (Account* account : selection.accounts) {
    if (account->wanted() == 0) continue;
    account->refusal = reason;
    ++account->answers;
  }
}

bool Holding::Settled() {
  if (pending_) return false;
  for (const Account* account : accounts_.All()) {
    if (account->granted - account->returned != account->reported) return false;
  }
  return true;
}

bool Holding::Close() {
  if (!row_created_) return true;
  if (!Settled()) return false;
  LastReason reason;
  if (!ReadHolderRow(&reason)) return false;
  if (row_version_ == 0 || row_.state != HolderState::kActive) return true;
  HolderRow closed = row_;
  closed.state = HolderState::kClosed;
  const RowKey key = HolderKey(holder_);
  const Transaction close{.conditions = {{key, row_version_}},
                          .writes = {{key, Encode(closed)}}};
  lease_expiry_ns_ = INT64_MIN;
  return table_->Commit(close, options_.table_timeout) ==
         CommitOutcome::kCommitted;
}

}  // namespace wisteriareel
