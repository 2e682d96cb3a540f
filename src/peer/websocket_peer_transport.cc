#include "src/peer/websocket_peer_transport.h"

#include <atomic>
#include <optional>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "src/peer/peer_connection_table.h"
#include "src/peer/websocket_links.h"
#include "src/security/digest.h"

namespace wisteriareel {
namespace {

// Several ticks per heartbeat interval and per initial dial backoff.
constexpr absl::Duration kTick = absl::Milliseconds(50);

bool IsRefusal(Reason reason) {
  return reason == Reason::kUnauthenticated ||
         reason == Reason::kPeerSecretWrong ||
         reason == Reason::kPeerWrongInstance ||
         reason == Reason::kPeerVersionUnsupported;
}

WebsocketLinksOptions LinksOptions(
    const WebsocketPeerTransportOptions& options) {
  return {.host = options.listen.host,
          .port = options.listen.port,
          .certificate_file = options.tls.certificate_file,
          .key_file = options.tls.key_file,
          .ca_file = options.tls.ca_file,
          .max_accepted = options.max_connections,
          .initial_max_message_bytes = kMaxHandshakeFrameBytes,
          .max_unsent_bytes = kMaxUnsentPeerBytes,
          .open_timeout_ms = static_cast<int>(
              absl::ToInt64Milliseconds(options.receive_timeout)),
          .tick_ms = static_cast<int>(absl::ToInt64Milliseconds(kTick))};
}

}  // namespace

// All members except `posted_` are used only on the thread of `links_`.
class WebsocketPeerTransport::Impl final : public LinkEvents {
 public:
  explicit Impl(WebsocketPeerTransportOptions options)
      : options_(std::move(options)),
        connections_({.self = options_.self}, options_.random),
        links_(MakeWebsocketLinks(LinksOptions(options_), this)) {}

  bool Start(PeerReceiver* receiver, LastReason* reason) {
    receiver_ = receiver;
    const std::string error = links_->Start();
    if (!error.empty()) {
      reason->Set(Reason::kUnavailable,
                  absl::StrCat("can't listen on ", options_.listen.host, ":",
                               options_.listen.port, ": ", error));
      return false;
    }
    options_.events->Write(
        EventId::kPeerListening, Severity::kInfo, "other instances are served",
        {{"address", options_.listen.host},
         {"port", absl::StrCat(links_->port())},
         {"tls", options_.tls.enabled() ? "true" : "false"}});
    return true;
  }

  void Stop() { links_->Stop(); }

  std::uint16_t port() const { return links_->port(); }

  void Send(const InstanceId& to, const Endpoint& endpoint,
            const PeerMessage& message) {
    if (to == options_.self) return;
    const bool fits = message.payload.size() <= kMaxPeerPayloadBytes;
    if (!fits || posted_.load() >= kMaxPostedPeerMessages) {
      options_.counters->Add(Counter::kPeerMessagesDropped, 1);
      return;
    }
    posted_.fetch_add(1);
    links_->Post([this, to, endpoint, message] {
      posted_.fetch_sub(1);
      SendNow(to, endpoint, message);
    });
  }

  void OnLinkOpen(LinkId link, bool accepted) override {
    const absl::Time now = options_.clock->Now();
    if (accepted) MakeSession(link, PeerSide::kAcceptor, InstanceId(), now);
    RunStep(link, now, [&](PeerSession* it) { return it->Open(now); });
  }

  void OnLinkMessage(LinkId link, std::string_view bytes) override {
    const absl::Time now = options_.clock->Now();
    RunStep(link, now,
            [&](PeerSession* it) { return it->Receive(bytes, now); });
  }

  void OnLinkClosed(LinkId link, const std::string& why) override {
    const auto it = sessions_.find(link);
    if (it == sessions_.end()) return;
    DropSession(link, Reason::kUnavailable, why);
  }

  void OnLinkRefused() override {
    options_.counters->Refused(Reason::kConnectionLimit);
  }

