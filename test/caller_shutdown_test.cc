#include <netinet/tcp.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "src/forward/shutdown_plan.h"
#include "src/runtime/caller_connection.h"
#include "test/raw_connection.h"
#include "test/router_daemon_fixture.h"

namespace wisteriareel {
namespace {

using ::testing::EndsWith;
using ::testing::HasSubstr;
using ::testing::StartsWith;

constexpr int kConnections = 20;

void Sleep(absl::Duration duration) {
  std::this_thread::sleep_for(absl::ToChronoMilliseconds(duration));
}

// Reads the body of a request that Request has made.
void ReadBody(int fd) {
  std::array<char, 2> body;
  EXPECT_EQ(recv(fd, body.data(), body.size(), MSG_WAITALL), 2);
}

// Target that answers its first requests at once, and holds a request to the
// path /a/held until Respond is called.
class HoldingTarget {
 public:
  ~HoldingTarget() { Respond(); }

  std::uint16_t port() const { return target_.port(); }
  void WaitForHeldRequest() const {
    while (!reached_) std::this_thread::yield();
  }
  void Respond() { respond_ = true; }

 private:
  void Serve(int fd) {
    const std::string head = ScriptedTarget::ReadHead(fd);
    ReadBody(fd);
    if (absl::StrContains(head, "/a/held")) {
      reached_ = true;
      while (!respond_) std::this_thread::yield();
    }
    const std::string response =
        "HTTP/1.1 200 OK\r\nConnection: close\r\n"
        "Wisteriareel-Response-Seal: s\r\nContent-Length: 4\r\n\r\ndone";
    send(fd, response.data(), response.size(), MSG_NOSIGNAL);
  }

  std::atomic<bool> reached_ = false;
  std::atomic<bool> respond_ = false;
  ScriptedTarget target_{[this](int fd) { Serve(fd); }};
};

class CallerShutdownTest : public RouterDaemonTest {
 protected:
  using Connections = std::vector<std::unique_ptr<RawConnection>>;

  // Starts an instance with a request that holds up its shutdown.
  void StartWithHeldRequest() {
    Start(target_.port(), RouteKind::kNonIdempotent);
    held_ = std::make_unique<RawConnection>(settings_.listen.callers.port);
    held_->Send(
        "POST /a/held HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key\r\n"
        "Wisteriareel-Request-Id: held\r\nContent-Length: 2\r\n\r\nhi");
    target_.WaitForHeldRequest();
  }

  // Starts the shutdown and waits until no request is accepted any more.
  void BeginClosing() {
    began_ = absl::Now();
    kill(getpid(), SIGTERM);
    Sleep(ShutdownPlanOptions().balancer_notice + absl::Milliseconds(200));
  }

  Connections Connect(int count) const {
    Connections connections;
    for (int n = 0; n < count; ++n) {
      connections.push_back(
          std::make_unique<RawConnection>(settings_.listen.callers.port));
    }
    return connections;
  }

  // Sends a request on `connection` and expects a refusal that says that it
  // hasn't run, and the end of the connection without a reset.
  static void ExpectRefused(RawConnection* connection) {
    EXPECT_TRUE(connection->Send(Request("q")));
    ExpectRefusal(connection);
  }
  static void ExpectRefusal(RawConnection* connection) {
    const std::string response = connection->ReadAll();
    EXPECT_THAT(response, StartsWith("HTTP/1.1 503"));
    EXPECT_THAT(response, HasSubstr("not_run"));
    EXPECT_THAT(response, HasSubstr("Connection: close"));
    EXPECT_THAT(response, HasSubstr("Retry-After"));
    EXPECT_TRUE(connection->ended());
  }

