#include "src/runtime/received_body.h"

#include <algorithm>
#include <utility>

namespace wisteriareel {
namespace {

constexpr std::size_t kPieceBytes = 16 << 10;

}  // namespace

void ReceivedBody::Append(std::string_view bytes) {
  size_ += bytes.size();
  if (discarded_) return;
  while (!bytes.empty()) {
    if (pieces_.empty() || pieces_.back().size() >= kPieceBytes) {
      // Most bodies fit into the first piece, which takes only what it needs.
      std::string& piece = pieces_.emplace_back();
      if (pieces_.size() > 1) piece.reserve(kPieceBytes);
      memory_bytes_ += piece.capacity();
    }
    std::string& piece = pieces_.back();
    const std::size_t n = std::min(bytes.size(), kPieceBytes - piece.size());
    memory_bytes_ -= piece.capacity();
    piece.append(bytes.substr(0, n));
    memory_bytes_ += piece.capacity();
    bytes.remove_prefix(n);
  }
}

void ReceivedBody::Discard() {
  discarded_ = true;
  pieces_ = {};
  memory_bytes_ = 0;
}

std::string ReceivedBody::Take() {
  std::vector<std::string> pieces = std::exchange(pieces_, {});
  const std::size_t size = std::exchange(size_, 0);
  memory_bytes_ = 0;
  if (pieces.size() == 1) return std::move(pieces.front());
  std::string body;
  body.reserve(size);
  for (std::string& piece : pieces) body.append(std::exchange(piece, {}));
  return body;
}

}  // namespace wisteriareel
