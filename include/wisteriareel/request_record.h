#ifndef WISTERIAREEL_REQUEST_RECORD_H_
#define WISTERIAREEL_REQUEST_RECORD_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "wisteriareel/reason.h"
#include "wisteriareel/types.h"
#include "wisteriareel/verdict.h"

namespace wisteriareel {

// Outcome of one request. Immutable. Sums over records count each `request`
// once.
struct RequestRecord {
  RequestId request;
  CustomerId customer;
  BudgetId budget;
  PoolId pool;
  ModelName model;
  TargetId target;
  InstanceId instance;
  ZoneId zone;
  Verdict verdict = Verdict::kNotRun;
  Reason reason = Reason::kNone;
  Tokens prompt_tokens;
  Tokens output_tokens;
  // Tokens charged to the budget; zero for a request that was not run.
  Tokens billed;
  // Number of the grant that covered the request. Together with `instance` it
  // identifies the holder whose account is charged.
  std::uint64_t grant = 0;
  int attempts = 0;
  absl::Time started;
  absl::Time finished;

  friend bool operator==(const RequestRecord&, const RequestRecord&) = default;
};

// Callback for a batch of records that the object store has confirmed. The
// batch numbers of one journal increase.
using PersistedObserver = std::function<void(
    std::uint64_t number, const std::vector<RequestRecord>& records)>;

// Buffers records until the object store has confirmed them. Thread-safe;
// Append does not block on the platform.
class RecordJournal {
 public:
  virtual ~RecordJournal() = default;

  virtual void Append(const RequestRecord& record) = 0;

  // Returns false while the records that wait for the object store fill the
  // buffer. No request that produces a record may be started then.
  virtual bool HasRoom() const { return true; }

  // Sets a callback that runs once for each persisted batch, in the order of
  // the batch numbers, on the writing thread. Must be called before the first
  // Append.
  virtual void SetPersistedObserver(const PersistedObserver& /*observer*/) {}
};

// Reads persisted records for reports. Thread-safe; calls block up to their
// timeout.
class RecordReader {
 public:
  virtual ~RecordReader() = default;

  // Returns the record of `request`, or nullopt with kNotFound or a platform
  // reason.
  virtual std::optional<RequestRecord> Find(const RequestId& request,
                                            absl::Duration timeout,
                                            LastReason* reason) = 0;

  // Returns one record for each request that finished in [from, to), or
  // nullopt with a platform reason.
  virtual std::optional<std::vector<RequestRecord>> Range(
      absl::Time from, absl::Time to, absl::Duration timeout,
      LastReason* reason) = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_REQUEST_RECORD_H_
