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
  // Id of this instance.
  InstanceId instance;
  // How often records are written. A crash loses the records of at most about
  // this period.
  absl::Duration flush_interval = kDefaultFlushInterval;
  // Timeout of one call of the object store.
  absl::Duration store_timeout = kDefaultStoreTimeout;
  // Number of buffered records, of about 500 bytes each, from which on HasRoom
  // returns false.
  std::size_t max_records = 100'000;
  // Max number of records in one object.
  std::size_t max_batch = 5'000;
};

// Writes records in batches to the object store and buffers them until the
// write is confirmed. The name and bytes of a batch never change, so a put is
// retried safely after its reply was lost. Thread-safe; Step belongs to one
// loop.
class JournalWriter final : public RecordJournal {
 public:
  // The pointers must outlive the writer, except `random`, which only the
  // constructor uses.
  JournalWriter(const JournalWriterOptions& options, ObjectStore* store,
                Clock* clock, RandomSource* random,
                Counters* counters = DiscardCounters(),
                EventLog* events = DiscardEvents());

  void Append(const RequestRecord& record) override;
  bool HasRoom() const override;
  void SetPersistedObserver(const PersistedObserver& observer) override;

  // Writes all buffered records. Returns how long to wait before the next step.
  absl::Duration Step();

  // Returns the number of records that the object store has not confirmed.
  std::size_t pending_records() const {
    return pending_records_.load(std::memory_order_relaxed);
  }

 private:
  struct Batch {
    BatchName name;
    std::string bytes;
    std::vector<RequestRecord> records;
  };
  // Records of some of the threads. Several shards reduce lock contention.
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

  // Serializes steps.
  std::mutex step_mutex_;
  std::deque<Batch> batches_;
  std::uint64_t next_number_ = 0;
  bool store_unavailable_ = false;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_BUDGET_JOURNAL_WRITER_H_
