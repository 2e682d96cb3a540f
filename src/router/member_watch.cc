#include "src/router/member_watch.h"

#include <optional>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace wisteriareel {
namespace {

constexpr char kTable[] = "members";

// Rows hold the address and a number that grows: "IP PORT BEAT".
std::optional<Endpoint> AddressOf(const std::string& value) {
  const std::vector<std::string> fields = absl::StrSplit(value, ' ');
  std::uint32_t port = 0;
  if (fields.size() != 3 || !absl::SimpleAtoi(fields[1], &port) ||
      port > UINT16_MAX) {
    return std::nullopt;
  }
  return Endpoint{.host = fields[0], .port = static_cast<std::uint16_t>(port)};
}

}  // namespace

MemberWatch::MemberWatch(MemberWatchOptions options, AsyncTable* table,
                         Scheduler* scheduler, std::function<void(int)> counted)
    : options_(std::move(options)),
      table_(table),
      scheduler_(scheduler),
      counted_(std::move(counted)) {}

PartRowKey MemberWatch::RowOf(const std::string& name) const {
  return {.table = kTable, .part = "", .key = name};
}

void MemberWatch::Start() {
  counted_(options_.assumed);
  Beat();
}

void MemberWatch::Beat() {
  if (leaving_) return;
  ++beats_;
  const PartTransaction transaction{
      .writes = {{.key = RowOf(options_.self.value()),
                  .value = absl::StrCat(options_.address.host, " ",
                                        options_.address.port, " ", beats_)}}};
  // A heartbeat that fails is followed by the next one.
  table_->Commit(transaction, [this](const CommitReply&) { List(); });
}

void MemberWatch::List() {
  table_->Read(kTable, "",
               [this](const std::optional<RowsReply>& rows, const LastReason&) {
                 if (rows.has_value()) Take(rows->rows);
                 scheduler_->After(options_.interval, [this] { Beat(); });
               });
}

void MemberWatch::Take(const std::vector<PartRow>& rows) {
  const absl::Time now = scheduler_->Now();
  std::map<std::string, Member> members;
  PartTransaction removal;
  for (const PartRow& row : rows) {
    const std::optional<Endpoint> address = AddressOf(row.value);
    if (!address.has_value()) continue;
    Member member{
        .version = row.version, .changed_at = now, .address = *address};
    const auto it = members_.find(row.key.key);
    if (it != members_.end() && it->second.version == row.version) {
      member.changed_at = it->second.changed_at;
    }
    if (now - member.changed_at > options_.removal) {
      removal.conditions.push_back({.key = row.key, .version = row.version});
      removal.writes.push_back({.key = row.key});
      break;
    }
    members[row.key.key] = member;
  }
  members_ = std::move(members);
  int alive = 0;
  for (const auto& [name, member] : members_) {
    if (name == options_.self.value() ||
        now - member.changed_at <= options_.silence) {
      ++alive;
    }
  }
  counted_(alive);
  if (!removal.writes.empty()) {
    table_->Commit(removal, [](const CommitReply&) {});
  }
}

std::vector<Endpoint> MemberWatch::Others() const {
  std::vector<Endpoint> others;
  for (const auto& [name, member] : members_) {
    if (name == options_.self.value()) continue;
    others.push_back(member.address);
  }
  return others;
}

void MemberWatch::Leave() {
  leaving_ = true;
  table_->Commit({.writes = {{.key = RowOf(options_.self.value())}}},
                 [](const CommitReply&) {});
}

}  // namespace wisteriareel