  void OnTick() override {
    const absl::Time now = options_.clock->Now();
    std::vector<LinkId> open;
    open.reserve(sessions_.size());
    for (const auto& [link, session] : sessions_) open.push_back(link);
    for (const LinkId link : open) {
      RunStep(link, now, [&](PeerSession* it) { return it->Tick(now); });
      CloseIfIdle(link, now);
    }
    connections_.Expire(now);
    CountDropped();
    DialDue(now);
  }

 private:
  using Sessions = absl::flat_hash_map<LinkId, std::unique_ptr<PeerSession>>;

  void MakeSession(LinkId link, PeerSide side, const InstanceId& expected,
                   absl::Time now) {
    sessions_[link] = std::make_unique<PeerSession>(
        PeerSessionOptions{.self = options_.self,
                           .secret = options_.secret,
                           .heartbeat = options_.heartbeat,
                           .receive_timeout = options_.receive_timeout},
        side, expected, RandomBytes(kPeerNonceBytes), now);
  }

  void SendNow(const InstanceId& to, const Endpoint& endpoint,
               const PeerMessage& message) {
    const absl::Time now = options_.clock->Now();
    const auto link = connections_.Route(to, endpoint, message, now);
    if (link) {
      SendMessage(*link, message, now);
      return;
    }
    CountDropped();
    DialDue(now);
  }

  void SendMessage(LinkId link, const PeerMessage& message, absl::Time now) {
    const auto it = sessions_.find(link);
    if (it == sessions_.end() || !it->second->established()) return;
    // An unsent frame leaves a gap in the sequence numbers, which the peer
    // treats as tampering, so the connection must be closed.
    if (!SendFrame(link, it->second->EncodeMessage(message, now))) {
      options_.counters->Add(Counter::kPeerMessagesDropped, 1);
      DropSession(link, Reason::kPeerQueueFull, "too many unsent bytes");
      return;
    }
    options_.counters->Add(Counter::kPeerMessagesSent, 1);
  }

  bool SendFrame(LinkId link, const std::string& bytes) {
    if (!links_->Send(link, bytes)) return false;
    options_.counters->Add(Counter::kPeerBytesSent, bytes.size());
    return true;
  }

  void DialDue(absl::Time now) {
    for (const PeerDial& it : connections_.DueDials(now)) {
      const LinkId link = links_->Dial(it.endpoint.host, it.endpoint.port);
      MakeSession(link, PeerSide::kInitiator, it.peer, now);
    }
  }

  // Runs one step of the session on `link` and performs its actions.
  template <typename Step>
  void RunStep(LinkId link, absl::Time now, const Step& step) {
    const auto it = sessions_.find(link);
    if (it == sessions_.end()) return;
    PeerSession* session = it->second.get();
    const PeerActions actions = step(session);
    for (const std::string& frame : actions.frames) {
      if (SendFrame(link, frame)) continue;
      DropSession(link, Reason::kPeerQueueFull, "too many unsent bytes");
      return;
    }
    for (const PeerMessage& message : actions.messages) {
      receiver_->OnPeerMessage(session->peer(), message);
    }
    if (actions.established) OnEstablished(link, *session, now);
    if (actions.close != Reason::kNone) {
      DropSession(link, actions.close, actions.detail);
    }
  }

  void OnEstablished(LinkId link, const PeerSession& session, absl::Time now) {
    links_->RaiseMessageLimit(link, kMaxPeerFrameBytes);
    if (session.side() == PeerSide::kAcceptor) authenticated_.insert(link);
    options_.events->Write(
        EventId::kPeerConnected, Severity::kInfo, "connected to an instance",
        {{"instance", session.peer().value()},
         {"dialed",
          session.side() == PeerSide::kInitiator ? "true" : "false"}});
    std::optional<PeerLinkId> superfluous;
    const std::vector<PeerMessage> queued = connections_.RecordEstablished(
        session.peer(), link, session.side(), now, &superfluous);
    for (const PeerMessage& message : queued) SendMessage(link, message, now);
    if (superfluous) CloseGracefully(*superfluous);
  }

