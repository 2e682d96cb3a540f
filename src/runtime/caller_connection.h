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
#include "boost/asio/steady_timer.hpp"
#include "boost/beast/core/flat_buffer.hpp"
#include "boost/beast/http/parser.hpp"
#include "boost/beast/http/string_body.hpp"
#include "src/forward/exchange.h"
#include "src/forward/overload_guard.h"
#include "src/forward/request_router.h"
#include "src/runtime/head_writer.h"
#include "src/runtime/load_probe.h"
#include "src/runtime/message_codec.h"
#include "src/runtime/target_connections.h"
#include "src/runtime/target_link.h"
#include "wisteriareel/clock.h"
#include "wisteriareel/random_source.h"

namespace wisteriareel {

class CallerConnection;

// Told when connections and requests begin and end.
class CallerConnectionOwner {
 public:
  virtual ~CallerConnectionOwner() = default;
  virtual void OnConnectionClosed(CallerConnection* connection) = 0;
  // Returns true if the instance shuts down: answers close their connection.
  virtual bool Draining() const = 0;
  // Returns false shortly before the instance ends: no request is begun.
  virtual bool TakesRequests() const = 0;
  // A request waits for tokens that the platform has to grant.
  virtual void OnWaitingForTokens() = 0;
};

// What all connections of callers share. The pointers outlive them.
struct CallerServices {
  boost::asio::io_context* io = nullptr;
  Clock* clock = nullptr;
  const MessageCodec* codec = nullptr;
  RequestRouter* router = nullptr;
  TargetConnections* targets = nullptr;
  LoadProbe* loads = nullptr;
  OverloadGuard* overload = nullptr;
  RandomSource* random = nullptr;
  ExchangeServices exchange;
  CallerConnectionOwner* owner = nullptr;
};

// One connection of a caller: reads requests one after another, runs an
// Exchange for each, and writes the answers. Watches for the caller's leaving
// all the while. Not thread-safe.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>,
                         private ExchangeDelegate,
                         private TargetLinkObserver {
 public:
  CallerConnection(const CallerServices& services,
                   boost::asio::ip::tcp::socket socket);
  ~CallerConnection() override;

  void Start();

  // Tells the exchange, if there is one, that tokens may be had now.
  void OnLedgerChanged();

  // Closes the connection if no request is under way.
  void CloseIfIdle();

  // Closes the connection whatever is under way.
  void Close();

  // Returns true while a request is read or answered.
  bool busy() const { return exchange_ != nullptr || reading_request_; }

  // Returns true if a request waits for tokens of `customer`.
  bool WaitsFor(const CustomerId& customer) const;

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void NewParser();
  void Read();
  void OnRead(const boost::system::error_code& ec, std::size_t n);
  void Parse();
  void RejectParse(const boost::system::error_code& ec);
  void Reject(int status, Reason reason);
  void HandleRequest();
  // Returns true if the request was sent elsewhere.
  bool Shed(absl::Time now);
  void SendElsewhere(Reason reason, std::string_view text);
  void EndRequest();
  void Enqueue(std::string bytes);
  void WriteNext();
  void OnWritten(const boost::system::error_code& ec);
  void ArmIdleTimer(absl::Duration duration);
  void ArmTimer(absl::Time when);
  void OnTimer();
  Framing ResponseFraming(std::optional<std::size_t> length);
  // Hands an event to the exchange and ends the request if it is done.
  template <typename Event>
  void Drive(const Event& event);

  void StartAttempt(const AttemptOptions& options) override;
  void QueryLoads(const std::vector<TargetEntry>& targets) override;
  void CancelAttempt() override;
  void SendHead(std::optional<std::size_t> whole_body) override;
  void SendBody(std::string bytes) override;
  void FinishResponse() override;
  void Refuse(const Refusal& refusal) override;
  void AbortResponse() override;
  void SetTimer(absl::Time when) override;

  void OnLinkConnected(absl::Duration taken) override;
  void OnLinkUnreachable() override;
  void OnLinkHead(const ResponseHead& head) override;
  void OnLinkBody(std::string_view bytes) override;
  void OnLinkEnd() override;
  void OnLinkBroken() override;

  const CallerServices services_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  bool reading_ = false;
  bool reading_request_ = false;
  bool closed_ = false;
  // No further request is read once the answer is written.
  bool last_request_ = false;
  bool close_when_written_ = false;

  RequestHead request_head_;
  std::shared_ptr<const std::string> request_body_;
  std::unique_ptr<Exchange> exchange_;
  RequestId request_id_;
  // Counts requests, so that an answer for an earlier one is told apart.
  std::uint64_t requests_ = 0;
  std::shared_ptr<TargetLink> link_;
  std::optional<ResponseHead> answer_head_;
  bool head_sent_ = false;
  bool answer_chunked_ = false;
  bool head_only_ = false;

  std::deque<std::string> outgoing_;
  std::size_t outgoing_bytes_ = 0;
  bool writing_ = false;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_RUNTIME_CALLER_CONNECTION_H_
