#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "src/observability/histogram_counters.h"
#include "src/peer/websocket_links.h"
#include "src/peer/websocket_peer_transport.h"
#include "test/blackhole_proxy.h"

namespace wisteriareel {
namespace {

constexpr char kSecret[] = "shared by the fleet";
// Only a failing test waits this long.
constexpr std::chrono::seconds kWaitTimeout(30);

PeerMessage Message(const std::string& payload) {
  return {PeerMessageKind::kRevision, payload};
}

// Records each received message as "SENDER PAYLOAD".
class MessageRecorder final : public PeerReceiver {
 public:
  void OnPeerMessage(const InstanceId& sender,
                     const PeerMessage& message) override {
    std::lock_guard<std::mutex> lock(mutex_);
    entries_.push_back(absl::StrCat(sender.value(), " ", message.payload));
    changed_.notify_all();
  }

  // Waits for `entry`. Returns false on timeout.
  bool Await(const std::string& entry) {
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_for(lock, kWaitTimeout, [&] {
      return std::count(entries_.begin(), entries_.end(), entry) > 0;
    });
  }

  std::size_t size() {
    std::lock_guard<std::mutex> lock(mutex_);
    return entries_.size();
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> entries_;
};

// An instance with its transport, received messages and counters.
class Instance {
 public:
  explicit Instance(const std::string& id, const std::string& secret = kSecret,
                    std::size_t max_connections = 16,
                    absl::Duration receive_timeout = absl::Seconds(20))
      : random_(MakeSeededRandom(1)),
        transport_({.self = InstanceId(id),
                    .listen = {"127.0.0.1", 0},
                    .secret = secret,
                    .heartbeat = receive_timeout / 5,
                    .receive_timeout = receive_timeout,
                    .max_connections = max_connections,
                    .tls = {},
                    .random = random_.get(),
                    .counters = &counters_}) {
    LastReason reason;
    EXPECT_TRUE(transport_.Start(&recorder_, &reason)) << reason.detail();
  }

  Endpoint endpoint() const { return {"127.0.0.1", transport_.port()}; }
  WebsocketPeerTransport& transport() { return transport_; }
  MessageRecorder& recorder() { return recorder_; }

  // Waits until the metric `name` is at least `min_count`. Returns false on
  // timeout.
  bool AwaitCount(const std::string& name, std::uint64_t min_count) {
    const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
    while (std::chrono::steady_clock::now() < deadline) {
      if (CountOf(name) >= min_count) return true;
      std::this_thread::yield();
    }
    return false;
  }

 private:
  std::uint64_t CountOf(const std::string& name) const {
    const std::string metrics = counters_.FormatMetrics();
    const std::size_t at = metrics.find(absl::StrCat("\n", name, " "));
    if (at == std::string::npos) return 0;
    return std::stoull(metrics.substr(at + name.size() + 2));
  }

  std::unique_ptr<RandomSource> random_;
  HistogramCounters counters_;
  MessageRecorder recorder_;
  WebsocketPeerTransport transport_;
};

// Websocket client that sends the given bytes instead of a peer
// handshake.
class RawClient final : public LinkEvents {
 public:
  RawClient(std::uint16_t port, std::string bytes)
      : bytes_(std::move(bytes)),
        links_(MakeWebsocketLinks({.host = "127.0.0.1",
                                   .max_accepted = 1,
                                   .initial_max_message_bytes = 1 << 20,
                                   .max_unsent_bytes = 4 << 20,
                                   .open_timeout_ms = 5000,
                                   .tick_ms = 1000},
                                  this)) {
    EXPECT_EQ(links_->Start(), "");
    links_->Post([this, port] { links_->Dial("127.0.0.1", port); });
  }

  ~RawClient() override { links_->Stop(); }

  void OnLinkOpen(LinkId link, bool) override { links_->Send(link, bytes_); }
  void OnLinkMessage(LinkId, std::string_view) override {}
  void OnLinkClosed(LinkId, const std::string&) override {
    std::lock_guard<std::mutex> lock(mutex_);
    closed_ = true;
    changed_.notify_all();
  }
  void OnLinkRefused() override {}
  void OnTick() override {}

  bool AwaitClosed() {
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_for(lock, kWaitTimeout, [&] { return closed_; });
  }

