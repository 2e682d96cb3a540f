#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "src/forward/prepaid_ledger.h"

// The part of PrepaidLedger that reads and writes rows, and inherits those of
// the previous incarnation.
namespace wisteriareel {
namespace {

constexpr char kPoolRow[] = "pool";
// Position of the state in a row. A build without eras ignores it.
constexpr std::size_t kPoolStateField = 2;
constexpr std::size_t kHoldingStateField = 6;
// A row of a build that wrote no growth: all tokens were usable after this.
constexpr absl::Duration kDelayIfUnstated = absl::Milliseconds(2900);
constexpr std::int64_t kGrowthIfUnstated = 1'000'000'000'000;
// Inherited rows are written over a time that grows with the number of
// instances, which may all have started together. The other writes of a start
// come first.
constexpr absl::Duration kMinClaimSpread = absl::Seconds(1);
constexpr absl::Duration kClaimSpreadPerInstance = absl::Milliseconds(40);

// EndedIncarnation::ended_ms may be this much later than the end.
constexpr std::int64_t kClockMarginMs = 2;

// Decodes the leading fields of a row as decimal numbers. Fields are separated
// by blanks; names follow the numbers.
template <typename... Numbers>
bool DecodeNumbers(const std::vector<std::string>& fields,
                   Numbers*... numbers) {
  std::size_t n = 0;
  return fields.size() >= sizeof...(numbers) &&
         (absl::SimpleAtoi(fields[n++], numbers) && ...);
}

}  // namespace

PartitionRowKey PrepaidLedger::PoolKey(const CustomerId& id) {
  return {.table = kTable, .partition = id.value(), .key = kPoolRow};
}

PartitionRowKey PrepaidLedger::HolderKey(const CustomerId& id) const {
  return {.table = kTable,
          .partition = id.value(),
          .key = absl::StrCat(kHolderPrefix, options_.instance)};
}

std::string PrepaidLedger::EncodeHolding(const Holding& holding,
                                         const TableVersion& state) const {
  std::string text = absl::StrCat(holding.granted, " ", holding.settled, " ",
                                  holding.authorized, " ", holding.growth, " ",
                                  absl::ToInt64Milliseconds(holding.delay), " ",
                                  holding.planned_ms, " ");
  if (state.era > 0) absl::StrAppend(&text, state.era, " ", state.number, " ");
  return text + options_.incarnation;
}

std::string PrepaidLedger::EncodePool(const Pool& pool,
                                      const TableVersion& state) {
  std::string text = absl::StrCat(pool.granted, " ", pool.delivered);
  if (state.era == 0) return text;
  return absl::StrCat(text, " ", state.era, " ", state.number, " ",
                      pool.base.era, " ", pool.base.number, " ",
                      pool.base_granted);
}

PrepaidLedger::Pool PrepaidLedger::DecodePool(const std::string& text) {
  const std::vector<std::string> fields = absl::StrSplit(text, ' ');
  Pool pool;
  // A pool row that can't be decoded grants nothing.
  if (!DecodeNumbers(fields, &pool.granted, &pool.delivered)) {
    return {.granted = INT64_MAX / 2};
  }
  Pool stated;
  TableVersion state;
  if (DecodeNumbers(fields, &stated.granted, &stated.delivered, &state.era,
                    &state.number, &stated.base.era, &stated.base.number,
                    &stated.base_granted)) {
    return stated;
  }
  return pool;
}

std::optional<TableVersion> PrepaidLedger::DecodeState(
    bool is_pool, const std::string& value) {
  const std::vector<std::string> fields = absl::StrSplit(value, ' ');
  const std::size_t index = is_pool ? kPoolStateField : kHoldingStateField;
  // The writer follows the state in a holder's row.
  const std::size_t needed = is_pool ? index + 2 : index + 3;
  TableVersion state;
  if (fields.size() < needed || !absl::SimpleAtoi(fields[index], &state.era) ||
      !absl::SimpleAtoi(fields[index + 1], &state.number)) {
    return std::nullopt;
  }
  return state;
}

bool PrepaidLedger::IsPoolOrRowOf(const std::string& key,
                                  const std::string& instance) {
  return key == kPoolRow || key == absl::StrCat(kHolderPrefix, instance);
}

TableVersion PrepaidLedger::StateOf(const PartitionRow& row) {
  return DecodeState(row.key.key == kPoolRow, row.value).value_or(row.version);
}

std::optional<PrepaidLedger::Holding> PrepaidLedger::DecodeHolding(
    const std::string& text) {
  const std::vector<std::string> fields = absl::StrSplit(text, ' ');
  Holding holding{.growth = kGrowthIfUnstated, .delay = kDelayIfUnstated};
  if (!DecodeNumbers(fields, &holding.granted, &holding.settled,
                     &holding.authorized)) {
    return std::nullopt;
  }
  std::int64_t delay_ms = 0;
  if (fields.size() >= 7 && absl::SimpleAtoi(fields[3], &holding.growth) &&
      absl::SimpleAtoi(fields[4], &delay_ms) &&
      absl::SimpleAtoi(fields[5], &holding.planned_ms)) {
    holding.delay = absl::Milliseconds(delay_ms);
  }
  return holding;
}

absl::Duration InheritedTimes::GapOf(const std::string& writer,
                                     std::int64_t planned_ms) const {
  if (!started_ms.has_value()) return absl::InfiniteDuration();
  const auto it =
      std::find_if(ended.begin(), ended.end(),
                   [&writer](const EndedIncarnation& incarnation) {
                     return !writer.empty() && incarnation.id == writer;
                   });
  const bool is_listed = it != ended.end();
  const std::int64_t contact_ms =
      is_listed ? std::max(planned_ms, it->contact_ms) : planned_ms;
  if (contact_ms <= 0) return absl::InfiniteDuration();
  // An incarnation whose heartbeats were all rejected isn't listed.
  std::int64_t gap_ms = (is_listed ? it->ended_ms : *started_ms) - contact_ms;
  if (is_listed) {
    // The later ones may have inherited the row and used its tokens before they
    // wrote it. Each of them read it after the one before it had ended.
    for (auto later = it; later != ended.begin();) {
      const std::int64_t read_ms = later->ended_ms - kClockMarginMs;
      --later;
      gap_ms = std::max(gap_ms,
                        later->ended_ms - std::max(read_ms, later->contact_ms));
    }
  }
  return absl::Milliseconds(std::max<std::int64_t>(0, gap_ms));
}

std::string PrepaidLedger::WriterOf(const std::string& value) {
  const std::vector<std::string> fields = absl::StrSplit(value, ' ');
  return fields.size() >= 7 ? fields.back() : "";
}

void PrepaidLedger::InheritRow(const std::string& writer, Account* account,
                               absl::Time now) {
  const Holding& own = account->own;
  const absl::Duration gap = inherited_times_.GapOf(writer, own.planned_ms);
  account->settled += own.settled;
  account->written_off += own.LimitAfter(gap) - own.settled;
  account->spare =
      std::max<std::int64_t>(0, own.granted - UsedAmount(*account));
  account->claim_at =
      now + NextJitter() *
                std::max(kMinClaimSpread, instances_ * kClaimSpreadPerInstance);
}

bool PrepaidLedger::IsPoolCurrent(const Account& account) const {
  return era_ == 0 || account.pool_state.era == era_ ||
         account.recovered_era == era_;
}

TableVersion PrepaidLedger::ExpectedVersion(const TableVersion& known) const {
  return known == TableVersion{} ? TableVersion{.era = era_} : known;
}

void PrepaidLedger::ApplyRows(Account* account,
                              const PartitionTransaction& transaction,
                              const CommitReply& reply, absl::Time now) {
  for (const PartitionRowCondition& condition : transaction.conditions) {
    const auto it = std::find_if(
        reply.current.begin(), reply.current.end(),
        [&](const PartitionRow& row) { return row.key == condition.key; });
    const PartitionRow* row = it == reply.current.end() ? nullptr : &*it;
    if (condition.key.key == kPoolRow) {
      ApplyPoolRow(account, row, reply.era);
    } else {
      ApplyOwnRow(account, row, reply.era, now);
    }
  }
}

void PrepaidLedger::ApplyPoolRow(Account* account, const PartitionRow* row,
                                 std::uint64_t read_era) {
  const bool was_known = account->pool_known;
  const TableVersion known = account->pool_state;
  account->pool_known = true;
  account->pool_version =
      row == nullptr ? TableVersion{.era = read_era} : row->version;
  const TableVersion state = row == nullptr ? TableVersion{} : StateOf(*row);
  // The table went back to an older state, or shows one that was planned before
  // and performed later.
  if (read_era > 0 && was_known && state <= known) return;
  if (was_known && known.era < state.era) {
    account->earlier_state = known;
    account->earlier_granted = account->pool.granted;
  }
  account->pool = row == nullptr ? Pool{} : DecodePool(row->value);
  account->pool_state = state;
  // The first state of this era may not include the newest one before it, which
  // its writer didn't know.
  account->pool_incomplete =
      row != nullptr && DecodeState(/*is_pool=*/true, row->value).has_value() &&
      std::pair(account->pool.base, account->pool.base_granted) <
          std::pair(account->earlier_state, account->earlier_granted);
  if (!account->pool_incomplete) return;
  account->pool.granted +=
      account->earlier_granted - account->pool.base_granted;
  account->pool.base = account->earlier_state;
  account->pool.base_granted = account->earlier_granted;
}

void PrepaidLedger::ApplyOwnRow(Account* account, const PartitionRow* row,
                                std::uint64_t read_era, absl::Time now) {
  account->own_version =
      row == nullptr ? TableVersion{.era = read_era} : row->version;
  const TableVersion state = row == nullptr ? TableVersion{} : StateOf(*row);
  const std::string writer = row == nullptr ? "" : WriterOf(row->value);
  const bool is_outdated = row != nullptr && state.era < read_era;
  // The row of an earlier incarnation is inherited only once.
  const bool inherits =
      !account->inherited && row != nullptr && writer != options_.incarnation;
  if (inherits && is_outdated) {
    account->outdated_row = OutdatedRow{.state = state, .value = row->value};
    account->recovery_wanted = true;
    return;
  }
  const bool was_inherited = std::exchange(account->inherited, true);
  if (read_era > 0 && !inherits &&
      (is_outdated || (was_inherited && state < account->own_state))) {
    // This incarnation knows what it holds. A later one must not inherit an
    // older state.
    account->claim_at = now;
    return;
  }
  account->own = row == nullptr ? Holding{}
                                : DecodeHolding(row->value).value_or(Holding{});
  account->own.planned_at = now;
  account->own_state = state;
  if (inherits) InheritRow(writer, account, now);
}

std::vector<CustomerId> PrepaidLedger::TakeRecoveries() {
  std::vector<CustomerId> customers;
  for (auto& [id, account] : accounts_) {
    if (!account.recovery_wanted || account.recovering) continue;
    account.recovering = true;
    customers.push_back(id);
  }
  return customers;
}

void PrepaidLedger::CompleteRecovery(const CustomerId& customer,
                                     std::uint64_t era,
                                     const std::vector<KnownLedgerRow>& rows,
                                     absl::Time now) {
  Account& account = accounts_[customer];
  account.recovering = false;
  // The table was restored once more: what is wanted then is collected again.
  if (era != era_) return;
  account.recovery_wanted = false;
  account.recovered_era = era;
  account.next_transaction = now;
  const std::string own_key = HolderKey(customer).key;
  std::optional<OutdatedRow> inherited;
  for (const KnownLedgerRow& row : rows) {
    if (row.key == kPoolRow) {
      const PartitionRow pool{.key = PoolKey(customer),
                              .value = row.value,
                              .version = account.pool_version};
      ApplyPoolRow(&account, &pool, era);
      // The table may have shown a void transaction in place of the one that
      // was acknowledged.
      if (account.pool_state == row.state && row.state.era < era) {
        account.pool = DecodePool(row.value);
      }
    }
    if (row.key == own_key && account.outdated_row.has_value() &&
        account.outdated_row->state <= row.state) {
      inherited = OutdatedRow{.state = row.state, .value = row.value};
      account.outdated_row = inherited;
    }
  }
  const std::optional<OutdatedRow> outdated =
      std::exchange(account.outdated_row, std::nullopt);
  if (!outdated.has_value()) return;
  account.own = DecodeHolding(outdated->value).value_or(Holding{});
  account.own.planned_at = now;
  account.own_state = outdated->state;
  // Nobody knows how much of the row was used if no instance confirms it.
  if (!inherited.has_value()) account.own.authorized = account.own.granted;
  InheritRow(WriterOf(outdated->value), &account, now);
  account.inherited = true;
  account.claim_at = now;
}

}  // namespace wisteriareel
