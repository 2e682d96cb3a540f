#include "src/router/quarantine_sync.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

namespace wisteriareel {
namespace {

constexpr char kTable[] = "crashes";
constexpr char kPeerPath[] = "/peer/crashes?";
// Fits into a row of the platform and into one of its replies to a poll.
constexpr std::size_t kMaxRowBytes = 24 << 10;
// Fits into the head of a request.
constexpr std::size_t kMaxQueryBytes = 4 << 10;
constexpr std::size_t kMaxSegments = 256;
// Maximum number of expired rows that are removed in one transaction.
constexpr std::size_t kMaxRemovedRows = 20;

void AppendHex(std::uint64_t number, std::string* out) {
  absl::StrAppend(out, absl::Hex(number));
}

bool ParseHex(absl::string_view text, std::uint64_t* number) {
  return absl::SimpleHexAtoi(text, number);
}

std::optional<PromptCrash> ParseCrash(
    const std::vector<absl::string_view>& fields, absl::Time epoch) {
  PromptCrash crash;
  std::int64_t ms = 0;
  if (fields.size() != 5 || !ParseHex(fields[1], &crash.id) ||
      !ParseHex(fields[2], &crash.target_run) ||
      !absl::SimpleAtoi(fields[3], &ms)) {
    return std::nullopt;
  }
  for (const absl::string_view text : absl::StrSplit(fields[4], '.')) {
    SegmentKey key = 0;
    if (!ParseHex(text, &key) || crash.segments.size() >= kMaxSegments) {
      return std::nullopt;
    }
    crash.segments.push_back(key);
  }
  crash.response_begun = fields[0] == "b";
  crash.at = epoch + absl::Milliseconds(ms);
  return crash;
}

std::optional<SegmentProof> ParseProof(
    const std::vector<absl::string_view>& fields, absl::Time epoch) {
  SegmentProof proof;
  std::int64_t ms = 0;
  if (fields.size() != 3 || !ParseHex(fields[1], &proof.segment) ||
      !absl::SimpleAtoi(fields[2], &ms)) {
    return std::nullopt;
  }
  proof.at = epoch + absl::Milliseconds(ms);
  return proof;
}

}  // namespace

std::string EncodePromptEvidence(const PromptEvidence& evidence,
                                 absl::Time epoch, std::size_t max_bytes) {
  std::string text;
  const auto append = [&text, max_bytes](const std::string& entry) {
    if (text.size() + entry.size() <= max_bytes) text += entry;
  };
  for (const PromptCrash& crash : evidence.crashes) {
    std::string entry = crash.response_begun ? "b," : "w,";
    AppendHex(crash.id, &entry);
    entry += ',';
    AppendHex(crash.target_run, &entry);
    absl::StrAppend(
        &entry, ",", absl::ToInt64Milliseconds(crash.at - epoch), ",",
        absl::StrJoin(
            crash.segments, ".",
            [](std::string* out, SegmentKey key) { AppendHex(key, out); }),
        ";");
    append(entry);
  }
  for (const SegmentProof& proof : evidence.proofs) {
    std::string entry = "p,";
    AppendHex(proof.segment, &entry);
    absl::StrAppend(&entry, ",", absl::ToInt64Milliseconds(proof.at - epoch),
                    ";");
    append(entry);
  }
  return text;
}

PromptEvidence DecodePromptEvidence(const std::string& text, absl::Time epoch) {
  PromptEvidence evidence;
  for (const absl::string_view entry :
       absl::StrSplit(text, ';', absl::SkipEmpty())) {
    const std::vector<absl::string_view> fields = absl::StrSplit(entry, ',');
    if (fields.front() == "b" || fields.front() == "w") {
      std::optional<PromptCrash> crash = ParseCrash(fields, epoch);
      if (crash.has_value()) evidence.crashes.push_back(*std::move(crash));
    } else if (fields.front() == "p") {
      const std::optional<SegmentProof> proof = ParseProof(fields, epoch);
      if (proof.has_value()) evidence.proofs.push_back(*proof);
    }
  }
  return evidence;
}

QuarantineSync::QuarantineSync(QuarantineSyncOptions options,
                               QuarantineSyncDependencies dependencies)
    : options_(std::move(options)),
      dependencies_(std::move(dependencies)),
      retry_delay_(options_.retry_delay) {}

void QuarantineSync::Start() {
  dependencies_.quarantine->SetChanged([this] { OnChanged(); });
  ReadRows();
  RunPeerRound();
}

std::optional<absl::Time> QuarantineSync::PlatformEpoch() const {
  const std::optional<TableContact> contact =
      dependencies_.table->LastContact();
  if (!contact.has_value()) return std::nullopt;
  return contact->received - absl::Milliseconds(contact->platform_ms);
}

void QuarantineSync::OnChanged() {
  if (change_scheduled_) return;
  change_scheduled_ = true;
  dependencies_.scheduler->After(absl::ZeroDuration(),
                                 [this] { HandleChange(); });
}

void QuarantineSync::HandleChange() {
  change_scheduled_ = false;
  const std::uint64_t quarantines =
      dependencies_.quarantine->quarantine_count();
  if (quarantines != handled_quarantines_) {
    handled_quarantines_ = quarantines;
    dependencies_.log->Write(EventId::kPromptQuarantined, Severity::kWarning,
                             "a prompt segment that crashes targets is "
                             "quarantined; requests with it are refused",
                             {{"quarantines", absl::StrCat(quarantines)}});
    dependencies_.scheduler->After(options_.correction_time,
                                   dependencies_.quarantined);
  }
  if (dependencies_.quarantine->HasUrgentEvidence()) {
    Publish();
  } else if (!publication_scheduled_) {
    publication_scheduled_ = true;
    dependencies_.scheduler->After(
        options_.max_delay * dependencies_.random->Fraction(), [this] {
          publication_scheduled_ = false;
          Publish();
        });
  }
}

void QuarantineSync::RecordTableFailure() {
  table_available_ = false;
  retry_delay_ = std::min(options_.max_retry_delay, retry_delay_ * 2);
}

void QuarantineSync::RecordTableSuccess() {
  table_available_ = true;
  retry_delay_ = options_.retry_delay;
}

absl::Duration QuarantineSync::NextRetryDelay() {
  return retry_delay_ * (0.5 + dependencies_.random->Fraction());
}

void QuarantineSync::ReadRows() {
  dependencies_.table->Read(
      kTable, "",
      [this](const std::optional<RowsReply>& rows, const LastReason&) {
        if (!rows.has_value()) {
          RecordTableFailure();
          dependencies_.scheduler->After(NextRetryDelay(),
                                         [this] { ReadRows(); });
          return;
        }
        RecordTableSuccess();
        version_ = rows->version;
        ApplyRows(rows->rows);
        RemoveExpiredRows(rows->rows);
        own_row_read_ = true;
        Publish();
        PollRows();
      });
}

void QuarantineSync::PollRows() {
  dependencies_.table->PollChanges(
      kTable, version_, options_.poll_wait,
      [this](const PollReply& reply, const LastReason&) {
        if (reply.outcome == PollOutcome::kHistoryLost) {
          ReadRows();
          return;
        }
        if (reply.outcome == PollOutcome::kFailed) {
          RecordTableFailure();
          dependencies_.scheduler->After(NextRetryDelay(),
                                         [this] { ReadRows(); });
          return;
        }
        version_ = reply.changes.version;
        ApplyRows(reply.changes.rows);
        // The table may answer reads and no writes.
        if (!dependencies_.quarantine->HasUnpublishedEvidence()) {
          RecordTableSuccess();
        }
        dependencies_.scheduler->After(options_.poll_pause,
                                       [this] { PollRows(); });
      });
}

void QuarantineSync::ApplyRows(const std::vector<PartitionRow>& rows) {
  const std::optional<absl::Time> epoch = PlatformEpoch();
  if (!epoch.has_value()) return;
  const absl::Time now = dependencies_.scheduler->Now();
  for (const PartitionRow& row : rows) {
    if (row.deleted) continue;
    const bool own = row.key.key == options_.self.value();
    // A row that this instance wrote itself has nothing new.
    if (own && own_row_read_) continue;
    dependencies_.quarantine->Merge(
        DecodePromptEvidence(row.value, *epoch),
        own ? EvidenceOrigin::kPeer : EvidenceOrigin::kPublished, now);
  }
}

void QuarantineSync::RemoveExpiredRows(const std::vector<PartitionRow>& rows) {
  const std::optional<absl::Time> epoch = PlatformEpoch();
  if (!epoch.has_value()) return;
  const absl::Time now = dependencies_.scheduler->Now();
  PartitionTransaction removal;
  for (const PartitionRow& row : rows) {
    if (removal.writes.size() >= kMaxRemovedRows) break;
    if (row.key.key == options_.self.value()) continue;
    const PromptEvidence evidence = DecodePromptEvidence(row.value, *epoch);
    const bool is_used =
        std::any_of(evidence.crashes.begin(), evidence.crashes.end(),
                    [this, now](const PromptCrash& crash) {
                      return !dependencies_.quarantine->IsExpired(crash.at,
                                                                  now);
                    }) ||
        std::any_of(evidence.proofs.begin(), evidence.proofs.end(),
                    [this, now](const SegmentProof& proof) {
                      return !dependencies_.quarantine->IsExpired(proof.at,
                                                                  now);
                    });
    if (is_used) continue;
    removal.conditions.push_back({.key = row.key, .version = row.version});
    removal.writes.push_back({.key = row.key});
  }
  if (removal.writes.empty()) return;
  dependencies_.table->Commit(removal, [](const CommitReply&) {});
}

void QuarantineSync::Publish() {
  const std::optional<absl::Time> epoch = PlatformEpoch();
  if (writing_ || !own_row_read_ || !epoch.has_value() ||
      !dependencies_.quarantine->HasUnpublishedEvidence()) {
    return;
  }
  writing_ = true;
  const PromptEvidence evidence = dependencies_.quarantine->CollectPublication(
      dependencies_.scheduler->Now());
  dependencies_.table->Commit(
      {.writes = {{.key = {.table = kTable, .key = options_.self.value()},
                   .value =
                       EncodePromptEvidence(evidence, *epoch, kMaxRowBytes)}}},
      [this, evidence](const CommitReply& reply) {
        writing_ = false;
        if (reply.outcome != CommitOutcome::kCommitted) {
          RecordTableFailure();
          dependencies_.scheduler->After(NextRetryDelay(),
                                         [this] { Publish(); });
          return;
        }
        RecordTableSuccess();
        dependencies_.quarantine->RecordPublication(evidence);
        Publish();
      });
}

void QuarantineSync::RunPeerRound() {
  dependencies_.scheduler->After(options_.peer_interval,
                                 [this] { RunPeerRound(); });
  if (table_available_) return;
  const std::vector<Endpoint> peers = dependencies_.list_peers();
  if (peers.empty()) return;
  const absl::Time sent = dependencies_.scheduler->Now();
  // Times in messages are relative to when they are sent: an instance may not
  // know the platform's clock.
  dependencies_.peers->Send(
      peers[dependencies_.random->Below(peers.size())],
      kPeerPath + EncodePromptEvidence(dependencies_.quarantine->Collect(sent),
                                       sent, kMaxQueryBytes),
      options_.peer_timeout,
      [this](const std::optional<PeerResponse>& response) {
        if (!response.has_value() || !response->accepted) return;
        const absl::Time now = dependencies_.scheduler->Now();
        dependencies_.quarantine->Merge(
            DecodePromptEvidence(response->body, now), EvidenceOrigin::kPeer,
            now);
      });
}

std::optional<std::string> QuarantineSync::HandlePeerRequest(
    const std::string& path) {
  const std::string own_path(kPeerPath);
  if (!path.starts_with(own_path)) return std::nullopt;
  const absl::Time now = dependencies_.scheduler->Now();
  dependencies_.quarantine->Merge(
      DecodePromptEvidence(path.substr(own_path.size()), now),
      EvidenceOrigin::kPeer, now);
  return EncodePromptEvidence(dependencies_.quarantine->Collect(now), now,
                              kMaxRowBytes);
}

}  // namespace wisteriareel
