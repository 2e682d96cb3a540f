#ifndef WISTERIAREEL_SRC_CONFIG_CONFIG_CODEC_H_
#define WISTERIAREEL_SRC_CONFIG_CONFIG_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>

#include "wisteriareel/config_delta.h"
#include "wisteriareel/config_types.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// The newest revision, as its row states it.
struct ConfigHead {
  Revision revision;
  // Digest of the whole configuration at that revision.
  std::uint64_t digest = 0;

  friend bool operator==(const ConfigHead&, const ConfigHead&) = default;
};

// Which revision an order brought into force, as its row states it.
struct OrderRecord {
  Revision revision;
  // Hash of the order's changes.
  std::uint64_t fingerprint = 0;

  friend bool operator==(const OrderRecord&, const OrderRecord&) = default;
};

// JSON texts of rows. Decoders return nullopt for anything malformed.
std::string EncodeEntryRow(const VersionedEntry& entry);
std::optional<VersionedEntry> DecodeEntryRow(const std::string& text);
std::string EncodeDeltaRow(const ConfigDelta& delta,
                           const std::string& operator_name);
std::optional<ConfigDelta> DecodeDeltaRow(const std::string& text);
std::string EncodeHeadRow(const ConfigHead& head);
std::optional<ConfigHead> DecodeHeadRow(const std::string& text);
std::string EncodeOrderRow(const OrderRecord& record);
std::optional<OrderRecord> DecodeOrderRow(const std::string& text);

// Returns whether all of the order's texts are valid UTF-8, as rows need.
bool CanEncode(const ConfigDelta& delta, const std::string& operator_name);

// Returns a hash of the order's changes that is the same at every instance.
std::uint64_t FingerprintOf(const ConfigDelta& delta);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_CONFIG_CONFIG_CODEC_H_
