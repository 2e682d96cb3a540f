#ifndef WISTERIAREEL_SRC_CONFIG_CONFIG_CODEC_H_
#define WISTERIAREEL_SRC_CONFIG_CONFIG_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>

#include "wisteriareel/config_delta.h"
#include "wisteriareel/config_types.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Content of the head row: the newest revision.
struct ConfigHead {
  Revision revision;
  // Digest of the complete configuration at that revision.
  std::uint64_t digest = 0;

  friend bool operator==(const ConfigHead&, const ConfigHead&) = default;
};

// Content of an order row: the revision that the order brought into force.
struct OrderRecord {
  Revision revision;
  // Hash of the order's changes.
  std::uint64_t fingerprint = 0;

  friend bool operator==(const OrderRecord&, const OrderRecord&) = default;
};

// JSON encoding of rows. Decoders return nullopt for malformed text.
std::string EncodeEntryRow(const VersionedEntry& entry);
std::optional<VersionedEntry> DecodeEntryRow(const std::string& text);
std::string EncodeDeltaRow(const ConfigDelta& delta,
                           const std::string& operator_name);
std::optional<ConfigDelta> DecodeDeltaRow(const std::string& text);
std::string EncodeHeadRow(const ConfigHead& head);
std::optional<ConfigHead> DecodeHeadRow(const std::string& text);
std::string EncodeOrderRow(const OrderRecord& record);
std::optional<OrderRecord> DecodeOrderRow(const std::string& text);

// Returns whether all strings of the order are valid UTF-8, as required in
// rows.
bool CanEncode(const ConfigDelta& delta, const std::string& operator_name);

// Returns a hash of the order's changes, equal at every instance.
std::uint64_t ComputeFingerprint(const ConfigDelta& delta);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_CONFIG_CONFIG_CODEC_H_
