#ifndef WISTERIAREEL_SRC_MESSAGE_RESPONSE_PARSER_H_
#define WISTERIAREEL_SRC_MESSAGE_RESPONSE_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "boost/beast/http/fields.hpp"
#include "boost/beast/http/message.hpp"
#include "boost/beast/http/parser.hpp"
#include "boost/beast/http/string_body.hpp"

namespace wisteriareel {

// Parses one HTTP/1 response. All readers of responses use it, so that none
// accepts what another one rejects. Not thread-safe.
class ResponseParser {
 public:
  struct Options {
    // True for the response to a HEAD request, which has no body.
    bool head_only = false;
    std::uint32_t max_head_bytes = 64 << 10;
    std::uint64_t max_body_bytes = 256 << 20;
  };

  explicit ResponseParser(const Options& options);

  ResponseParser(const ResponseParser&) = delete;
  ResponseParser& operator=(const ResponseParser&) = delete;

  // Parses the next bytes and returns how many of them were consumed. The rest
  // is incomplete and must be passed again with the bytes that follow, unless
  // the response is complete or malformed. Has no effect after that.
  std::size_t Put(std::string_view bytes);

  // Tells the parser that the connection has ended and that all bytes were
  // consumed. Without this call, a response without a length isn't complete.
  void PutEnd();

  // Tells the parser that the connection has failed. A response that wasn't
  // complete before is malformed then.
  void PutFailure();

  // Returns true if the response violates the protocol, or if it is incomplete
  // at the end of the connection.
  bool is_malformed() const { return state_ == State::kMalformed; }
  bool has_head() const { return head_.has_value(); }
  // Returns true if the whole response was parsed.
  bool is_complete() const { return state_ == State::kComplete; }

  // The functions below must not be called before has_head() is true.

  // Returns the head, which trailer fields aren't part of.
  const boost::beast::http::response_header<>& head() const { return *head_; }
  // Returns true for a response that precedes the final one (1xx).
  bool is_interim() const;
  // Returns true if the body ends with the connection.
  bool ends_with_connection() const { return parser_.need_eof(); }
  // Returns true if the response allows another request on the connection.
  bool keeps_connection() const { return parser_.keep_alive(); }

  // Returns the bytes of the body that were parsed since the last call.
  std::string TakeBody();

 private:
  enum class State : std::uint8_t { kIncomplete, kComplete, kMalformed };

  // Calls the parser once. Returns the number of bytes consumed.
  std::size_t PutOnce(std::string_view bytes);
  // Checks the lines of the head that were just parsed, and the head once it is
  // complete.
  void CheckHead(std::string_view lines);

  boost::beast::http::response_parser<boost::beast::http::string_body> parser_;
  std::optional<boost::beast::http::response_header<>> head_;
  State state_ = State::kIncomplete;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_MESSAGE_RESPONSE_PARSER_H_
