#include "src/peer/peer_session.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "rapidcheck.h"
#include "src/security/digest.h"

namespace wisteriareel {
namespace {

constexpr char kSecret[] = "shared by the fleet";
constexpr absl::Time kStart = absl::FromUnixSeconds(1'800'000'000);

std::string Nonce(char fill) { return std::string(kPeerNonceBytes, fill); }

PeerMessage Heartbeat(const std::string& payload) {
  return {PeerMessageKind::kHeartbeat, payload};
}

PeerSession Initiator(const std::string& secret = kSecret, char nonce = 'a') {
  return PeerSession({.self = InstanceId("a"), .secret = secret},
                     PeerSide::kInitiator, InstanceId("b"), Nonce(nonce),
                     kStart);
}

PeerSession Acceptor(const std::string& secret = kSecret, char nonce = 'b',
                     const std::string& self = "b") {
  return PeerSession({.self = InstanceId(self), .secret = secret},
                     PeerSide::kAcceptor, InstanceId(), Nonce(nonce), kStart);
}

// The two ends of a connection, and all frames sent and messages received.
class SessionPair {
 public:
  SessionPair(PeerSession initiator, PeerSession acceptor)
      : initiator_(std::move(initiator)), acceptor_(std::move(acceptor)) {}

  // Runs the handshake until it completes or fails.
  void Connect(absl::Time now = kStart) {
    Deliver(initiator_.Open(now), &acceptor_, now);
  }

  // Delivers the frames of `actions` to `to`, then all frames sent in response.
  void Deliver(const PeerActions& actions, PeerSession* to, absl::Time now) {
    PeerSession* from = to == &initiator_ ? &acceptor_ : &initiator_;
    for (const std::string& frame : actions.frames) {
      frames_.push_back(frame);
      const PeerActions next = to->Receive(frame, now);
      for (const PeerMessage& it : next.messages) received_.push_back(it);
      if (next.close != Reason::kNone) close_ = next.close;
      Deliver(next, from, now);
    }
  }

  PeerSession& initiator() { return initiator_; }
  PeerSession& acceptor() { return acceptor_; }
  const std::vector<std::string>& frames() const { return frames_; }
  const std::vector<PeerMessage>& received() const { return received_; }
  Reason close() const { return close_; }

 private:
  PeerSession initiator_;
  PeerSession acceptor_;
  std::vector<std::string> frames_;
  std::vector<PeerMessage> received_;
  Reason close_ = Reason::kNone;
};

TEST(PeerSessionTest, DeliversCompleteMessagesInOrderInBothDirections) {
  EXPECT_TRUE(rc::check([](const std::vector<std::string>& payloads) {
    SessionPair pair(Initiator(), Acceptor());
    pair.Connect();
    RC_ASSERT(pair.initiator().established());
    RC_ASSERT(pair.acceptor().established());
    RC_ASSERT(pair.acceptor().peer() == InstanceId("a"));
    std::vector<PeerMessage> sent;
    for (std::size_t n = 0; n < payloads.size(); ++n) {
      const bool to_acceptor = n % 2 == 0;
      PeerSession& from = to_acceptor ? pair.initiator() : pair.acceptor();
      PeerSession& to = to_acceptor ? pair.acceptor() : pair.initiator();
      sent.push_back(Heartbeat(payloads[n]));
      PeerActions actions;
      actions.frames.push_back(from.EncodeMessage(sent.back(), kStart));
      pair.Deliver(actions, &to, kStart);
    }
    RC_ASSERT(pair.received() == sent);
  }));
}

TEST(PeerSessionTest, NeitherEndAcceptsAnotherSecret) {
  SessionPair pair(Initiator("another secret"), Acceptor());
  pair.Connect();
  EXPECT_EQ(pair.close(), Reason::kPeerSecretWrong);
  EXPECT_FALSE(pair.initiator().established());
  EXPECT_FALSE(pair.acceptor().established());
}

TEST(PeerSessionTest, AcceptorRefusesAForgedProof) {
  PeerSession acceptor = Acceptor();
  PeerSession honest = Initiator();
  acceptor.Receive(honest.Open(kStart).frames.at(0), kStart);
  const PeerActions actions = acceptor.Receive(
      EncodePeerFrame({.kind = PeerFrameKind::kProof,
                       .mac = HmacSha256("guess", "anything")}),
      kStart);
  EXPECT_EQ(actions.close, Reason::kPeerSecretWrong);
  EXPECT_FALSE(acceptor.established());
}

TEST(PeerSessionTest, RefusesAReplayedHandshake) {
  SessionPair recorded(Initiator(), Acceptor());
  recorded.Connect();
  ASSERT_EQ(recorded.frames().size(), 3u);
  PeerSession fresh = Acceptor(kSecret, 'c');
  EXPECT_EQ(fresh.Receive(recorded.frames()[0], kStart).close, Reason::kNone);
  EXPECT_EQ(fresh.Receive(recorded.frames()[2], kStart).close,
            Reason::kPeerSecretWrong);
  PeerSession again = Initiator(kSecret, 'd');
  again.Open(kStart);
  EXPECT_EQ(again.Receive(recorded.frames()[1], kStart).close,
            Reason::kPeerSecretWrong);
}

TEST(PeerSessionTest, RefusesAnAcceptorsProofFromAnInitiator) {
  PeerSession acceptor = Acceptor();
  const PeerActions challenge =
      acceptor.Receive(Initiator().Open(kStart).frames.at(0), kStart);
  LastReason reason;
  const auto frame = DecodePeerFrame(challenge.frames.at(0), &reason);
  ASSERT_TRUE(frame);
  EXPECT_EQ(acceptor
                .Receive(EncodePeerFrame({.kind = PeerFrameKind::kProof,
                                          .mac = frame->mac}),
                         kStart)
                .close,
            Reason::kPeerSecretWrong);
}

TEST(PeerSessionTest, RefusesAHelloWithItsOwnInstanceId) {
  PeerSession acceptor = Acceptor(kSecret, 'b', "a");
  EXPECT_EQ(
      acceptor.Receive(Initiator().Open(kStart).frames.at(0), kStart).close,
      Reason::kPeerWrongInstance);
}

TEST(PeerSessionTest, AnInitiatorRefusesAnInstanceThatItDidNotDial) {
  SessionPair pair(Initiator(), Acceptor(kSecret, 'b', "c"));
  pair.Connect();
  EXPECT_EQ(pair.close(), Reason::kPeerWrongInstance);
  EXPECT_FALSE(pair.acceptor().established());
}

TEST(PeerSessionTest, AChangedFrameIsNeverDelivered) {
  EXPECT_TRUE(rc::check([](const std::string& payload) {
    SessionPair pair(Initiator(), Acceptor());
    pair.Connect();
    std::string frame =
        pair.initiator().EncodeMessage(Heartbeat(payload), kStart);
    const auto at = *rc::gen::inRange<std::size_t>(0, frame.size());
    const int bit = *rc::gen::inRange(0, 8);
    frame[at] = static_cast<char>(frame[at] ^ (1 << bit));
    const PeerActions actions = pair.acceptor().Receive(frame, kStart);
    RC_ASSERT(actions.messages.empty());
    RC_ASSERT(actions.close == Reason::kPeerFrameMalformed);
  }));
}

TEST(PeerSessionTest, ReplayedReorderedOrReflectedFramesCloseTheSession) {
  for (int kind = 0; kind < 3; ++kind) {
    SessionPair pair(Initiator(), Acceptor());
    pair.Connect();
    const std::string first =
        pair.initiator().EncodeMessage(Heartbeat("1"), kStart);
    const std::string second =
        pair.initiator().EncodeMessage(Heartbeat("2"), kStart);
    PeerActions actions;
    if (kind == 0) {
      pair.acceptor().Receive(first, kStart);
      actions = pair.acceptor().Receive(first, kStart);
    }
    if (kind == 1) actions = pair.acceptor().Receive(second, kStart);
    if (kind == 2) actions = pair.initiator().Receive(first, kStart);
    EXPECT_TRUE(actions.messages.empty()) << kind;
    EXPECT_EQ(actions.close, Reason::kPeerFrameMalformed) << kind;
  }
}

TEST(PeerSessionTest, HeartbeatsKeepAnIdleConnectionAlive) {
  SessionPair pair(Initiator(), Acceptor());
  pair.Connect();
  absl::Time now = kStart;
  for (int n = 0; n < 1000; ++n) {
    now += absl::Milliseconds(250);
    pair.Deliver(pair.initiator().Tick(now), &pair.acceptor(), now);
    pair.Deliver(pair.acceptor().Tick(now), &pair.initiator(), now);
    ASSERT_EQ(pair.close(), Reason::kNone) << n;
  }
  // At most one ping and one pong per second.
  EXPECT_LE(pair.frames().size(), 3u + 2u * 251u);
  std::size_t bytes = 0;
  for (const std::string& it : pair.frames()) bytes += it.size();
  // The limit of 3 KB/s of control traffic, over the 19 connections of an
  // instance in a zone of 20, is 157 bytes per second and connection.
  // Websocket, TCP and IP headers take 46 of these.
  EXPECT_LE(bytes, 2u * 250u * 111u);
}

TEST(PeerSessionTest, BothEndsCloseAtTheReceiveTimeout) {
  SessionPair pair(Initiator(), Acceptor());
  pair.Connect();
  const absl::Time almost =
      kStart + kDefaultPeerReceiveTimeout - absl::Milliseconds(1);
  EXPECT_EQ(pair.initiator().Tick(almost).close, Reason::kNone);
  EXPECT_EQ(pair.acceptor().Tick(almost).close, Reason::kNone);
  const absl::Time late = kStart + kDefaultPeerReceiveTimeout;
  EXPECT_EQ(pair.initiator().Tick(late).close, Reason::kPeerSilent);
  EXPECT_EQ(pair.acceptor().Tick(late).close, Reason::kPeerSilent);
}

TEST(PeerSessionTest, ASlowHandshakeTimesOut) {
  PeerSession acceptor = Acceptor();
  acceptor.Open(kStart);
  const absl::Time late = kStart + kDefaultPeerReceiveTimeout;
  acceptor.Receive(Initiator().Open(kStart).frames.at(0),
                   late - absl::Milliseconds(1));
  EXPECT_EQ(acceptor.Tick(late).close, Reason::kPeerSilent);
}

TEST(PeerSessionTest, NegotiatesTheHighestCommonVersion) {
  PeerSession acceptor = Acceptor();
  const PeerActions actions =
      acceptor.Receive(EncodePeerFrame({.kind = PeerFrameKind::kHello,
                                        .version = kPeerProtocolVersion + 5,
                                        .instance = "a",
                                        .nonce = Nonce('a')}),
                       kStart);
  LastReason reason;
  ASSERT_EQ(actions.frames.size(), 1u);
  EXPECT_EQ(DecodePeerFrame(actions.frames[0], &reason)->version,
            kPeerProtocolVersion);
}

TEST(PeerSessionTest, RefusesAnUnsupportedVersion) {
  PeerSession acceptor = Acceptor();
  EXPECT_EQ(acceptor
                .Receive(EncodePeerFrame({.kind = PeerFrameKind::kHello,
                                          .version = 0,
                                          .instance = "a",
                                          .nonce = Nonce('a')}),
                         kStart)
                .close,
            Reason::kPeerVersionUnsupported);
}

TEST(PeerSessionTest, RefusesAnyFirstFrameButAHello) {
  for (int kind = 2; kind <= 7; ++kind) {
    PeerSession acceptor = Acceptor();
    const PeerActions actions = acceptor.Receive(
        EncodePeerFrame({.kind = static_cast<PeerFrameKind>(kind),
                         .version = 1,
                         .instance = "a",
                         .nonce = Nonce('a'),
                         .mac = std::string(kPeerMacBytes, 'm')}),
        kStart);
    EXPECT_EQ(actions.close, Reason::kPeerFrameMalformed) << kind;
    EXPECT_TRUE(actions.messages.empty()) << kind;
  }
}

}  // namespace
}  // namespace wisteriareel
