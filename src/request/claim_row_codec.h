#ifndef WISTERIAREEL_SRC_REQUEST_CLAIM_ROW_CODEC_H_
#define WISTERIAREEL_SRC_REQUEST_CLAIM_ROW_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "src/request/claim_manager.h"
#include "wisteriareel/claim_admin.h"
#include "wisteriareel/table_service.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// A row of the claims table.
struct ClaimRow {
  CustomerId customer;
  IdempotencyKey key;
  RequestId request;
  InstanceId holder;
  std::uint64_t content_hash = 0;
  ClaimState state = ClaimState::kHeld;
  // By the clock of the holder, in whole microseconds.
  absl::Time claimed;
  // When the outcome was written.
  absl::Time ended;
  // The stored response; the body of a large one is in the object
  // `response_object`.
  std::optional<StoredResponse> response;
  std::string response_object;
  // The operator who resolved the claim, if any.
  std::string resolved_by;

  friend bool operator==(const ClaimRow&, const ClaimRow&) = default;
};

RowKey ClaimRowKey(const CustomerId& customer, const IdempotencyKey& key);

// Returns the name of the object that stores a large response to `request`.
std::string ClaimResponseObject(const RequestId& request);

// Returns the value of the row. Equal rows have equal encodings.
std::string EncodeClaimRow(const ClaimRow& row);

// Returns nullopt with kMalformed if `bytes` is not an encoded row.
std::optional<ClaimRow> DecodeClaimRow(const std::string& bytes,
                                       LastReason* reason);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_REQUEST_CLAIM_ROW_CODEC_H_
