#include "src/message/response_parser.h"

#include <utility>

#include "boost/asio/buffer.hpp"
#include "boost/beast/core/string.hpp"
#include "boost/beast/http/error.hpp"

namespace wisteriareel {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr unsigned kVersion11 = 11;
constexpr unsigned kMinStatus = 100;
// No request asks for a change of protocol.
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kMinFinalStatus = 200;
constexpr unsigned kNoContent = 204;
constexpr unsigned kMaxStatus = 599;

bool HasValidStatus(const http::response_header<>& head) {
  return head.result_int() >= kMinStatus && head.result_int() <= kMaxStatus;
}

// Returns true if the body has no transfer coding or only the one that the
// parser removes. Any other one, or a coding in HTTP/1.0, leaves in doubt where
// the body ends and what it is.
bool HasKnownCoding(const http::response_header<>& head) {
  const std::size_t n = head.count(http::field::transfer_encoding);
  if (n == 0) return true;
  return n == 1 && head.version() == kVersion11 &&
         boost::beast::iequals(head[http::field::transfer_encoding], "chunked");
}

// Returns true if a response without a body doesn't state that it has one. The
// head doesn't tell where the next response starts otherwise.
bool HasKnownBody(const http::response_header<>& head) {
  const unsigned status = head.result_int();
  if (status >= kMinFinalStatus && status != kNoContent) return true;
  return head.count(http::field::transfer_encoding) == 0 &&
         (head.count(http::field::content_length) == 0 ||
          head[http::field::content_length] == "0");
}

// Returns true if all receivers understand the response in the same way.
bool IsValid(const http::response_header<>& head) {
  return HasValidStatus(head) && head.result_int() != kSwitchingProtocols &&
         HasKnownCoding(head) && HasKnownBody(head);
}

// Returns true if a line starts with a blank. It would continue the field
// before it, so that a field whose name starts with a blank is lost.
bool HasFoldedLine(std::string_view lines) {
  return lines.find("\n ") != std::string_view::npos ||
         lines.find("\n\t") != std::string_view::npos;
}

}  // namespace

ResponseParser::ResponseParser(const Options& options) {
  parser_.header_limit(options.max_head_bytes);
  parser_.body_limit(options.max_body_bytes);
  if (options.head_only) parser_.skip(true);
}

bool ResponseParser::is_interim() const {
  return head_->result_int() < kMinFinalStatus;
}

std::size_t ResponseParser::Put(std::string_view bytes) {
  std::size_t used = 0;
  while (!is_malformed() && !is_complete() && used < bytes.size()) {
    const std::size_t n = PutOnce(bytes.substr(used));
    if (n == 0) break;
    used += n;
  }
  return used;
}

std::size_t ResponseParser::PutOnce(std::string_view bytes) {
  error_code ec;
  const std::size_t used =
      parser_.put(boost::asio::buffer(bytes.data(), bytes.size()), ec);
  if (ec && ec != http::error::need_more) {
    state_ = State::kMalformed;
  } else if (!has_head()) {
    CheckHead(bytes.substr(0, used));
  } else if (parser_.is_done()) {
    state_ = State::kComplete;
  }
  return used;
}

void ResponseParser::CheckHead(std::string_view lines) {
  // The parser consumes a field together with the lines that continue it.
  if (HasFoldedLine(lines)) {
    state_ = State::kMalformed;
    return;
  }
  if (!parser_.is_header_done()) return;
  if (!IsValid(parser_.get().base())) {
    state_ = State::kMalformed;
    return;
  }
  // The parser adds trailer fields to its own head later.
  head_ = std::move(parser_.get().base());
  if (parser_.is_done()) state_ = State::kComplete;
}

void ResponseParser::PutEnd() {
  if (is_malformed() || is_complete()) return;
  const bool is_whole = has_head() && ends_with_connection();
  state_ = is_whole ? State::kComplete : State::kMalformed;
}

void ResponseParser::PutFailure() {
  if (!is_complete()) state_ = State::kMalformed;
}

std::string ResponseParser::TakeBody() {
  return std::exchange(parser_.get().body(), {});
}

}  // namespace wisteriareel
