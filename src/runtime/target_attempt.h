#ifndef WISTERIAREEL_SRC_RUNTIME_TARGET_ATTEMPT_H_
#define WISTERIAREEL_SRC_RUNTIME_TARGET_ATTEMPT_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "boost/asio/io_context.hpp"
#include "boost/asio/ip/tcp.hpp"
#include "boost/asio/steady_timer.hpp"
#include "boost/beast/core/flat_buffer.hpp"
#include "src/message/response_parser.h"
#include "src/runtime/message_codec.h"
#include "src/runtime/target_connection_pool.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Receives the events of a TargetAttempt. Called from the I/O thread, never
// from within a call to the attempt.
class TargetAttemptObserver {
 public:
  virtual ~TargetAttemptObserver() = default;

  // A new connection was established; that took `taken`.
  virtual void OnTargetConnected(absl::Duration taken) = 0;

  // No connection could be established; the request was not sent.
  virtual void OnTargetUnreachable() = 0;
  virtual void OnTargetResponseHead(const ResponseHead& head) = 0;
  virtual void OnTargetResponseBody(std::string_view bytes) = 0;
  virtual void OnTargetResponseEnd() = 0;
  // The connection failed or the response is malformed.
  virtual void OnTargetConnectionFailed(BrokenCause cause) = 0;
};

// One request sent to one target over one connection. Reuses the connection
// only if the response was complete, belonged to the request, and no data
// followed it. Not thread-safe.
class TargetAttempt : public std::enable_shared_from_this<TargetAttempt> {
 public:
  // The pointers must outlive the attempt, except `observer`, which must stay
  // valid until Cancel or the last event.
  TargetAttempt(boost::asio::io_context* io, TargetConnectionPool* connections,
                const MessageCodec* codec, TargetAttemptObserver* observer);
  ~TargetAttempt();

  TargetAttempt(const TargetAttempt&) = delete;
  TargetAttempt& operator=(const TargetAttempt&) = delete;

  struct Request {
    Endpoint address;
    TargetId target;
    RequestId id;
    // Serialized head with framing headers.
    std::string head;
    std::shared_ptr<const std::string> body;
    // True for a HEAD request, whose response has no body.
    bool head_only = false;
    bool fresh_connection = false;
  };

  void Start(Request request);

  // Closes the connection. No event is delivered after this.
  void Cancel();

  // Stops and resumes reading, for backpressure from a slow caller.
  void Pause() { paused_ = true; }
  void Resume();

 private:
  void Connect();
  void WriteRequest();
  void OnWritten(const boost::system::error_code& ec);
  void ReadResponse();
  void OnRead(const boost::system::error_code& ec, std::size_t n);
  void ParseResponse();
  // Returns true if it isn't known yet whether the end of the connection is the
  // end of the response.
  bool MustAwaitWrite() const;
  // Applies the end of the connection to the response.
  void EndResponse();
  bool HandleHead();
  void ResetParser();
  void CompleteAttempt();
  void FailAttempt(BrokenCause cause);
  void CloseSocket();

  boost::asio::io_context* const io_;
  TargetConnectionPool* const connections_;
  const MessageCodec* const codec_;
  TargetAttemptObserver* observer_;
  Request request_;
  std::unique_ptr<boost::asio::ip::tcp::socket> socket_;
  boost::asio::steady_timer connect_timer_;
  std::chrono::steady_clock::time_point connecting_since_;
  bool connecting_ = false;
  bool reused_connection_ = false;
  int unrelated_responses_ = 0;
  boost::beast::flat_buffer buffer_;
  std::optional<ResponseParser> parser_;
  bool reading_ = false;
  bool paused_ = false;
  // Progress of writing the request.
  enum class WriteState : std::uint8_t { kPending, kDone, kFailed };
  WriteState write_state_ = WriteState::kPending;
  bool head_seen_ = false;
  // The response being read is informational (1xx) or belongs to another
  // request, and is discarded.
  bool unrelated_response_ = false;
  bool eof_ = false;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_RUNTIME_TARGET_ATTEMPT_H_
