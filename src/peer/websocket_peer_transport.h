#ifndef WISTERIAREEL_SRC_PEER_WEBSOCKET_PEER_TRANSPORT_H_
#define WISTERIAREEL_SRC_PEER_WEBSOCKET_PEER_TRANSPORT_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "src/peer/peer_session.h"
#include "src/security/tls_files.h"
#include "wisteriareel/clock.h"
#include "wisteriareel/counters.h"
#include "wisteriareel/event_log.h"
#include "wisteriareel/peer_transport.h"
#include "wisteriareel/random_source.h"
#include "wisteriareel/reason.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

inline constexpr std::size_t kDefaultMaxPeerConnections = 1024;
// Unsent bytes on one connection above which it is closed and the message is
// dropped.
inline constexpr std::size_t kMaxUnsentPeerBytes = 4 << 20;
// Messages posted by other threads and not yet processed. Further messages are
// dropped.
inline constexpr int kMaxPostedPeerMessages = 8192;
// A connection without messages for this long is closed by its initiator.
inline constexpr absl::Duration kPeerIdleTimeout = absl::Minutes(1);

struct WebsocketPeerTransportOptions {
  // This instance.
  InstanceId self;
  // Address to listen on; port 0 selects any free port.
  Endpoint listen;
  // Secret shared by all instances of the deployment.
  std::string secret;
  // See PeerSessionOptions.
  absl::Duration heartbeat = kDefaultPeerHeartbeat;
  absl::Duration receive_timeout = kDefaultPeerReceiveTimeout;
  // Maximum number of concurrent accepted connections.
  std::size_t max_connections = kDefaultMaxPeerConnections;
  // All empty for plain text. Otherwise all three files are required, because
  // both ends present a certificate.
  TlsFiles tls;
  // Not owned; must outlive the transport.
  Clock* clock = SystemClock();
  RandomSource* random = nullptr;
  Counters* counters = DiscardCounters();
  EventLog* events = DiscardEvents();
};

// Sends messages between instances as CBOR frames over websockets. Connects on
// demand and uses one connection for both directions. Owns one thread, on which
// the receiver is called. Thread-safe.
class WebsocketPeerTransport final : public PeerTransport {
 public:
  explicit WebsocketPeerTransport(WebsocketPeerTransportOptions options);

  // Stops the transport.
  ~WebsocketPeerTransport() override;

  // Listens and passes received messages to `receiver`, which must outlive the
  // transport. Returns false with kUnavailable if the address can't be bound.
  // Call it only once.
  bool Start(PeerReceiver* receiver, LastReason* reason);

  // Closes all connections. The receiver isn't called afterwards. Idempotent.
  void Stop();

  // Returns the bound port, or zero before Start.
  std::uint16_t port() const;

  void Send(const InstanceId& to, const Endpoint& endpoint,
            const PeerMessage& message) override;

 private:
  class Impl;
  const std::unique_ptr<Impl> impl_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_PEER_WEBSOCKET_PEER_TRANSPORT_H_