 private:
  const std::string bytes_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool closed_ = false;
  const std::unique_ptr<WebsocketLinks> links_;
};

TEST(PeerTransportTest, OneConnectionCarriesMessagesInBothDirections) {
  Instance a("a");
  Instance b("b");
  a.transport().Send(InstanceId("b"), b.endpoint(), Message("1"));
  ASSERT_TRUE(b.recorder().Await("a 1"));
  // Nothing listens on this endpoint, so only the existing connection can carry
  // the message.
  b.transport().Send(InstanceId("a"), {"127.0.0.1", 1}, Message("2"));
  EXPECT_TRUE(a.recorder().Await("b 2"));
  const std::string large(kMaxPeerPayloadBytes, 'x');
  a.transport().Send(InstanceId("b"), b.endpoint(), Message(large));
  EXPECT_TRUE(b.recorder().Await("a " + large));
}

TEST(PeerTransportTest, ConnectsToAnInstanceThatStartsLater) {
  std::uint16_t port = 0;
  {
    Instance earlier("b");
    port = earlier.endpoint().port;
  }
  Instance a("a");
  a.transport().Send(InstanceId("b"), {"127.0.0.1", port}, Message("lost"));
  EXPECT_TRUE(
      a.AwaitCount("wisteriareel_retried_total{reason=\"unavailable\"}", 1));
  Instance b("b");
  a.transport().Send(InstanceId("b"), b.endpoint(), Message("2"));
  EXPECT_TRUE(b.recorder().Await("a 2"));
}

TEST(PeerTransportTest, RefusesAndCountsAWrongSecret) {
  Instance b("b");
  Instance intruder("c", "another secret");
  intruder.transport().Send(InstanceId("b"), b.endpoint(), Message("x"));
  EXPECT_TRUE(intruder.AwaitCount(
      "wisteriareel_refused_total{reason=\"peer_secret_wrong\"}", 1));
  EXPECT_TRUE(b.AwaitCount("wisteriareel_callers_refused_total", 1));
  EXPECT_EQ(b.recorder().size(), 0u);
}

TEST(PeerTransportTest, MalformedFramesAreRefusedAndCounted) {
  Instance b("b");
  RawClient junk(b.endpoint().port, "not a frame");
  EXPECT_TRUE(junk.AwaitClosed());
  EXPECT_TRUE(b.AwaitCount("wisteriareel_peer_frames_refused_total", 1));
  RawClient forged(b.endpoint().port,
                   EncodePeerFrame({.kind = PeerFrameKind::kMessage,
                                    .message_kind = 1,
                                    .payload = "x",
                                    .mac = std::string(kPeerMacBytes, 'm')}));
  EXPECT_TRUE(forged.AwaitClosed());
  EXPECT_TRUE(b.AwaitCount("wisteriareel_peer_frames_refused_total", 2));
  RawClient large(b.endpoint().port, std::string(1 << 16, 'x'));
  EXPECT_TRUE(large.AwaitClosed());
  EXPECT_EQ(b.recorder().size(), 0u);
}

TEST(PeerTransportTest, ReplacesAnUnresponsiveConnection) {
  Instance a("a", kSecret, /*max_connections=*/16, absl::Milliseconds(500));
  Instance b("b");
  BlackholeProxy proxy(b.endpoint().port);
  const Endpoint proxy_endpoint{"127.0.0.1", proxy.port()};
  a.transport().Send(InstanceId("b"), proxy_endpoint, Message("1"));
  ASSERT_TRUE(b.recorder().Await("a 1"));
  proxy.BlackholeOpenConnections();
  EXPECT_TRUE(
      a.AwaitCount("wisteriareel_retried_total{reason=\"peer_silent\"}", 1));
  a.transport().Send(InstanceId("b"), proxy_endpoint, Message("2"));
  EXPECT_TRUE(b.recorder().Await("a 2"));
  EXPECT_GE(proxy.accepted(), 2);
}

TEST(PeerTransportTest, ConnectionsOverTheLimitAreRefused) {
  Instance b("b", kSecret, /*max_connections=*/1);
  Instance a("a");
  Instance c("c");
  a.transport().Send(InstanceId("b"), b.endpoint(), Message("1"));
  ASSERT_TRUE(b.recorder().Await("a 1"));
  c.transport().Send(InstanceId("b"), b.endpoint(), Message("1"));
  EXPECT_TRUE(b.AwaitCount(
      "wisteriareel_refused_total{reason=\"connection_limit\"}", 1));
}

TEST(PeerTransportTest, StartFailsIfThePortIsInUse) {
  Instance a("a");
  const auto random = MakeSeededRandom(1);
  WebsocketPeerTransport second({.self = InstanceId("b"),
                                 .listen = a.endpoint(),
                                 .secret = kSecret,
                                 .tls = {},
                                 .random = random.get()});
  MessageRecorder recorder;
  LastReason reason;
  EXPECT_FALSE(second.Start(&recorder, &reason));
  EXPECT_EQ(reason.reason(), Reason::kUnavailable);
}

}  // namespace
}  // namespace wisteriareel
