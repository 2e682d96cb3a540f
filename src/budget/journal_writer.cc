#include "src/budget/journal_writer.h"

#include <algorithm>
#include <map>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"
#include "src/budget/request_id_generator.h"

namespace wisteriareel {
namespace {

constexpr absl::Duration kRetryDelay = absl::Milliseconds(500);

absl::Time CreationTimeOf(const RequestRecord& record) {
  const auto fields = ParseRequestId(record.request);
  return fields ? fields->created : record.started;
}

}  // namespace

JournalWriter::JournalWriter(const JournalWriterOptions& options,
                             ObjectStore* store, Clock* clock,
                             RandomSource* random, Counters* counters,
                             EventLog* events)
    : options_(options),
      store_(store),
      clock_(clock),
      counters_(counters),
      events_(events),
      process_(random->HexId()) {}

void JournalWriter::Append(const RequestRecord& record) {
  const std::size_t n =
      std::hash<std::thread::id>()(std::this_thread::get_id());
  Shard& shard = shards_[n % shards_.size()];
  pending_records_.fetch_add(1, std::memory_order_relaxed);
  std::lock_guard<std::mutex> lock(shard.mutex);
  shard.records.push_back(record);
}

bool JournalWriter::HasRoom() const {
  return pending_records() < options_.max_records;
}

void JournalWriter::SetPersistedObserver(const PersistedObserver& observer) {
  observer_ = observer;
}

absl::Duration JournalWriter::Step() {
  std::lock_guard<std::mutex> lock(step_mutex_);
  CreateBatches(DrainRecords());
  while (!batches_.empty()) {
    if (WriteFirstBatch()) continue;
    if (!store_unavailable_) {
      store_unavailable_ = true;
      events_->Write(EventId::kRecordsPending, Severity::kWarning,
                     "writing records to the object store failed; buffering "
                     "them until a retry succeeds",
                     {{"records", absl::StrCat(pending_records())}});
    }
    return kRetryDelay;
  }
  store_unavailable_ = false;
  return options_.flush_interval;
}

std::vector<RequestRecord> JournalWriter::DrainRecords() {
  std::vector<RequestRecord> all;
  for (Shard& shard : shards_) {
    std::vector<RequestRecord> records;
    {
      std::lock_guard<std::mutex> lock(shard.mutex);
      records.swap(shard.records);
    }
    std::move(records.begin(), records.end(), std::back_inserter(all));
  }
  return all;
}

void JournalWriter::CreateBatches(std::vector<RequestRecord> records) {
  std::map<std::int64_t, std::vector<RequestRecord>> by_hour;
  for (RequestRecord& record : records) {
    const std::int64_t hour = HourOf(record.finished);
    std::vector<RequestRecord>& batch = by_hour[hour];
    batch.push_back(std::move(record));
    if (batch.size() < options_.max_batch) continue;
    CreateBatch(hour, std::move(batch));
    by_hour.erase(hour);
  }
  for (auto& [hour, batch] : by_hour) CreateBatch(hour, std::move(batch));
}

void JournalWriter::CreateBatch(std::int64_t hour,
                                std::vector<RequestRecord> records) {
  BatchName name{.hour = hour,
                 .instance = options_.instance,
                 .process = process_,
                 .number = next_number_++,
                 .first_created = absl::InfiniteFuture(),
                 .last_created = absl::InfinitePast()};
  for (const RequestRecord& record : records) {
    name.first_created = std::min(name.first_created, CreationTimeOf(record));
    name.last_created = std::max(name.last_created, CreationTimeOf(record));
  }
  std::string bytes = EncodeRecords(records);
  batches_.push_back(Batch{.name = std::move(name),
                           .bytes = std::move(bytes),
                           .records = std::move(records)});
}

// Returns true if the object store has confirmed the first batch.
bool JournalWriter::WriteFirstBatch() {
  Batch& batch = batches_.front();
  const CommitOutcome outcome =
      store_->Put(Encode(batch.name), batch.bytes, options_.store_timeout);
  if (outcome != CommitOutcome::kCommitted) {
    counters_->Retried(outcome == CommitOutcome::kUnknown
                           ? Reason::kPlatformReplyLost
                           : Reason::kPlatformUnavailable);
    return false;
  }
  if (observer_) observer_(batch.name.number, batch.records);
  pending_records_.fetch_sub(batch.records.size(), std::memory_order_relaxed);
  batches_.pop_front();
  return true;
}

}  // namespace wisteriareel
