#include "src/message/response_parser.h"

#include <utility>

#include "boost/asio/buffer.hpp"
#include "boost/beast/http/error.hpp"

namespace wisteriareel {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr unsigned kMinStatus = 100;
constexpr unsigned kMinFinalStatus = 200;
constexpr unsigned kMaxStatus = 599;

// Returns true if the response can be understood in only one way.
bool IsValid(const http::response_header<>& head) {
  const unsigned status = head.result_int();
  return status >= kMinStatus && status <= kMaxStatus;
}

}  // namespace

ResponseParser::ResponseParser(const Options& options) {
  parser_.header_limit(options.max_head_bytes);
  parser_.body_limit(options.max_body_bytes);
  if (options.head_only) parser_.skip(true);
}

bool ResponseParser::is_interim() const {
  return head().result_int() < kMinFinalStatus;
}

std::size_t ResponseParser::Put(std::string_view bytes) {
  std::size_t used = 0;
  if (!has_head()) used = PutHead(bytes);
  while (has_head() && !is_malformed_ && !is_complete_ && used < bytes.size()) {
    const std::size_t n = PutOnce(bytes.substr(used));
    if (n == 0) break;
    used += n;
  }
  return used;
}

std::size_t ResponseParser::PutHead(std::string_view bytes) {
  std::size_t used = 0;
  while (!parser_.is_header_done() && !is_malformed_ && used < bytes.size()) {
    const std::size_t n = PutOnce(bytes.substr(used));
    if (n == 0) break;
    used += n;
  }
  if (is_malformed_ || !parser_.is_header_done()) return used;
  if (IsValid(head())) {
    has_head_ = true;
  } else {
    is_malformed_ = true;
    is_complete_ = false;
  }
  return used;
}

std::size_t ResponseParser::PutOnce(std::string_view bytes) {
  error_code ec;
  const std::size_t used =
      parser_.put(boost::asio::buffer(bytes.data(), bytes.size()), ec);
  is_malformed_ = ec && ec != http::error::need_more;
  is_complete_ = !is_malformed_ && parser_.is_done();
  return used;
}

void ResponseParser::PutEnd() {
  if (is_malformed_ || is_complete_) return;
  is_complete_ = has_head() && ends_with_connection();
  is_malformed_ = !is_complete_;
}

std::string ResponseParser::TakeBody() {
  return std::exchange(parser_.get().body(), {});
}

}  // namespace wisteriareel
