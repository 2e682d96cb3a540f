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

// What became of one request. Immutable; idempotent by `request` wherever
// records are summed.
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
  // Charged to the budget; zero for a request that was not run.
  Tokens billed;
  // Number of the grant that covered the request; with `instance` it names
  // the holder whose account is charged.
  std::uint64_t grant = 0;
  int attempts = 0;
  absl::Time started;
  absl::Time finished;

  friend bool operator==(const RequestRecord&, const RequestRecord&) = default;
};

// Told of a batch of records that is in the object store. The numbers of one
// journal's batches grow.
using PersistedObserver = std::function<void(
    std::uint64_t number, const std::vector<RequestRecord>& records)>;

// Keeps records until they are in the object store. Thread-safe; Append does
// not block on the platform.
class RecordJournal {
 public:
  virtual ~RecordJournal() = default;

  virtual void Append(const RequestRecord& record) = 0;

  // Returns false while no further record may be caused, because those that
  // wait for the object store fill the memory set aside for them.
  virtual bool HasRoom() const { return true; }

  // Has `observer` called once for each batch that has reached the object
  // store, in the order of their numbers, on the thread that writes. To be
  // set before the first Append.
  virtual void SetPersistedObserver(const PersistedObserver& /*observer*/) {}
};

// Reads records back for reports. Thread-safe; blocks up to the timeout.
class RecordReader {
 public:
  virtual ~RecordReader() = default;

  // Returns the record of `request`, or nullopt with kNotFound or a platform
  // reason.
  virtual std::optional<RequestRecord> Find(const RequestId& request,
                                            absl::Duration timeout,
                                            LastReason* reason) = 0;

  // Returns all records that finished in [from, to), each request once.
  virtual std::optional<std::vector<RequestRecord>> Range(
      absl::Time from, absl::Time to, absl::Duration timeout,
      LastReason* reason) = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_REQUEST_RECORD_H_
