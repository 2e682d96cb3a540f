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

// One row of the claims' table.
struct ClaimRow {
  CustomerId customer;
  IdempotencyKey key;
  RequestId request;
  InstanceId holder;
  std::uint64_t content_hash = 0;
  ClaimState state = ClaimState::kHeld;
  // By the holder's clock, to the microsecond.
  absl::Time claimed;
  // When the outcome was written.
  absl::Time ended;
  // The kept answer; a large one lies in the object named `answer_object`.
  std::optional<StoredResponse> answer;
  std::string answer_object;
  // The operator who settled the claim, if one did.
  std::string resolved_by;

  friend bool operator==(const ClaimRow&, const ClaimRow&) = default;
};

// Returns the row's key.
RowKey ClaimRowKey(const CustomerId& customer, const IdempotencyKey& key);

// Returns the name of the object for a large answer to `request`.
std::string ClaimAnswerObject(const RequestId& request);

// Returns the row's value. Equal rows give equal bytes.
std::string EncodeClaimRow(const ClaimRow& row);

// Returns nullopt with kMalformed if `bytes` are not a row.
std::optional<ClaimRow> DecodeClaimRow(const std::string& bytes,
                                       LastReason* reason);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_REQUEST_CLAIM_ROW_CODEC_H_
