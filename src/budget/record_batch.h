#ifndef WISTERIAREEL_BUDGET_RECORD_BATCH_H_
#define WISTERIAREEL_BUDGET_RECORD_BATCH_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "wisteriareel/request_record.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Name of an object with records of one instance that finished in the same
// hour. A reader can tell from the name whether a request may be in the batch.
struct BatchName {
  // Hours since the Unix epoch.
  std::int64_t hour = 0;
  InstanceId instance;
  // Unique among the instance's processes.
  std::string process;
  std::uint64_t number = 0;
  // Range of the creation times in the request ids.
  absl::Time first_created;
  absl::Time last_created;

  friend bool operator==(const BatchName&, const BatchName&) = default;
};

// Returns the hours from the Unix epoch to `time`.
std::int64_t HourOf(absl::Time time);

// Returns the object name prefix of all batches of an hour, and of those of
// one instance.
std::string HourPrefix(std::int64_t hour);
std::string InstancePrefix(std::int64_t hour, const InstanceId& instance);

std::string Encode(const BatchName& name);
std::optional<BatchName> DecodeBatchName(const std::string& text);

// JSON Lines encoding. The decoder returns nullopt if any line is malformed.
std::string EncodeRecords(const std::vector<RequestRecord>& records);
std::optional<std::vector<RequestRecord>> DecodeRecords(
    const std::string& text);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_BUDGET_RECORD_BATCH_H_