  void CloseIfIdle(LinkId link, absl::Time now) {
    const auto it = sessions_.find(link);
    if (it == sessions_.end() || !it->second->established()) return;
    if (it->second->side() != PeerSide::kInitiator) return;
    if (now - it->second->last_message() < kPeerIdleTimeout) return;
    CloseGracefully(link);
  }

  void CloseGracefully(LinkId link) {
    const auto it = sessions_.find(link);
    if (it == sessions_.end()) return;
    if (it->second->established()) SendFrame(link, it->second->EncodeGoodbye());
    DropSession(link, Reason::kCancelled, "closed by this instance");
  }

  // Removes the session on `link`, closes the connection, and counts and logs
  // the reason.
  void DropSession(LinkId link, Reason reason, const std::string& detail) {
    const auto it = sessions_.find(link);
    const std::unique_ptr<PeerSession> session = std::move(it->second);
    sessions_.erase(it);
    links_->Close(link);
    const bool dialed = session->side() == PeerSide::kInitiator;
    if (dialed || authenticated_.erase(link) > 0) {
      connections_.RecordClosed(session->peer(), link, session->side(),
                                options_.clock->Now());
      CountAndLogClose(reason, detail, session->peer());
      return;
    }
    // An initiator that rejects the acceptor's proof disconnects, which is
    // counted as a refusal too: the count must not depend on which side
    // detects a wrong secret first.
    const bool disconnected = reason == Reason::kUnavailable;
    CountAndLogClose(
        disconnected ? Reason::kUnauthenticated : reason,
        disconnected ? "disconnected without proving the secret" : detail,
        session->peer());
  }

  void CountAndLogClose(Reason reason, const std::string& detail,
                        const InstanceId& peer) {
    const std::vector<EventField> fields = {
        {"instance", peer.value()},
        {"reason", std::string(ReasonName(reason))},
        {"detail", detail}};
    if (IsRefusal(reason)) {
      options_.counters->Refused(reason);
      options_.counters->Add(Counter::kCallersRefused, 1);
      options_.events->Write(EventId::kPeerRefused, Severity::kWarning,
                             "instance refused", fields);
      return;
    }
    if (reason == Reason::kPeerFrameMalformed) {
      options_.counters->Refused(reason);
      options_.counters->Add(Counter::kPeerFramesRefused, 1);
      options_.events->Write(EventId::kPeerFrameRefused, Severity::kWarning,
                             "frame refused", fields);
      return;
    }
    if (reason != Reason::kCancelled) options_.counters->Retried(reason);
    options_.events->Write(EventId::kPeerLost, Severity::kInfo,
                           "connection to an instance ended", fields);
  }

  void CountDropped() {
    const std::uint64_t dropped = connections_.dropped();
    if (dropped == counted_dropped_) return;
    options_.counters->Add(Counter::kPeerMessagesDropped,
                           dropped - counted_dropped_);
    counted_dropped_ = dropped;
  }

  const WebsocketPeerTransportOptions options_;
  PeerReceiver* receiver_ = nullptr;
  std::atomic<int> posted_ = 0;
  PeerConnectionTable connections_;
  Sessions sessions_;
  // Accepted connections whose peer has proved the secret.
  absl::flat_hash_set<LinkId> authenticated_;
  std::uint64_t counted_dropped_ = 0;
  // Declared last, because its thread uses all other members.
  const std::unique_ptr<WebsocketLinks> links_;
};

WebsocketPeerTransport::WebsocketPeerTransport(
    WebsocketPeerTransportOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}

WebsocketPeerTransport::~WebsocketPeerTransport() { impl_->Stop(); }

bool WebsocketPeerTransport::Start(PeerReceiver* receiver, LastReason* reason) {
  return impl_->Start(receiver, reason);
}

void WebsocketPeerTransport::Stop() { impl_->Stop(); }

std::uint16_t WebsocketPeerTransport::port() const { return impl_->port(); }

void WebsocketPeerTransport::Send(const InstanceId& to,
                                  const Endpoint& endpoint,
                                  const PeerMessage& message) {
  impl_->Send(to, endpoint, message);
}

}  // namespace wisteriareel
