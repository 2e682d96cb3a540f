#ifndef WISTERIAREEL_SRC_RUNTIME_CALLER_CONNECTION_H_
#define WISTERIAREEL_SRC_RUNTIME_CALLER_CONNECTION_H_

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "boost/asio/io_context.hpp"
#include "boost/asio/ip/tcp.hpp"
#include "boost/beast/core/flat_buffer.hpp"
#include "boost/beast/http/parser.hpp"
#include "src/forward/connection_limiter.h"
#include "src/forward/exchange.h"
#include "src/forward/overload_guard.h"
#include "src/forward/request_router.h"
#include "src/forward/shutdown_plan.h"
#include "src/runtime/head_writer.h"
#include "src/runtime/load_probe.h"
#include "src/runtime/message_codec.h"
#include "src/runtime/one_shot_timer.h"
#include "src/runtime/received_body.h"
#include "src/runtime/target_attempt.h"
#include "src/runtime/target_connection_pool.h"
#include "wisteriareel/clock.h"
#include "wisteriareel/random_source.h"

namespace wisteriareel {

class CallerConnection;

// Owner of the connections; called from the I/O thread.
class CallerConnectionOwner {
 public:
  virtual ~CallerConnectionOwner() = default;
  virtual void OnConnectionClosed(CallerConnection* connection) = 0;
  // Returns true while the instance shuts down. Responses then close their
  // connection.
  virtual bool Draining() const = 0;
  // Returns false shortly before the process ends. New requests are then
  // refused.
  virtual bool AcceptsRequests() const = 0;
  // Returns false if a new request is refused because the process may end
  // before it.
  virtual bool Accepts(const ArrivingRequest& request) const = 0;
  // Returns true if an idle connection is closed while the instance shuts down.
  virtual bool ClosesIdle(const IdleConnection& connection) const = 0;
  // Called when a request waits for tokens that the platform has to grant.
  virtual void OnWaitingForTokens() = 0;
};

// Shared by all connections of callers. The pointers must outlive them.
struct CallerConnectionDependencies {
  boost::asio::io_context* io = nullptr;
  Clock* clock = nullptr;
  const MessageCodec* codec = nullptr;
  RequestRouter* router = nullptr;
  TargetConnectionPool* target_connections = nullptr;
  LoadProbe* load_probe = nullptr;
  OverloadGuard* overload = nullptr;
  ConnectionLimiter* limiter = nullptr;
  RandomSource* random = nullptr;
  ExchangeServices exchange;
  CallerConnectionOwner* owner = nullptr;
};

// One connection of a caller: reads requests one after another, runs an
// Exchange for each, and writes the responses. Keeps reading while a request is
// in progress, to detect that the caller disconnected. Not thread-safe.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>,
                         private ExchangeDelegate,
                         private TargetAttemptObserver,
                         private LimitedConnection {
 public:
  CallerConnection(const CallerConnectionDependencies& dependencies,
                   boost::asio::ip::tcp::socket socket);
  ~CallerConnection() override;

  void Start();

  // Notifies the exchange, if there is one, that tokens may be available.
  void OnLedgerChanged();

  // Notifies the exchange, if there is one, that a prompt was quarantined.
  void OnPromptQuarantined();

  // Closes the connection if no request is in progress and the owner wants it.
  void CloseIfIdle();

  // Ends the request that is read or in progress, with a response that says so
  // if none has begun, and closes the connection.
  void EndForShutdown();

  // Closes the connection even if a request is in progress.
  void Close();

  // Returns true while a request is read or in progress.
  bool busy() const { return exchange_ != nullptr || reading_request_; }

  // Returns true while a part of a response waits to be written or hasn't been
  // acknowledged by the caller.
  bool HasOutput() const;

  // Returns true if bytes of the next request have arrived.
  bool HasUnreadBytes() const;

  // Returns true if a request waits for tokens of `customer`.
  bool IsWaitingForTokensOf(const CustomerId& customer) const;

 private:
  using Parser = boost::beast::http::request_parser<ReceivedBodyType>;

  void ResetParser();
  void Read();
  void OnReadable();
  void Parse();
  // Passes unparsed bytes to the parser. Returns the number it consumed.
  std::size_t PutToParser(boost::system::error_code* ec);
  // Refuses a request whose head alone shows that it can't be admitted. Its
  // body isn't kept.
  void RefuseByHead();
  // Prepares for the next request after the body of a refused one has ended.
  void EndDiscardedBody();
  void RejectParse(const boost::system::error_code& ec);
  void Reject(int status, Reason reason);
  void RecordRefusal(const Refusal& refusal, std::string_view text);
  void HandleRequest();
  // Returns true if the request was refused because the memory for connections
  // or the descriptors are in use.
  bool RefuseBeyondLimits();
  // Returns true if the request was refused so that the caller retries it on
  // another instance.
  bool ShedRequest(absl::Time now);
  void RefuseAndClose(Reason reason, std::string_view text);
  void EndRequest();
  // Reads no request any more, and closes the connection once it is written.
  void CloseWhenWritten();
  // Tells the caller that nothing follows, and discards what it still sends.
  void HalfClose();
  void Enqueue(std::string bytes);
  ConnectionUsage Usage() const;
  // Tells the limiter what this connection uses, and that its peer sent or took
  // `progress` bytes.
  void RecordUsage(std::size_t progress);
  // Like RecordUsage, and gives up connections that are too many.
  void ApplyLimits(std::size_t progress);
  // Frees the bytes that were read and not handled.
  void DiscardInput();
  void WriteNext();
  void OnWritten(const boost::system::error_code& ec);
  void ArmIdleTimer(absl::Duration duration);
  void ArmTimer(absl::Time when);
  void OnTimer();
  Framing ResponseFraming(std::optional<std::size_t> length);
  // Passes an event to the exchange and ends the request if it is done.
  template <typename Event>
  void DispatchToExchange(const Event& event);

  void StartAttempt(const AttemptOptions& options) override;
  void QueryLoads(const std::vector<TargetEntry>& targets) override;
  void CancelAttempt() override;
  void SendHead(std::optional<std::size_t> content_length) override;
  void SendBody(std::string bytes) override;
  void FinishResponse() override;
  void Refuse(const Refusal& refusal) override;
  void AbortResponse() override;
  void SetTimer(absl::Time when) override;

  void GiveUp() override;

  void OnTargetConnected(absl::Duration taken) override;
  void OnTargetUnreachable() override;
  void OnTargetResponseHead(const ResponseHead& head) override;
  void OnTargetResponseBody(std::string_view bytes) override;
  void OnTargetResponseEnd() override;
  void OnTargetConnectionFailed(BrokenCause cause) override;

  const CallerConnectionDependencies dependencies_;
  boost::asio::ip::tcp::socket socket_;
  OneShotTimer timer_;
  // Time at which the timer is due.
  absl::Time timer_due_ = absl::InfiniteFuture();
  // Bytes that were read and not parsed yet. No read writes to it.
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  bool reading_ = false;
  bool reading_request_ = false;
  // The head of the request that is read was checked.
  bool head_checked_ = false;
  // The request was refused by its head; its body is discarded.
  bool discards_body_ = false;
  std::size_t head_bytes_ = 0;
  absl::Time body_began_;
  bool closed_ = false;
  // No request is read after this one; the connection closes.
  bool last_request_ = false;
  bool close_when_written_ = false;
  bool half_closed_ = false;
  // The response was broken off; the connection is about to be reset.
  bool aborted_ = false;
  // At least one request was answered.
  bool has_served_ = false;
  // Time at which a half-closed connection is closed even if the caller hasn't
  // received its response.
  absl::Time linger_end_ = absl::InfiniteFuture();

  RequestHead request_head_;
  std::shared_ptr<const std::string> request_body_;
  std::unique_ptr<Exchange> exchange_;
  RequestId request_id_;
  // Number of requests so far. Identifies late load reports for an earlier
  // request.
  std::uint64_t requests_ = 0;
  std::shared_ptr<TargetAttempt> attempt_;
  std::optional<ResponseHead> response_head_;
  bool head_sent_ = false;
  bool response_chunked_ = false;
  bool head_only_ = false;

  std::deque<std::string> outgoing_;
  std::size_t outgoing_bytes_ = 0;
  // Most bytes that the kernel can hold of what was written.
  std::size_t unacknowledged_bytes_ = 0;
  bool writing_ = false;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_RUNTIME_CALLER_CONNECTION_H_
