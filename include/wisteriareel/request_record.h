#ifndef WISTERIAREEL_REQUEST_RECORD_H_
#define WISTERIAREEL_REQUEST_RECORD_H_

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
  int attempts = 0;
  absl::Time started;
  absl::Time finished;

  friend bool operator==(const RequestRecord&, const RequestRecord&) = default;
};

// Keeps records until they are in the object store. Thread-safe; Append does
// not block on the platform.
class RecordJournal {
 public:
  virtual ~RecordJournal() = default;

  virtual void Append(const RequestRecord& record) = 0;
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
