#ifndef WISTERIAREEL_BUDGET_JOURNAL_WRITER_H_
#define WISTERIAREEL_BUDGET_JOURNAL_WRITER_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "src/budget/record_batch.h"
#include "wisteriareel/clock.h"
#include "wisteriareel/counters.h"
#include "wisteriareel/event_log.h"
#include "wisteriareel/object_store.h"
#include "wisteriareel/random_source.h"
#include "wisteriareel/request_record.h"

namespace wisteriareel {

inline constexpr absl::Duration kDefaultFlushInterval = absl::Seconds(5);
inline constexpr absl::Duration kDefaultStoreTimeout = absl::Seconds(5);

// Options of a JournalWriter.
struct JournalWriterOptions {
  // This instance.
  InstanceId instance;
  // How often records are written. What a crash loses.
  absl::Duration flush_interval = kDefaultFlushInterval;
  // Longest wait for one call of the object store.
  absl::Duration store_timeout = kDefaultStoreTimeout;
  // Records in memory at which HasRoom turns false; about 500 bytes each.
  std::size_t max_records = 100'000;
  // Most records in one object.
  std::size_t max_batch = 5'000;
};

// Writes records in batches to the object store and keeps them in memory until
// that is confirmed. An object's name and bytes never change, so a put whose
// reply was lost is put again. Thread-safe; Step belongs to one loop.
class JournalWriter final : public RecordJournal {
 public:
  // The pointers must outlive the writer; `random` is used here only.
  JournalWriter(const JournalWriterOptions& options, ObjectStore* store,
                Clock* clock, RandomSource* random,
                Counters* counters = DiscardCounters(),
                EventLog* events = DiscardEvents());

  void Append(const RequestRecord& record) override;
  bool HasRoom() const override;
  void SetPersistedObserver(const PersistedObserver& observer) override;

  // Writes what waits. Returns how long to wait before the next step.
  absl::Duration Step();

  // Returns how many records are not confirmed to be in the object store.
  std::size_t pending_records() const {
    return pending_records_.load(std::memory_order_relaxed);
  }

 private:
  struct Batch {
    BatchName name;
    std::string bytes;
    std::vector<RequestRecord> records;
  };
  // Records of some of the threads; several, to keep threads off each other.
  struct alignas(64) Shard {
    std::mutex mutex;
    std::vector<RequestRecord> records;
  };

  std::vector<RequestRecord> DrainRecords();
  void CreateBatches(std::vector<RequestRecord> records);
  void CreateBatch(std::int64_t hour, std::vector<RequestRecord> records);
  bool WriteFirstBatch();

  const JournalWriterOptions options_;
  ObjectStore* const store_;
  Clock* const clock_;
  Counters* const counters_;
  EventLog* const events_;
  const std::string process_;
  PersistedObserver observer_;
  std::array<Shard, 16> shards_;
  std::atomic<std::size_t> pending_records_ = 0;

  // Serialises steps.
  std::mutex step_mutex_;
  std::deque<Batch> batches_;
  std::uint64_t next_number_ = 0;
  bool store_unavailable_ = false;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_BUDGET_JOURNAL_WRITER_H_
