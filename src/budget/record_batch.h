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

// Name of an object that holds records of one instance, all of which finished
// in the same hour. The name alone tells whether a request can be in it.
struct BatchName {
  // Hours since the Unix epoch.
  std::int64_t hour = 0;
  InstanceId instance;
  // Unique among the instance's processes.
  std::string process;
  std::uint64_t number = 0;
  // Span of the times in the request ids.
  absl::Time first_created;
  absl::Time last_created;

  friend bool operator==(const BatchName&, const BatchName&) = default;
};

// Returns the hour that `time` falls into.
std::int64_t HourOf(absl::Time time);

// Returns the prefix of all batches of an hour, or of one instance in it.
std::string HourPrefix(std::int64_t hour);
std::string InstancePrefix(std::int64_t hour, const InstanceId& instance);

std::string Encode(const BatchName& name);
std::optional<BatchName> DecodeBatchName(const std::string& text);

// JSON text, one record a line. The decoder returns nullopt if any line is
// malformed.
std::string EncodeRecords(const std::vector<RequestRecord>& records);
std::optional<std::vector<RequestRecord>> DecodeRecords(
    const std::string& text);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_BUDGET_RECORD_BATCH_H_
