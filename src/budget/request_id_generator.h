#ifndef WISTERIAREEL_BUDGET_REQUEST_ID_GENERATOR_H_
#define WISTERIAREEL_BUDGET_REQUEST_ID_GENERATOR_H_

#include <atomic>
#include <cstdint>
#include <optional>

#include "absl/time/time.h"
#include "wisteriareel/clock.h"
#include "wisteriareel/random_source.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Fields encoded in a request id.
struct RequestIdFields {
  InstanceId instance;
  absl::Time created;

  friend bool operator==(const RequestIdFields&,
                         const RequestIdFields&) = default;
};

// Generates request ids of the form <instance>-<hex milliseconds>-<hex number>,
// which locate the batch that has a request's record. The numbers start at a
// random value, so that a restarted instance does not reuse them. Thread-safe.
class RequestIdGenerator {
 public:
  // `clock` must outlive the generator; only the constructor uses `random`.
  RequestIdGenerator(InstanceId instance, Clock* clock, RandomSource* random);

  RequestId Next();

 private:
  const InstanceId instance_;
  Clock* const clock_;
  std::atomic<std::uint64_t> number_;
};

// Returns the fields of `id`, or nullopt if it does not have the form that
// RequestIdGenerator produces.
std::optional<RequestIdFields> ParseRequestId(const RequestId& id);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_BUDGET_REQUEST_ID_GENERATOR_H_
