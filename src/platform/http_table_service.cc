#include "src/platform/http_table_service.h"

#include <utility>

#include "src/platform/platform_codec.h"
#include "src/platform/write_outcome.h"
#include "wisteriareel/clock.h"

namespace wisteriareel {
namespace {

constexpr char kJson[] = "application/json";

}  // namespace

HttpTableService::HttpTableService(PlatformClientOptions options,
                                   Counters* counters)
    : client_(std::move(options)), counters_(counters) {}

CommitOutcome HttpTableService::Commit(const Transaction& transaction,
                                       absl::Duration timeout) {
  const std::optional<std::string> body = EncodeTransaction(transaction);
  // The transaction wasn't sent.
  if (!body) return CommitOutcome::kRejected;
  counters_->Add(Counter::kTableWrites, 1);
  const absl::Time start = SystemClock()->Now();
  const PlatformReply reply =
      client_.Call("POST", "/table/commit", *body, kJson, timeout);
  counters_->Record(Timing::kTableCommit, SystemClock()->Now() - start);
  return CommitOutcomeFromReply(reply);
}

std::optional<std::vector<Row>> HttpTableService::Fetch(
    const std::string& path, const std::optional<std::string>& body,
    absl::Duration timeout, LastReason* reason) {
  if (!body) {
    reason->Set(Reason::kMalformed, "key is not UTF-8");
    return std::nullopt;
  }
  counters_->Add(Counter::kTableReads, 1);
  const PlatformReply reply = client_.Call("POST", path, *body, kJson, timeout);
  if (reply.reason != Reason::kNone) {
    reason->Set(reply.reason, "table service request failed");
    return std::nullopt;
  }
  std::optional<std::vector<Row>> rows = DecodeRows(reply.body);
  if (!rows)
    reason->Set(Reason::kPlatformUnavailable,
                "table service: invalid response body");
  return rows;
}

std::optional<std::vector<Row>> HttpTableService::Read(
    const std::vector<RowKey>& keys, absl::Duration timeout,
    LastReason* reason) {
  return Fetch("/table/read", EncodeKeys(keys), timeout, reason);
}

std::optional<std::vector<Row>> HttpTableService::Scan(const std::string& table,
                                                       const std::string& after,
                                                       int limit,
                                                       absl::Duration timeout,
                                                       LastReason* reason) {
  return Fetch("/table/scan", EncodeScan({table, after, limit}), timeout,
               reason);
}

}  // namespace wisteriareel
