#ifndef WISTERIAREEL_SRC_RUNTIME_HEAD_WRITER_H_
#define WISTERIAREEL_SRC_RUNTIME_HEAD_WRITER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "src/runtime/message_codec.h"

namespace wisteriareel {

// How a message delimits its body.
struct Framing {
  // Value of Content-Length. Chunked if unset.
  std::optional<std::size_t> length;
  // The message has no body: neither length nor chunked encoding is stated.
  bool no_body = false;
  // The sender closes the connection after the message.
  bool close = false;
};

// Returns the serialized head of a request with the framing headers.
std::string WriteHead(const RequestHead& head, const Framing& framing);

// Returns the serialized head of a response with the framing headers.
std::string WriteHead(const ResponseHead& head, const Framing& framing);

// Returns `bytes` as one chunk. `bytes` must not be empty.
std::string EncodeChunk(std::string_view bytes);

// Terminates a chunked body.
inline constexpr char kLastChunk[] = "0\r\n\r\n";

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_RUNTIME_HEAD_WRITER_H_
