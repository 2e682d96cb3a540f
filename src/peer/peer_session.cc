#include "src/peer/peer_session.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "src/security/digest.h"

namespace wisteriareel {
namespace {

constexpr char kInitiatorLabel[] = "wisteriareel peer initiator";
constexpr char kAcceptorLabel[] = "wisteriareel peer acceptor";
constexpr char kSessionLabel[] = "wisteriareel peer session";

// Appends `field` with its length, so that different lists of fields always
// give different bytes.
void AppendField(std::string* out, std::string_view field) {
  absl::StrAppend(out, field.size(), ":");
  out->append(field.data(), field.size());
}

PeerSide OtherSide(PeerSide side) {
  return side == PeerSide::kInitiator ? PeerSide::kAcceptor
                                      : PeerSide::kInitiator;
}

}  // namespace

PeerSession::PeerSession(PeerSessionOptions options, PeerSide side,
                         InstanceId expected, std::string nonce, absl::Time now)
    : options_(std::move(options)),
      side_(side),
      nonce_(std::move(nonce)),
      state_(side == PeerSide::kInitiator ? State::kAwaitChallenge
                                          : State::kAwaitHello),
      peer_(std::move(expected)),
      last_sent_(now),
      last_received_(now),
      last_message_(now) {}

PeerActions PeerSession::Open(absl::Time now) {
  PeerActions actions;
  last_received_ = now;
  if (side_ == PeerSide::kAcceptor) return actions;
  actions.frames.push_back(EncodePeerFrame({.kind = PeerFrameKind::kHello,
                                            .version = kPeerProtocolVersion,
                                            .instance = options_.self.value(),
                                            .nonce = nonce_}));
  return actions;
}

PeerActions PeerSession::Receive(std::string_view bytes, absl::Time now) {
  if (state_ == State::kClosed) return {};
  if (!established() && bytes.size() > kMaxHandshakeFrameBytes) {
    return Close(Reason::kPeerFrameMalformed, "handshake frame too large");
  }
  LastReason reason;
  const std::optional<PeerFrame> frame = DecodePeerFrame(bytes, &reason);
  if (!frame) return Close(reason.reason(), reason.detail());
  if (established()) return OnSessionFrame(*frame, now);
  // Receiving a hello frame doesn't extend the handshake timeout.
  if (state_ == State::kAwaitHello && frame->kind == PeerFrameKind::kHello) {
    return OnHello(*frame);
  }
  if (state_ == State::kAwaitChallenge &&
      frame->kind == PeerFrameKind::kChallenge) {
    return OnChallenge(*frame, now);
  }
  if (state_ == State::kAwaitProof && frame->kind == PeerFrameKind::kProof) {
    last_received_ = now;
    return OnProof(*frame);
  }
  return Close(Reason::kPeerFrameMalformed, "unexpected frame kind");
}

PeerActions PeerSession::Tick(absl::Time now) {
  if (state_ == State::kClosed) return {};
  if (now - last_received_ >= options_.receive_timeout) {
    return Close(Reason::kPeerSilent,
                 established() ? "no frame received" : "handshake timed out");
  }
  PeerActions actions;
  if (established() && now - last_sent_ >= options_.heartbeat) {
    last_sent_ = now;
    actions.frames.push_back(
        EncodeSessionFrame({.kind = PeerFrameKind::kPing}));
  }
  return actions;
}

std::string PeerSession::EncodeMessage(const PeerMessage& message,
                                       absl::Time now) {
  last_sent_ = now;
  last_message_ = now;
  return EncodeSessionFrame(
      {.kind = PeerFrameKind::kMessage,
       .message_kind = static_cast<std::uint8_t>(message.kind),
       .payload = message.payload});
}

std::string PeerSession::EncodeGoodbye() {
  return EncodeSessionFrame({.kind = PeerFrameKind::kGoodbye});
}

PeerActions PeerSession::Close(Reason reason, const std::string& detail) {
  state_ = State::kClosed;
  PeerActions actions;
  actions.close = reason;
  actions.detail = detail;
  return actions;
}

PeerActions PeerSession::OnHello(const PeerFrame& frame) {
  offered_version_ = frame.version;
  version_ = std::min(frame.version, kPeerProtocolVersion);
  if (version_ < kOldestPeerProtocolVersion) {
    return Close(Reason::kPeerVersionUnsupported,
                 absl::StrCat("unsupported protocol version ", frame.version));
  }
  if (frame.instance == options_.self.value()) {
    return Close(Reason::kPeerWrongInstance, "peer uses this instance's id");
  }
  peer_ = InstanceId(frame.instance);
  peer_nonce_ = frame.nonce;
  state_ = State::kAwaitProof;
  PeerActions actions;
  actions.frames.push_back(EncodePeerFrame({.kind = PeerFrameKind::kChallenge,
                                            .version = version_,
                                            .instance = options_.self.value(),
                                            .nonce = nonce_,
                                            .mac = Proof(side_)}));
  return actions;
}

PeerActions PeerSession::OnChallenge(const PeerFrame& frame, absl::Time now) {
  if (frame.version < kOldestPeerProtocolVersion ||
      frame.version > kPeerProtocolVersion) {
    return Close(Reason::kPeerVersionUnsupported,
                 absl::StrCat("unsupported protocol version ", frame.version));
  }
  const InstanceId claimed(frame.instance);
  if (claimed != peer_ || claimed == options_.self) {
    return Close(Reason::kPeerWrongInstance,
                 absl::StrCat("peer identifies itself as ", frame.instance));
  }
  version_ = frame.version;
  peer_nonce_ = frame.nonce;
  if (!EqualInConstantTime(frame.mac, Proof(PeerSide::kAcceptor))) {
    return Close(Reason::kPeerSecretWrong, "acceptor's proof is invalid");
  }
  PeerActions actions;
  actions.frames.push_back(EncodePeerFrame(
      {.kind = PeerFrameKind::kProof, .mac = Proof(PeerSide::kInitiator)}));
  last_received_ = now;
  Establish();
  actions.established = true;
  return actions;
}

PeerActions PeerSession::OnProof(const PeerFrame& frame) {
  if (!EqualInConstantTime(frame.mac, Proof(PeerSide::kInitiator))) {
    return Close(Reason::kPeerSecretWrong, "initiator's proof is invalid");
  }
  Establish();
  PeerActions actions;
  actions.established = true;
  return actions;
}

PeerActions PeerSession::OnSessionFrame(const PeerFrame& frame,
                                        absl::Time now) {
  const std::string expected = Mac(frame, OtherSide(side_));
  if (!EqualInConstantTime(frame.mac, expected)) {
    return Close(Reason::kPeerFrameMalformed, "frame authentication failed");
  }
  if (frame.sequence != received_) {
    return Close(Reason::kPeerFrameMalformed, "unexpected sequence number");
  }
  ++received_;
  last_received_ = now;
  PeerActions actions;
  switch (frame.kind) {
    case PeerFrameKind::kMessage:
      last_message_ = now;
      actions.messages.push_back(
          {static_cast<PeerMessageKind>(frame.message_kind), frame.payload});
      return actions;
    case PeerFrameKind::kPing:
      last_sent_ = now;
      actions.frames.push_back(
          EncodeSessionFrame({.kind = PeerFrameKind::kPong}));
      return actions;
    case PeerFrameKind::kPong:
      return actions;
    case PeerFrameKind::kGoodbye:
      return Close(Reason::kCancelled, "closed by the peer");
    default:
      return Close(Reason::kPeerFrameMalformed, "unexpected frame kind");
  }
}

std::string PeerSession::Transcript() const {
  const bool initiator = side_ == PeerSide::kInitiator;
  std::string fields;
  AppendField(&fields, absl::StrCat(offered_version_));
  AppendField(&fields, absl::StrCat(version_));
  AppendField(&fields, initiator ? options_.self.value() : peer_.value());
  AppendField(&fields, initiator ? peer_.value() : options_.self.value());
  AppendField(&fields, initiator ? nonce_ : peer_nonce_);
  AppendField(&fields, initiator ? peer_nonce_ : nonce_);
  return fields;
}

std::string PeerSession::Proof(PeerSide side) const {
  std::string fields;
  AppendField(&fields,
              side == PeerSide::kInitiator ? kInitiatorLabel : kAcceptorLabel);
  return HmacSha256(options_.secret, fields + Transcript());
}

void PeerSession::Establish() {
  std::string fields;
  AppendField(&fields, kSessionLabel);
  session_key_ = HmacSha256(options_.secret, fields + Transcript());
  state_ = State::kEstablished;
}

std::string PeerSession::EncodeSessionFrame(PeerFrame frame) {
  frame.sequence = sent_++;
  frame.mac = Mac(frame, side_);
  return EncodePeerFrame(frame);
}

std::string PeerSession::Mac(const PeerFrame& frame, PeerSide sender) const {
  std::string fields;
  AppendField(&fields, sender == PeerSide::kInitiator ? kInitiatorLabel
                                                      : kAcceptorLabel);
  AppendField(&fields, absl::StrCat(static_cast<int>(frame.kind)));
  AppendField(&fields, absl::StrCat(frame.sequence));
  AppendField(&fields, absl::StrCat(static_cast<int>(frame.message_kind)));
  AppendField(&fields, frame.payload);
  return HmacSha256(session_key_, fields);
}

}  // namespace wisteriareel
