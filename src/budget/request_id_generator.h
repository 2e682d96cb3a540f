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

// What a request id says.
struct RequestIdFields {
  InstanceId instance;
  absl::Time created;

  friend bool operator==(const RequestIdFields&,
                         const RequestIdFields&) = default;
};

// Makes request ids of the form <instance>-<hex milliseconds>-<hex number>,
// by which the batch that holds a request's record is found. The numbers
// start at random, so that a restarted instance repeats none. Thread-safe.
class RequestIdGenerator {
 public:
  // `clock` must outlive the maker; `random` is used here only.
  RequestIdGenerator(InstanceId instance, Clock* clock, RandomSource* random);

  RequestId Next();

 private:
  const InstanceId instance_;
  Clock* const clock_;
  std::atomic<std::uint64_t> number_;
};

// Returns what `id` says, or nullopt if it isn't of the maker's form.
std::optional<RequestIdFields> ParseRequestId(const RequestId& id);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_BUDGET_REQUEST_ID_GENERATOR_H_
