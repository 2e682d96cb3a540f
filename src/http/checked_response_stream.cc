#include "src/http/checked_response_stream.h"

namespace wisteriareel {

CheckedResponseStream::CheckedResponseStream(httplib::Stream* stream,
                                             bool head_only)
    : stream_(stream), options_({.head_only = head_only}) {
  parser_.emplace(options_);
}

bool CheckedResponseStream::is_complete() const {
  return parser_->is_complete() && !parser_->is_interim() && pending_.empty();
}

ssize_t CheckedResponseStream::read(char* ptr, std::size_t size) {
  const ssize_t n = stream_->read(ptr, size);
  if (n > 0) {
    Parse({ptr, static_cast<std::size_t>(n)});
  } else if (n == 0) {
    parser_->PutEnd();
  } else {
    parser_->PutFailure();
  }
  const bool is_too_long = parser_->is_complete() && !pending_.empty();
  return is_too_long || parser_->is_malformed() ? -1 : n;
}

void CheckedResponseStream::Parse(std::string_view bytes) {
  if (parser_->is_complete() && parser_->is_interim()) {
    parser_.emplace(options_);
  }
  // The parser consumes nothing after the end of the response.
  pending_.append(bytes);
  pending_.erase(0, parser_->Put(pending_));
  parser_->TakeBody();
}

}  // namespace wisteriareel
