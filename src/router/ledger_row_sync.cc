#include "src/router/ledger_row_sync.h"

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "src/forward/prepaid_ledger.h"

namespace wisteriareel {
namespace {

// Separate rows, and the fields of a row. Neither is part of a field, since
// texts are encoded.
constexpr char kRowSeparator = ',';
constexpr char kFieldSeparator = '.';
constexpr std::size_t kRowFields = 5;
// Fits into the head of a request.
constexpr std::size_t kMaxQueryBytes = 4 << 10;

// Splits the leading number off a path, up to the next slash.
bool ConsumeNumber(std::string* path, std::uint64_t* number) {
  const std::vector<std::string> parts =
      absl::StrSplit(*path, absl::MaxSplits('/', 1));
  if (parts.size() != 2 || !absl::SimpleAtoi(parts[0], number)) return false;
  *path = parts[1];
  return true;
}

}  // namespace

std::string EncodeLedgerRows(const std::vector<KnownLedgerRow>& rows) {
  return absl::StrJoin(
      rows, std::string(1, kRowSeparator),
      [](std::string* out, const KnownLedgerRow& row) {
        absl::StrAppend(out, absl::WebSafeBase64Escape(row.customer.value()),
                        ".", absl::WebSafeBase64Escape(row.key), ".",
                        row.state.era, ".", row.state.number, ".",
                        absl::WebSafeBase64Escape(row.value));
      });
}

std::optional<std::vector<KnownLedgerRow>> DecodeLedgerRows(
    const std::string& text) {
  std::vector<KnownLedgerRow> rows;
  for (const absl::string_view entry :
       absl::StrSplit(text, kRowSeparator, absl::SkipEmpty())) {
    const std::vector<absl::string_view> fields =
        absl::StrSplit(entry, kFieldSeparator);
    KnownLedgerRow row;
    std::string customer;
    if (fields.size() != kRowFields ||
        !absl::WebSafeBase64Unescape(fields[0], &customer) ||
        !absl::WebSafeBase64Unescape(fields[1], &row.key) ||
        !absl::SimpleAtoi(fields[2], &row.state.era) ||
        !absl::SimpleAtoi(fields[3], &row.state.number) ||
        !absl::WebSafeBase64Unescape(fields[4], &row.value)) {
      return std::nullopt;
    }
    row.customer = CustomerId(customer);
    rows.push_back(std::move(row));
  }
  return rows;
}

// The copies of the rows of one transaction.
struct LedgerRowSync::CopyRound {
  CustomerId customer;
  std::uint64_t era = 0;
  std::string path;
  std::function<void(bool)> done;
  int rounds = 0;
  // Calls without a result yet.
  int pending = 0;
  int recorded = 0;
  bool is_void = false;
  std::set<Endpoint> asked;
};

// One collection of rows from all other instances.
struct LedgerRowSync::Collection {
  std::vector<CustomerId> customers;
  std::uint64_t era = 0;
  std::string path;
  std::function<void(const RowsByCustomer&)> done;
  // Instances that haven't answered yet, and those that didn't.
  int pending = 0;
  int missing = 0;
  KnownLedgerRows rows;
};

LedgerRowSync::LedgerRowSync(LedgerRowSyncOptions options, PeerClient* client,
                             Scheduler* scheduler, EventLog* log,
                             LedgerRowSyncOwner* owner)
    : options_(std::move(options)),
      client_(client),
      scheduler_(scheduler),
      log_(log),
      owner_(owner) {}

void LedgerRowSync::Record(const std::vector<KnownLedgerRow>& rows) {
  for (const KnownLedgerRow& row : rows) rows_.Record(row);
}

void LedgerRowSync::Copy(const std::vector<KnownLedgerRow>& rows,
                         std::function<void(bool)> done) {
  Record(rows);
  const auto round = std::make_shared<CopyRound>();
  round->customer = rows.front().customer;
  round->era = owner_->LedgerEra();
  round->path =
      absl::StrCat(kPeerRowCopyPath, round->era, "/", EncodeLedgerRows(rows));
  round->done = std::move(done);
  StartCopyRound(round);
}

void LedgerRowSync::StartCopyRound(const std::shared_ptr<CopyRound>& round) {
  ++round->rounds;
  round->pending = 1;
  int chosen = 0;
  int unresponsive = 0;
  for (const Endpoint& peer : owner_->RankInstances(round->customer)) {
    if (chosen == options_.copies) break;
    if (!round->asked.insert(peer).second) continue;
    if (IsUnresponsive(peer)) {
      // It may be back, but nobody waits for it.
      if (++unresponsive <= options_.copies) {
        SendCopy(peer, round->path, [](std::optional<std::uint64_t>) {});
      }
      continue;
    }
    ++chosen;
    ++round->pending;
    SendCopy(peer, round->path,
             [this, round](std::optional<std::uint64_t> era) {
               if (era > round->era) {
                 round->is_void = true;
                 owner_->OnLedgerEra(*era);
               } else if (era.has_value()) {
                 ++round->recorded;
               }
               CompleteCopy(round);
             });
  }
  // Nobody else is left to ask.
  if (chosen == 0) round->rounds = options_.copy_rounds;
  scheduler_->After(absl::ZeroDuration(),
                    [this, round] { CompleteCopy(round); });
}

bool LedgerRowSync::IsUnresponsive(const Endpoint& peer) const {
  const auto it = unresponsive_until_.find(peer);
  return it != unresponsive_until_.end() && it->second > scheduler_->Now();
}

void LedgerRowSync::SendCopy(
    const Endpoint& peer, const std::string& path,
    std::function<void(std::optional<std::uint64_t>)> done) {
  client_->Send(peer, path, options_.copy_timeout,
                [this, peer, done = std::move(done)](
                    const std::optional<PeerResponse>& response) {
                  if (!response.has_value()) {
                    unresponsive_until_[peer] =
                        scheduler_->Now() + options_.unresponsive_backoff;
                    done(std::nullopt);
                    return;
                  }
                  unresponsive_until_.erase(peer);
                  std::uint64_t era = 0;
                  const bool recorded = response->accepted &&
                                        absl::SimpleAtoi(response->body, &era);
                  done(recorded ? std::optional(era) : std::nullopt);
                });
}

void LedgerRowSync::CompleteCopy(const std::shared_ptr<CopyRound>& round) {
  if (--round->pending > 0) return;
  if (!round->is_void && round->recorded == 0 &&
      round->rounds < options_.copy_rounds) {
    StartCopyRound(round);
    return;
  }
  round->done(!round->is_void);
}

void LedgerRowSync::Collect(const std::vector<CustomerId>& customers,
                            std::uint64_t era,
                            std::function<void(const RowsByCustomer&)> done) {
  std::vector<CustomerId> part;
  std::string query;
  const auto start = [&] {
    if (part.empty()) return;
    StartCollection(std::exchange(part, {}), std::exchange(query, ""), era,
                    done);
  };
  for (const CustomerId& customer : customers) {
    const std::string name = absl::WebSafeBase64Escape(customer.value());
    if (query.size() + name.size() >= kMaxQueryBytes) start();
    if (!query.empty()) query += kRowSeparator;
    query += name;
    part.push_back(customer);
  }
  start();
}

void LedgerRowSync::StartCollection(
    std::vector<CustomerId> customers, const std::string& query,
    std::uint64_t era, std::function<void(const RowsByCustomer&)> done) {
  const auto collection = std::make_shared<Collection>();
  collection->customers = std::move(customers);
  collection->era = era;
  collection->done = std::move(done);
  collection->path = absl::StrCat(
      kPeerKnownRowsPath, era, "/",
      absl::WebSafeBase64Escape(options_.self.value()), "/", query);
  const std::vector<Endpoint> peers = owner_->OtherInstances();
  collection->pending = static_cast<int>(peers.size()) + 1;
  for (const Endpoint& peer : peers) {
    AskForRows(collection, peer, options_.collection_tries);
  }
  scheduler_->After(absl::ZeroDuration(),
                    [this, collection] { CompleteAnswer(collection); });
}

void LedgerRowSync::AskForRows(const std::shared_ptr<Collection>& collection,
                               const Endpoint& peer, int tries) {
  client_->Send(peer, collection->path, options_.collection_timeout,
                [this, collection, peer,
                 tries](const std::optional<PeerResponse>& response) {
                  if (!response.has_value() && tries > 1) {
                    scheduler_->After(options_.collection_retry_delay,
                                      [this, collection, peer, tries] {
                                        AskForRows(collection, peer, tries - 1);
                                      });
                    return;
                  }
                  const std::optional<std::vector<KnownLedgerRow>> rows =
                      response.has_value() && response->accepted
                          ? DecodeLedgerRows(response->body)
                          : std::nullopt;
                  if (!rows.has_value()) ++collection->missing;
                  for (const KnownLedgerRow& row :
                       rows.value_or(std::vector<KnownLedgerRow>{})) {
                    collection->rows.Record(row);
                  }
                  CompleteAnswer(collection);
                });
}

void LedgerRowSync::CompleteAnswer(
    const std::shared_ptr<Collection>& collection) {
  if (--collection->pending > 0) return;
  RowsByCustomer known;
  for (const CustomerId& customer : collection->customers) {
    for (const KnownLedgerRow& row : rows_.RowsOf(customer)) {
      collection->rows.Record(row);
    }
    known[customer] = collection->rows.RowsOf(customer);
  }
  log_->Write(
      EventId::kLedgerRowsRecovered,
      collection->missing > 0 ? Severity::kWarning : Severity::kInfo,
      "collected the rows of the ledger that instances know; tokens are drawn "
      "again",
      {{"era", absl::StrCat(collection->era)},
       {"customers", absl::StrCat(collection->customers.size())},
       {"unanswered", absl::StrCat(collection->missing)}});
  collection->done(known);
}

void LedgerRowSync::HandOver() {
  std::vector<KnownLedgerRow> part;
  std::size_t bytes = 0;
  const auto copy = [&] {
    bytes = 0;
    if (!part.empty()) Copy(std::exchange(part, {}), [](bool) {});
  };
  for (const KnownLedgerRow& row : rows_.AllRows()) {
    const std::size_t size = EncodeLedgerRows({row}).size();
    if (bytes + size >= kMaxQueryBytes) copy();
    bytes += size + 1;
    part.push_back(row);
  }
  copy();
}

std::optional<std::string> LedgerRowSync::HandlePeerRequest(
    const std::string& path) {
  if (path.starts_with(kPeerRowCopyPath)) {
    std::string query = path.substr(std::string(kPeerRowCopyPath).size());
    std::uint64_t era = 0;
    if (!ConsumeNumber(&query, &era)) return std::nullopt;
    const auto rows = DecodeLedgerRows(query);
    if (!rows.has_value()) return std::nullopt;
    return HandleCopy(era, *rows);
  }
  if (path.starts_with(kPeerKnownRowsPath)) {
    return HandleCollection(
        path.substr(std::string(kPeerKnownRowsPath).size()));
  }
  return std::nullopt;
}

std::string LedgerRowSync::HandleCopy(std::uint64_t era,
                                      const std::vector<KnownLedgerRow>& rows) {
  owner_->OnLedgerEra(era);
  const std::uint64_t own_era = owner_->LedgerEra();
  // Rows of an earlier era come too late: what was known in it may have been
  // collected already.
  if (own_era <= era) {
    Record(rows);
  }
  return absl::StrCat(own_era);
}

std::optional<std::string> LedgerRowSync::HandleCollection(
    const std::string& query) {
  std::string rest = query;
  std::uint64_t era = 0;
  if (!ConsumeNumber(&rest, &era)) return std::nullopt;
  const std::vector<std::string> parts =
      absl::StrSplit(rest, absl::MaxSplits('/', 1));
  std::string name;
  if (parts.size() != 2 || !absl::WebSafeBase64Unescape(parts[0], &name)) {
    return std::nullopt;
  }
  // From now on this instance uses no acknowledgement of an earlier era.
  owner_->OnLedgerEra(era);
  std::vector<KnownLedgerRow> known;
  for (const absl::string_view text :
       absl::StrSplit(parts[1], kRowSeparator, absl::SkipEmpty())) {
    std::string customer;
    if (!absl::WebSafeBase64Unescape(text, &customer)) return std::nullopt;
    for (KnownLedgerRow& row : rows_.RowsOf(CustomerId(customer))) {
      if (PrepaidLedger::IsPoolOrRowOf(row.key, name)) {
        known.push_back(std::move(row));
      }
    }
  }
  return EncodeLedgerRows(known);
}

}  // namespace wisteriareel
