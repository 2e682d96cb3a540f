#ifndef WISTERIAREEL_SRC_HTTP_CHECKED_RESPONSE_STREAM_H_
#define WISTERIAREEL_SRC_HTTP_CHECKED_RESPONSE_STREAM_H_

#include <httplib.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "src/message/response_parser.h"

namespace wisteriareel {

// Passes reads and writes of a cpp-httplib client on to another stream and
// checks the response with a ResponseParser. cpp-httplib alone accepts
// malformed heads and bodies. Not thread-safe.
class CheckedResponseStream final : public httplib::Stream {
 public:
  // `stream` must outlive this one. `head_only` is true for a HEAD request.
  CheckedResponseStream(httplib::Stream* stream, bool head_only);

  // Returns true if the bytes read are exactly one response, after any interim
  // ones.
  bool is_complete() const;

  bool is_readable() const override { return stream_->is_readable(); }
  bool is_writable() const override { return stream_->is_writable(); }
  // Fails once the response is malformed.
  ssize_t read(char* ptr, std::size_t size) override;
  ssize_t write(const char* ptr, std::size_t size) override {
    return stream_->write(ptr, size);
  }
  void get_remote_ip_and_port(std::string& ip, int& port) const override {
    stream_->get_remote_ip_and_port(ip, port);
  }
  void get_local_ip_and_port(std::string& ip, int& port) const override {
    stream_->get_local_ip_and_port(ip, port);
  }
  socket_t socket() const override { return stream_->socket(); }

 private:
  void Parse(std::string_view bytes);

  httplib::Stream* const stream_;
  const ResponseParser::Options options_;
  std::optional<ResponseParser> parser_;
  // Bytes that the parser has not consumed.
  std::string pending_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_HTTP_CHECKED_RESPONSE_STREAM_H_
