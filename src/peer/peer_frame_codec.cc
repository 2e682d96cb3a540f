#include <array>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "nlohmann/json.hpp"
#include "src/peer/peer_frame.h"

namespace wisteriareel {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxInstanceBytes = 128;

// Fields of a frame, as bits of a bit set.
enum Field : std::uint32_t {
  kKind = 1 << 0,
  kVersion = 1 << 1,
  kInstance = 1 << 2,
  kNonce = 1 << 3,
  kSequence = 1 << 4,
  kMessageKind = 1 << 5,
  kPayload = 1 << 6,
  kMac = 1 << 7,
};

struct FieldName {
  const char* name;
  Field field;
};

constexpr std::array<FieldName, 8> kFieldNames = {{{"k", kKind},
                                                   {"v", kVersion},
                                                   {"i", kInstance},
                                                   {"n", kNonce},
                                                   {"s", kSequence},
                                                   {"t", kMessageKind},
                                                   {"p", kPayload},
                                                   {"a", kMac}}};

// Returns the fields of a frame of `kind`, or 0 for an unknown kind.
std::uint32_t FieldsOf(PeerFrameKind kind) {
  switch (kind) {
    case PeerFrameKind::kHello:
      return kKind | kVersion | kInstance | kNonce;
    case PeerFrameKind::kChallenge:
      return kKind | kVersion | kInstance | kNonce | kMac;
    case PeerFrameKind::kProof:
      return kKind | kMac;
    case PeerFrameKind::kMessage:
      return kKind | kSequence | kMessageKind | kPayload | kMac;
    case PeerFrameKind::kPing:
    case PeerFrameKind::kPong:
    case PeerFrameKind::kGoodbye:
      return kKind | kSequence | kMac;
  }
  return 0;
}

json::binary_t Binary(const std::string& bytes) {
  return json::binary_t(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

// SAX handler for one flat map. A function returns false to stop the parser, so
// that it never descends into nested values.
class PeerFrameReader {
 public:
  const PeerFrame& frame() const { return frame_; }
  std::uint32_t seen() const { return seen_; }

  bool null() { return false; }
  bool boolean(bool) { return false; }
  bool number_integer(std::int64_t) { return false; }
  bool number_float(double, const std::string&) { return false; }
  bool start_array(std::size_t) { return false; }
  bool end_array() { return false; }
  bool parse_error(std::size_t, const std::string&,
                   const nlohmann::detail::exception&) {
    return false;
  }

  bool start_object(std::size_t) { return !std::exchange(opened_, true); }
  bool end_object() { return true; }

  bool key(std::string& name) {
    for (const FieldName& it : kFieldNames) {
      if (name != it.name) continue;
      current_ = it.field;
      if ((seen_ & current_) != 0) return false;
      seen_ |= current_;
      return true;
    }
    return false;
  }

  bool number_unsigned(std::uint64_t n) {
    switch (current_) {
      case kKind:
        frame_.kind = static_cast<PeerFrameKind>(n);
        return n <= UINT8_MAX;
      case kVersion:
        frame_.version = static_cast<std::uint32_t>(n);
        return n <= UINT32_MAX;
      case kSequence:
        frame_.sequence = n;
        return true;
      case kMessageKind:
        frame_.message_kind = static_cast<std::uint8_t>(n);
        return n <= UINT8_MAX;
      default:
        return false;
    }
  }

  bool string(std::string& text) {
    if (current_ != kInstance || text.empty()) return false;
    frame_.instance = text;
    return text.size() <= kMaxInstanceBytes;
  }

  bool binary(json::binary_t& bytes) {
    const std::string text(bytes.begin(), bytes.end());
    switch (current_) {
      case kNonce:
        frame_.nonce = text;
        return text.size() == kPeerNonceBytes;
      case kMac:
        frame_.mac = text;
        return text.size() == kPeerMacBytes;
      case kPayload:
        frame_.payload = text;
        return text.size() <= kMaxPeerPayloadBytes;
      default:
        return false;
    }
  }

 private:
  PeerFrame frame_;
  std::uint32_t seen_ = 0;
  Field current_ = kKind;
  bool opened_ = false;
};

}  // namespace

std::string EncodePeerFrame(const PeerFrame& frame) {
  const std::uint32_t fields = FieldsOf(frame.kind);
  json map;
  map["k"] = static_cast<unsigned int>(frame.kind);
  if ((fields & kVersion) != 0) map["v"] = frame.version;
  if ((fields & kInstance) != 0) map["i"] = frame.instance;
  if ((fields & kNonce) != 0) map["n"] = Binary(frame.nonce);
  if ((fields & kSequence) != 0) map["s"] = frame.sequence;
  if ((fields & kMessageKind) != 0) {
    map["t"] = static_cast<unsigned int>(frame.message_kind);
  }
  if ((fields & kPayload) != 0) map["p"] = Binary(frame.payload);
  if ((fields & kMac) != 0) map["a"] = Binary(frame.mac);
  std::string bytes;
  json::to_cbor(map, bytes);
  return bytes;
}

std::optional<PeerFrame> DecodePeerFrame(std::string_view bytes,
                                         LastReason* reason) {
  PeerFrameReader reader;
  const bool parsed = bytes.size() <= kMaxPeerFrameBytes &&
                      json::sax_parse(bytes.begin(), bytes.end(), &reader,
                                      nlohmann::detail::input_format_t::cbor,
                                      /*strict=*/true);
  if (!parsed || reader.seen() != FieldsOf(reader.frame().kind)) {
    reason->Set(Reason::kPeerFrameMalformed, "not a valid frame");
    return std::nullopt;
  }
  return reader.frame();
}

}  // namespace wisteriareel
