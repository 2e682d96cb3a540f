#ifndef WISTERIAREEL_SRC_CONFIG_CBOR_H_
#define WISTERIAREEL_SRC_CONFIG_CBOR_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "nlohmann/json.hpp"

// CBOR encoding of peer messages. Included by *_codec.cc files only.

namespace wisteriareel {

// SAX handler that rejects input nested deeper than kMaxDepth, which no valid
// message exceeds. The DOM parser is recursive: a frame of opening brackets
// would overflow the stack.
class CborDepthGuard final : public nlohmann::json_sax<nlohmann::json> {
 public:
  static constexpr int kMaxDepth = 16;

  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool key(string_t&) override { return true; }
  bool start_object(std::size_t) override { return ++depth_ <= kMaxDepth; }
  bool end_object() override { return --depth_ >= 0; }
  bool start_array(std::size_t) override { return ++depth_ <= kMaxDepth; }
  bool end_array() override { return --depth_ >= 0; }
  bool parse_error(std::size_t, const std::string&,
                   const nlohmann::json::exception&) override {
    return false;
  }

 private:
  int depth_ = 0;
};

inline std::string ToCbor(const nlohmann::json& object) {
  std::string bytes;
  nlohmann::json::to_cbor(object, bytes);
  return bytes;
}

// Returns the decoded item, or nullopt if `bytes` isn't exactly one CBOR item.
inline std::optional<nlohmann::json> FromCbor(const std::string& bytes) {
  CborDepthGuard guard;
  if (!nlohmann::json::sax_parse(bytes, &guard,
                                 nlohmann::json::input_format_t::cbor)) {
    return std::nullopt;
  }
  auto object = nlohmann::json::from_cbor(bytes, true, false);
  if (object.is_discarded()) return std::nullopt;
  return object;
}

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_CONFIG_CBOR_H_
