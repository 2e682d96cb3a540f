#ifndef WISTERIAREEL_SRC_RUNTIME_HEAD_WRITER_H_
#define WISTERIAREEL_SRC_RUNTIME_HEAD_WRITER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "src/runtime/message_codec.h"

namespace wisteriareel {

// How the length of a body is told.
struct Framing {
  // In chunks if unset.
  std::optional<std::size_t> length;
  // Neither length nor chunks: the message has no body.
  bool no_body = false;
  // The sender closes the connection after the message.
  bool close = false;
};

// Returns the bytes of a request's head with its framing.
std::string WriteHead(const RequestHead& head, const Framing& framing);

// Returns the bytes of an answer's head with its framing.
std::string WriteHead(const ResponseHead& head, const Framing& framing);

// Returns `bytes` as one chunk; they must not be empty.
std::string AsChunk(std::string_view bytes);

// Ends a body in chunks.
inline constexpr char kLastChunk[] = "0\r\n\r\n";

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_RUNTIME_HEAD_WRITER_H_
