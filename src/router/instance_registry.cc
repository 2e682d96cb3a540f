#include "src/router/instance_registry.h"

#include <algorithm>
#include <cstring>
#include <optional>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "wisteriareel/stable_hash.h"

namespace wisteriareel {
namespace {

constexpr char kTable[] = "members";
// Key of a report on rate limits, before the instance's name. An old build
// skips these rows, since their values aren't heartbeats.
constexpr char kReportPrefix[] = "limits/";
// Fields of a heartbeat of an old build, and of an ended incarnation.
constexpr std::size_t kOldFields = 4;
constexpr std::size_t kEndedFields = 3;

}  // namespace

std::string EncodeInstanceHeartbeat(const InstanceHeartbeat& heartbeat) {
  std::string text =
      absl::StrCat(heartbeat.address.host, " ", heartbeat.address.port, " ",
                   heartbeat.number, " ", heartbeat.contact_ms);
  if (heartbeat.incarnation.empty()) return text;
  absl::StrAppend(&text, " ", heartbeat.incarnation);
  for (const EndedIncarnation& ended : heartbeat.ended) {
    absl::StrAppend(&text, " ", ended.id, " ", ended.contact_ms, " ",
                    ended.ended_ms);
  }
  return text;
}

std::optional<InstanceHeartbeat> DecodeInstanceHeartbeat(
    const std::string& text) {
  const std::vector<std::string> fields = absl::StrSplit(text, ' ');
  std::uint32_t port = 0;
  InstanceHeartbeat heartbeat;
  if (fields.size() < kOldFields || !absl::SimpleAtoi(fields[1], &port) ||
      port > UINT16_MAX || !absl::SimpleAtoi(fields[2], &heartbeat.number) ||
      !absl::SimpleAtoi(fields[3], &heartbeat.contact_ms)) {
    return std::nullopt;
  }
  heartbeat.address = {.host = fields[0],
                       .port = static_cast<std::uint16_t>(port)};
  if (fields.size() == kOldFields) return heartbeat;
  heartbeat.incarnation = fields[kOldFields];
  std::size_t n = kOldFields + 1;
  for (; n + kEndedFields <= fields.size(); n += kEndedFields) {
    EndedIncarnation ended{.id = fields[n]};
    if (!absl::SimpleAtoi(fields[n + 1], &ended.contact_ms) ||
        !absl::SimpleAtoi(fields[n + 2], &ended.ended_ms)) {
      return std::nullopt;
    }
    heartbeat.ended.push_back(std::move(ended));
  }
  if (n != fields.size()) return std::nullopt;
  return heartbeat;
}

InstanceRegistry::InstanceRegistry(InstanceRegistryOptions options,
                                   AsyncTable* table, Scheduler* scheduler,
                                   InstanceRegistryOwner* owner)
    : options_(std::move(options)),
      table_(table),
      scheduler_(scheduler),
      owner_(owner),
      heartbeat_(
          {.address = options_.address, .incarnation = options_.incarnation}) {}

PartitionRowKey InstanceRegistry::RowOf(const std::string& name) const {
  return {.table = kTable, .partition = "", .key = name};
}

PartitionRowKey InstanceRegistry::ReportRowOf(const std::string& name) const {
  return RowOf(kReportPrefix + name);
}

void InstanceRegistry::Start() {
  started_ = scheduler_->Now();
  owner_->OnInstancesCounted(options_.assumed_instances);
  ReadPreviousHeartbeat();
}

void InstanceRegistry::ReadPreviousHeartbeat() {
  table_->Read(kTable, "",
               [this](const std::optional<RowsReply>& rows, const LastReason&) {
                 if (!rows.has_value()) {
                   scheduler_->After(options_.heartbeat_interval,
                                     [this] { ReadPreviousHeartbeat(); });
                   return;
                 }
                 std::optional<InstanceHeartbeat> last;
                 written_report_ = "";
                 for (const PartitionRow& row : rows->rows) {
                   if (row.key == ReportRowOf(options_.self.value()))
                     written_report_ = row.value;
                   if (row.key.key != options_.self.value()) continue;
                   last = DecodeInstanceHeartbeat(row.value);
                 }
                 // A row with another address may belong to a running instance
                 // with the same name.
                 if (last.has_value() && last->address != options_.address)
                   last.reset();
                 owner_->OnPreviousIncarnation(last);
                 if (last.has_value()) heartbeat_.number = last->number;
                 ApplyRows(rows->rows);
                 WriteHeartbeat();
                 scheduler_->After(options_.first_listing_delay,
                                   [this] { ListInstances(); });
               });
}

void InstanceRegistry::WriteHeartbeat() {
  if (leaving_) return;
  scheduler_->After(std::max(options_.heartbeat_interval,
                             alive_ * options_.heartbeat_interval_per_instance),
                    [this] { WriteHeartbeat(); });
  const std::optional<std::int64_t> contact = owner_->ContactToReport();
  if (contact.has_value()) heartbeat_.contact_ms = *contact;
  heartbeat_.ended = owner_->EndedIncarnations();
  ++heartbeat_.number;
  PartitionTransaction transaction{
      .writes = {{.key = RowOf(options_.self.value()),
                  .value = EncodeInstanceHeartbeat(heartbeat_)}}};
  std::optional<std::string> report = owner_->RateLimitReport();
  if (report == written_report_) {
    report.reset();
  } else {
    PartitionRowWrite write{.key = ReportRowOf(options_.self.value())};
    if (!report->empty()) write.value = report;
    transaction.writes.push_back(std::move(write));
  }
  // A failed write isn't retried, since the next heartbeat follows.
  table_->Commit(transaction, [this, report](const CommitReply& reply) {
    const bool committed = reply.outcome == CommitOutcome::kCommitted;
    if (report.has_value()) {
      written_report_ = committed ? report : std::nullopt;
    }
    if (!committed) {
      const bool was_acknowledged =
          acknowledged_since_ != absl::InfiniteFuture();
      acknowledged_since_ = absl::InfiniteFuture();
      if (was_acknowledged) ReportInstances();
    } else if (acknowledged_since_ == absl::InfiniteFuture()) {
      acknowledged_since_ = scheduler_->Now();
      ReportInstances();
    }
  });
  if (scheduler_->Now() - listed_at_ >= options_.listing_interval)
    ListInstances();
}

void InstanceRegistry::ListInstances() {
  listed_at_ = scheduler_->Now();
  table_->Read(kTable, "",
               [this](const std::optional<RowsReply>& rows, const LastReason&) {
                 if (rows.has_value()) ApplyRows(rows->rows);
               });
}

void InstanceRegistry::ApplyRows(const std::vector<PartitionRow>& rows) {
  const absl::Time now = scheduler_->Now();
  read_at_ = now;
  if (table_->Era() != era_) {
    if (era_ != 0) restored_at_ = now;
    era_ = table_->Era();
  }
  std::map<std::string, Member> members;
  PartitionTransaction removal;
  std::vector<const PartitionRow*> reports;
  for (const PartitionRow& row : rows) {
    if (absl::StartsWith(row.key.key, kReportPrefix)) {
      reports.push_back(&row);
      continue;
    }
    const std::optional<InstanceHeartbeat> heartbeat =
        DecodeInstanceHeartbeat(row.value);
    if (!heartbeat.has_value()) continue;
    Member member{.incarnation = heartbeat->incarnation,
                  .number = heartbeat->number,
                  .changed_at = now,
                  .address = heartbeat->address};
    const auto it = members_.find(row.key.key);
    // A table that was restored shows earlier heartbeats again.
    if (it != members_.end() &&
        it->second.incarnation == heartbeat->incarnation &&
        it->second.number >= heartbeat->number) {
      member.number = it->second.number;
      member.changed_at = it->second.changed_at;
    }
    if (now - member.changed_at > options_.removal_timeout) {
      removal.conditions.push_back({.key = row.key, .version = row.version});
      removal.writes.push_back({.key = row.key});
      continue;
    }
    members[row.key.key] = member;
  }
  if (now - restored_at_ <= options_.alive_timeout) {
    // The rows of instances that joined a moment ago may be lost.
    members.merge(members_);
  }
  members_ = std::move(members);
  for (const PartitionRow* row : reports) {
    const std::string name = row->key.key.substr(std::strlen(kReportPrefix));
    if (name == options_.self.value()) continue;
    if (members_.contains(name)) {
      owner_->OnRateLimitReport(name, row->value);
    } else {
      // Heartbeat and report are written together, so the instance is gone.
      removal.conditions.push_back({.key = row->key, .version = row->version});
      removal.writes.push_back({.key = row->key});
    }
  }
  int alive = 0;
  for (const auto& [name, member] : members_) {
    if (name == options_.self.value() ||
        now - member.changed_at <= options_.alive_timeout) {
      ++alive;
    }
  }
  alive_ = std::max(1, alive);
  const bool starting = now - started_ < options_.assumed_duration;
  owner_->OnInstancesCounted(
      starting ? std::max(alive_, options_.assumed_instances) : alive_);
  ReportInstances();
  if (!removal.writes.empty()) {
    table_->Commit(removal, [](const CommitReply&) {});
  }
}

bool InstanceRegistry::IsWritable() const {
  // All heartbeats need a while to change again after the platform took none.
  return read_at_ - acknowledged_since_ > options_.home_timeout / 2;
}

void InstanceRegistry::ReportInstances() {
  const bool writable = IsWritable();
  std::vector<std::string> names = {options_.self.value()};
  for (const auto& [name, member] : members_) {
    if (name == options_.self.value()) continue;
    if (writable && read_at_ - member.changed_at > options_.home_timeout) {
      continue;
    }
    names.push_back(name);
  }
  owner_->OnInstancesListed(names,
                            acknowledged_since_ != absl::InfiniteFuture());
}

std::vector<Endpoint> InstanceRegistry::OtherInstances() const {
  std::vector<Endpoint> others;
  for (const auto& [name, member] : members_) {
    if (name == options_.self.value()) continue;
    others.push_back(member.address);
  }
  return others;
}

std::vector<Endpoint> InstanceRegistry::RankInstances(
    const std::string& key) const {
  const std::uint64_t seed = StableHash(key);
  std::vector<std::pair<std::uint64_t, Endpoint>> ranked;
  for (const auto& [name, member] : members_) {
    if (name == options_.self.value()) continue;
    ranked.emplace_back(StableHash(name, seed), member.address);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<Endpoint> addresses;
  addresses.reserve(ranked.size());
  for (const auto& [rank, address] : ranked) addresses.push_back(address);
  return addresses;
}

std::optional<Endpoint> InstanceRegistry::FindHomeInstance(
    const std::string& key,
    const std::function<bool(const Endpoint&)>& is_usable) const {
  const std::uint64_t seed = StableHash(key);
  std::uint64_t best = StableHash(options_.self.value(), seed);
  std::optional<Endpoint> home;
  const bool writable = IsWritable();
  for (const auto& [name, member] : members_) {
    if (name == options_.self.value()) continue;
    if (writable && read_at_ - member.changed_at > options_.home_timeout) {
      continue;
    }
    const std::uint64_t rank = StableHash(name, seed);
    if (rank <= best || !is_usable(member.address)) continue;
    best = rank;
    home = member.address;
  }
  return home;
}

std::optional<Endpoint> InstanceRegistry::FindAddress(
    const std::string& name) const {
  const auto it = members_.find(name);
  if (it == members_.end() || name == options_.self.value()) {
    return std::nullopt;
  }
  return it->second.address;
}

void InstanceRegistry::Leave() {
  leaving_ = true;
  table_->Commit({.writes = {{.key = RowOf(options_.self.value())},
                             {.key = ReportRowOf(options_.self.value())}}},
                 [](const CommitReply&) {});
}

}  // namespace wisteriareel