  absl::Time began_;
  HoldingTarget target_;
  std::unique_ptr<RawConnection> held_;
};

// The connections were closed after up to 50 ms, also with a request in them.
TEST_F(CallerShutdownTest, ANewConnectionIsAnsweredWhileTheInstanceCloses) {
  StartWithHeldRequest();
  BeginClosing();
  const Connections connections = Connect(kConnections);
  Sleep(absl::Milliseconds(150));
  for (const auto& connection : connections) ExpectRefused(connection.get());
  target_.Respond();
  EXPECT_THAT(held_->ReadAll(), EndsWith("done"));
  thread_.join();
}

TEST_F(CallerShutdownTest, ConnectionsAreAnsweredUntilTheInstanceEnds) {
  StartWithHeldRequest();
  BeginClosing();
  std::atomic<int> answered = 0;
  std::atomic<int> lost = 0;
  std::vector<std::thread> callers;
  callers.reserve(3);
  for (int n = 0; n < 3; ++n) {
    callers.emplace_back([this, &answered, &lost] {
      // The instance may close a connection unread only when it stops
      // listening.
      bool was_unanswered = false;
      while (lost == 0) {
        RawConnection caller(settings_.listen.callers.port);
        if (!caller.connected()) return;
        if (was_unanswered) ++lost;
        caller.Send(Request("q"));
        const std::string response = caller.ReadAll();
        const bool is_refusal = absl::StartsWith(response, "HTTP/1.1 503") &&
                                absl::StrContains(response, "not_run");
        was_unanswered = !is_refusal || !caller.ended();
        if (!was_unanswered) ++answered;
        if (was_unanswered && !response.empty()) ++lost;
      }
    });
  }
  Sleep(absl::Milliseconds(200));
  target_.Respond();
  EXPECT_THAT(held_->ReadAll(), EndsWith("done"));
  thread_.join();
  for (std::thread& caller : callers) caller.join();
  EXPECT_GT(answered, 0);
  EXPECT_EQ(lost, 0);
}

TEST_F(CallerShutdownTest, IdleConnectionsDoNotDelayTheEnd) {
  StartWithHeldRequest();
  const Connections fresh = Connect(kConnections);
  const Connections kept = Connect(kConnections);
  target_.Respond();
  held_->ReadUntil("done");
  for (const auto& connection : kept) {
    connection->Send(Request("q"));
    EXPECT_THAT(connection->ReadUntil("done"), StartsWith("HTTP/1.1 200"));
  }
  BeginClosing();
  thread_.join();
  const ShutdownPlanOptions plan;
  EXPECT_LT(absl::Now() - began_, plan.grace - plan.ending_time);
  for (const Connections* connections : {&fresh, &kept}) {
    for (const auto& connection : *connections) {
      EXPECT_EQ(connection->ReadAll(), "");
      EXPECT_TRUE(connection->ended());
    }
  }
}

// The rest of the response was discarded by a reset one second after it was
// written, since the caller had sent more than was read.
TEST_F(CallerShutdownTest, ALargeResponseReachesASlowCaller) {
  // Fits into the buffers of the two sockets.
  const std::string body(1 << 20, 'x');
  ScriptedTarget target([&body](int fd) {
    ScriptedTarget::ReadHead(fd);
    ReadBody(fd);
    const std::string response = CompleteResponse("q", body);
    for (std::size_t sent = 0; sent < response.size();) {
      const ssize_t n = send(fd, response.data() + sent, response.size() - sent,
                             MSG_NOSIGNAL);
      if (n <= 0) return;
      sent += static_cast<std::size_t>(n);
    }
  });
  Start(target.port(), RouteKind::kNonIdempotent);
  RawConnection caller(settings_.listen.callers.port);
  caller.Send(Request("q", "Connection: close\r\n"));
  // What follows the last request isn't served.
  caller.Send(std::string(300 << 10, 'x'));
  Sleep(absl::Milliseconds(2500));
  const std::string response = caller.ReadAll();
  EXPECT_THAT(response, StartsWith("HTTP/1.1 200"));
  const std::size_t head_size = response.find("\r\n\r\n");
  ASSERT_NE(head_size, std::string::npos);
  // Without the sizes of the chunks.
  EXPECT_EQ(
      std::count(response.begin() + static_cast<std::ptrdiff_t>(head_size),
                 response.end(), 'x'),
      static_cast<std::ptrdiff_t>(body.size()));
  EXPECT_THAT(response, EndsWith("\r\n0\r\n\r\n"));
  EXPECT_TRUE(caller.ended());
}

// The end of a truncated response must not look like that of a complete one.
TEST_F(CallerShutdownTest, AResponseThatBreaksOffEndsWithAReset) {
  ScriptedTarget target([](int fd) {
    ScriptedTarget::ReadHead(fd);
    ReadBody(fd);
    const std::string part =
        "HTTP/1.1 200 OK\r\nWisteriareel-Response-Seal: s\r\n"
        "Content-Length: 1000000\r\n\r\n" +
        std::string(600'000, 'x');
    for (std::size_t sent = 0; sent < part.size();) {
      const ssize_t n =
          send(fd, part.data() + sent, part.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) return;
      sent += static_cast<std::size_t>(n);
    }
    Sleep(absl::Milliseconds(200));
  });
  Start(target.port(), RouteKind::kNonIdempotent);
  RawConnection caller(settings_.listen.callers.port);
  caller.Send(Request("q"));
  EXPECT_THAT(caller.ReadAll(), StartsWith("HTTP/1.1 200"));
  EXPECT_FALSE(caller.ended());
}

// Owner of one connection in an instance that closes.
class ClosingOwner final : public CallerConnectionOwner {
 public:
  explicit ClosingOwner(ShutdownPlan* plan) : plan_(plan) {}

  void OnConnectionClosed(CallerConnection* /*connection*/) override {
    closed_ = true;
  }
  bool Draining() const override { return true; }
  bool AcceptsRequests() const override { return false; }
  bool Accepts(const ArrivingRequest& /*request*/) const override {
    return false;
  }
  bool ClosesIdle(const IdleConnection& connection) const override {
    // All connections count as used before.
    IdleConnection used = connection;
    used.has_served = true;
    return plan_->ClosesIdle(used, SystemClock()->Now());
  }
  void OnWaitingForTokens() override {}

  bool closed() const { return closed_; }

 private:
  ShutdownPlan* const plan_;
  bool closed_ = false;
};

class ClosingConnectionTest : public ::testing::Test {
 protected:
  ClosingConnectionTest() {
    plan_.Begin(SystemClock()->Now() - ShutdownPlanOptions().balancer_notice);
    boost::asio::ip::tcp::acceptor acceptor(
        io_, {boost::asio::ip::address_v4::loopback(), 0});
    caller_ = std::make_unique<RawConnection>(acceptor.local_endpoint().port());
    connection_ = std::make_shared<CallerConnection>(
        CallerConnectionDependencies{
            .io = &io_,
            .clock = SystemClock(),
            .codec = &codec_,
            .router = &router_,
            .overload = &overload_,
            .limiter = &limiter_,
            .random = random_.get(),
            .exchange = {.log = DiscardEvents(), .counters = &counters_},
            .owner = &owner_},
        acceptor.accept());
    connection_->Start();
    io_.poll();
  }

  // Runs the connection until it is closed.
  void RunUntilClosed() {
    while (!owner_.closed()) io_.run_one_for(std::chrono::milliseconds(100));
  }

  boost::asio::io_context io_;
  const platform::MessageCodec codec_{};
  RequestRouter router_{{}};
  OverloadGuard overload_{{.link_bytes_per_s = 1e9}};
  ConnectionLimiter limiter_{{.max_bytes = 1 << 20,
                              .max_connections = 1,
                              .max_closing = 1,
                              .max_served = 1}};
  std::unique_ptr<RandomSource> random_ = MakeSeededRandom(1);
  HistogramCounters counters_;
  ShutdownPlan plan_{{}};
  ClosingOwner owner_{&plan_};
  std::unique_ptr<RawConnection> caller_;
  std::shared_ptr<CallerConnection> connection_;
};

// The request was in the socket when the connection was closed.
TEST_F(ClosingConnectionTest, ARequestInTheSocketIsAnswered) {
  caller_->Send(
      "GET /a/x HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key\r\n"
      "Wisteriareel-Request-Id: q\r\n\r\n");
  connection_->CloseIfIdle();
  std::thread caller([this] {
    const std::string response = caller_->ReadAll();
    EXPECT_THAT(response, StartsWith("HTTP/1.1 503"));
    EXPECT_THAT(response, HasSubstr("not_run"));
    EXPECT_TRUE(caller_->ended());
    shutdown(caller_->fd(), SHUT_RDWR);
  });
  RunUntilClosed();
  caller.join();
}

// A request that crosses the close must not be met by a reset.
TEST_F(ClosingConnectionTest, ARequestAfterTheCloseFindsTheEnd) {
  connection_->CloseIfIdle();
  EXPECT_TRUE(caller_->Send("GET /a/x HTTP/1.1\r\nHost: h.example\r\n\r\n"));
  io_.run_for(std::chrono::milliseconds(100));
  EXPECT_EQ(caller_->ReadAll(), "");
  EXPECT_TRUE(caller_->ended());
  shutdown(caller_->fd(), SHUT_RDWR);
  RunUntilClosed();
}

}  // namespace
}  // namespace wisteriareel
