#ifndef WISTERIAREEL_SRC_PLATFORM_PLATFORM_CODEC_H_
#define WISTERIAREEL_SRC_PLATFORM_PLATFORM_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wisteriareel/instance_list.h"
#include "wisteriareel/table_service.h"

namespace wisteriareel {

// JSON bodies between an instance and the platform's services; see
// docs/design/http.md. Encoders return nullopt for values that JSON can't
// represent (bytes that aren't UTF-8), decoders for bodies that don't match the
// expected structure.

std::optional<std::string> EncodeTransaction(const Transaction& transaction);
std::optional<Transaction> DecodeTransaction(std::string_view body);

std::string EncodeOutcome(CommitOutcome outcome);
std::optional<CommitOutcome> DecodeOutcome(std::string_view body);

std::optional<std::string> EncodeKeys(const std::vector<RowKey>& keys);
std::optional<std::vector<RowKey>> DecodeKeys(std::string_view body);

// Requests up to `limit` rows of `table` with key > `after`, in key order.
struct ScanCall {
  std::string table;
  std::string after;
  int limit = 0;

  friend bool operator==(const ScanCall&, const ScanCall&) = default;
};

std::optional<std::string> EncodeScan(const ScanCall& call);
std::optional<ScanCall> DecodeScan(std::string_view body);

std::optional<std::string> EncodeRows(const std::vector<Row>& rows);
std::optional<std::vector<Row>> DecodeRows(std::string_view body);

std::string EncodeNames(const std::vector<std::string>& names);
std::optional<std::vector<std::string>> DecodeNames(std::string_view body);

std::string EncodeInstances(const std::vector<ListedInstance>& instances);
std::optional<std::vector<ListedInstance>> DecodeInstances(
    std::string_view body);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_PLATFORM_PLATFORM_CODEC_H_
