#ifndef WISTERIAREEL_SRC_RUNTIME_TARGET_LINK_H_
#define WISTERIAREEL_SRC_RUNTIME_TARGET_LINK_H_

#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "boost/asio/io_context.hpp"
#include "boost/asio/ip/tcp.hpp"
#include "boost/asio/steady_timer.hpp"
#include "boost/beast/core/flat_buffer.hpp"
#include "boost/beast/http/parser.hpp"
#include "boost/beast/http/string_body.hpp"
#include "src/runtime/message_codec.h"
#include "src/runtime/target_connections.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Receives what a target answers. Called from the I/O thread, never from
// within a call to the link.
class TargetLinkObserver {
 public:
  virtual ~TargetLinkObserver() = default;

  // A new connection was made within `taken`.
  virtual void OnLinkConnected(absl::Duration taken) = 0;

  // The request was not sent.
  virtual void OnLinkUnreachable() = 0;
  virtual void OnLinkHead(const ResponseHead& head) = 0;
  virtual void OnLinkBody(std::string_view bytes) = 0;
  virtual void OnLinkEnd() = 0;
  // The connection failed, or its bytes are no answer.
  virtual void OnLinkBroken() = 0;
};

// One request sent to one target over one connection. Retires the connection
// unless the answer was whole, belonged to the request, and nothing followed
// it. Not thread-safe.
class TargetLink : public std::enable_shared_from_this<TargetLink> {
 public:
  // The pointers outlive the link, but for `observer`, which must outlive it
  // only until Cancel or the last event.
  TargetLink(boost::asio::io_context* io, TargetConnections* connections,
             const MessageCodec* codec, TargetLinkObserver* observer);
  ~TargetLink();

  TargetLink(const TargetLink&) = delete;
  TargetLink& operator=(const TargetLink&) = delete;

  struct Request {
    Endpoint address;
    TargetId target;
    RequestId id;
    // Head with its framing.
    std::string head;
    std::shared_ptr<const std::string> body;
    // The answer to a HEAD request has no body.
    bool head_only = false;
    bool fresh_connection = false;
  };

  void Start(Request request);

  // Closes the connection. No event follows.
  void Cancel();

  // Stops and resumes reading while the caller is slow.
  void Pause() { paused_ = true; }
  void Resume();

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void Connect();
  void Write();
  void Read();
  void OnRead(const boost::system::error_code& ec, std::size_t n);
  void Parse();
  bool TakeHead();
  void NewParser();
  void Complete();
  void Fail();
  void CloseSocket();

  boost::asio::io_context* const io_;
  TargetConnections* const connections_;
  const MessageCodec* const codec_;
  TargetLinkObserver* observer_;
  Request request_;
  std::unique_ptr<boost::asio::ip::tcp::socket> socket_;
  boost::asio::steady_timer connect_timer_;
  std::chrono::steady_clock::time_point connecting_since_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  bool reading_ = false;
  bool paused_ = false;
  bool written_ = false;
  bool head_seen_ = false;
  // The message that arrives answers another request.
  bool foreign_ = false;
  bool eof_ = false;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_RUNTIME_TARGET_LINK_H_
