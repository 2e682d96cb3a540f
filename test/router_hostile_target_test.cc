#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <string>
#include <thread>

#include "absl/strings/str_cat.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "test/raw_connection.h"
#include "test/router_daemon_fixture.h"

namespace wisteriareel {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;

// Limit on what a target may send of a message that has no end. Larger than
// what the buffers of a loopback connection hold.
constexpr std::size_t kMaxEndlessBytes = 24 << 20;

// Targets that break the protocol.
class HostileTargetTest : public RouterDaemonTest {
 protected:
  // Sends `start` and then `more` again and again. Returns the number of bytes
  // sent until the router closed the connection, or kMaxEndlessBytes.
  static std::size_t SendEndlessly(int fd, const std::string& start,
                                   const std::string& more) {
    std::size_t sent = 0;
    for (std::string bytes = start; sent < kMaxEndlessBytes;) {
      const ssize_t n = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (n <= 0) return sent;
      sent += static_cast<std::size_t>(n);
      bytes = more;
    }
    return sent;
  }

  // Serves one request with an endless response and returns what the router
  // responds. `sent` is set to the bytes that the target could send.
  std::string ServeEndlessly(const std::string& start, const std::string& more,
                             RouteKind kind, std::atomic<std::size_t>* sent) {
    ScriptedTarget target([&](int fd) {
      ScriptedTarget::ReadHead(fd);
      *sent = SendEndlessly(fd, start, more);
    });
    Start(target.port(), kind);
    RawConnection caller(settings_.listen.callers.port);
    caller.Send(Request("q1", "Connection: close\r\n"));
    return caller.ReadAll();
  }
};

const std::string kOkHead =
    "HTTP/1.1 200 OK\r\nWisteriareel-Request-Id: q1\r\n"
    "Wisteriareel-Response-Seal: s\r\n";

// The response of the first request comes again after the second request was
// written, without the id that would tell it apart.
TEST_F(HostileTargetTest, ASecondCopyWithoutAnIdIsNotTheNextResponse) {
  ScriptedTarget target([](int fd) {
    ScriptedTarget::ReadHead(fd);
    char body[2];
    read(fd, body, sizeof(body));
    ScriptedTarget::Write(fd, CompleteResponse("q1", "first"));
    // A new connection carries the second request if this one isn't used again.
    if (ScriptedTarget::ReadHead(fd).empty()) return;
    ScriptedTarget::Write(fd,
                          "HTTP/1.1 200 OK\r\nWisteriareel-Response-Seal: s\r\n"
                          "Content-Length: 5\r\n\r\nfirst");
  });
  Start(target.port(), RouteKind::kIdempotent);
  {
    RawConnection caller(settings_.listen.callers.port);
    caller.Send(Request("q1", "Connection: close\r\n"));
    ASSERT_THAT(caller.ReadAll(), HasSubstr("first"));
  }
  RawConnection other(settings_.listen.callers.port);
  other.Send(Request("q2", "Connection: close\r\n"));
  const std::string response = other.ReadAll();
  EXPECT_THAT(response, Not(HasSubstr("first")));
  EXPECT_THAT(response, HasSubstr("HTTP/1.1 502"));
  EXPECT_THAT(response, HasSubstr("may_have_run"));
}

// The same copy with its id, cut in two, before the second response.
TEST_F(HostileTargetTest, ASecondCopyInTwoPiecesIsSkipped) {
  ScriptedTarget target([](int fd) {
    ScriptedTarget::ReadHead(fd);
    char body[2];
    read(fd, body, sizeof(body));
    const std::string first = CompleteResponse("q1", "first");
    ScriptedTarget::Write(fd, first);
    if (ScriptedTarget::ReadHead(fd).empty()) return;
    read(fd, body, sizeof(body));
    ScriptedTarget::Write(fd, first.substr(0, 40));
    std::this_thread::yield();
    ScriptedTarget::Write(fd, first.substr(40));
    ScriptedTarget::Write(fd, CompleteResponse("q2", "second"));
  });
  Start(target.port(), RouteKind::kIdempotent);
  {
    RawConnection caller(settings_.listen.callers.port);
    caller.Send(Request("q1", "Connection: close\r\n"));
    ASSERT_THAT(caller.ReadAll(), HasSubstr("first"));
  }
  RawConnection other(settings_.listen.callers.port);
  other.Send(Request("q2", "Connection: close\r\n"));
  const std::string response = other.ReadAll();
  EXPECT_THAT(response, Not(HasSubstr("first")));
  EXPECT_THAT(response, HasSubstr("second"));
}

// A target that answers its first request with a refusal, and writes that once
// more where the response to the second request is due.
class RepeatedRefusalTest : public HostileTargetTest {
 protected:
  static std::string Refusal(const std::string& id_line) {
    return absl::StrCat("HTTP/1.1 503 Busy\r\n", id_line,
                        "Content-Length: 0\r\n\r\n");
  }

  // Returns the response to the second request. `id_line` is the header of the
  // second copy that states a request's id.
  std::string RepeatRefusal(const std::string& not_run_line,
                            const std::string& id_line, RouteKind kind) {
    ScriptedTarget target([&](int fd) {
      ++connections_;
      while (!ScriptedTarget::ReadHead(fd).empty()) {
        char body[2];
        read(fd, body, sizeof(body));
        if (++requests_ == 1) {
          ScriptedTarget::Write(
              fd, Refusal(not_run_line + "Wisteriareel-Request-Id: q1\r\n"));
          continue;
        }
        ScriptedTarget::Write(fd, Refusal(not_run_line + id_line) +
                                      CompleteResponse("q2", "second"));
        return;
      }
    });
    Start(target.port(), kind);
    {
      RawConnection caller(settings_.listen.callers.port);
      caller.Send(Request("q1", "Connection: close\r\n"));
      EXPECT_THAT(caller.ReadAll(), HasSubstr("HTTP/1.1 503"));
    }
    RawConnection other(settings_.listen.callers.port);
    other.Send(Request("q2", "Connection: close\r\n"));
    return other.ReadAll();
  }

  std::atomic<int> connections_ = 0;
  std::atomic<int> requests_ = 0;
};

constexpr char kNotRunLine[] = "Wisteriareel-Not-Executed: 1\r\n";
constexpr char kOldIdLine[] = "Wisteriareel-Request-Id: q1\r\n";

TEST_F(RepeatedRefusalTest, AnIdempotentRequestGetsItsOwnResponse) {
  EXPECT_THAT(RepeatRefusal(kNotRunLine, kOldIdLine, RouteKind::kIdempotent),
              HasSubstr("second"));
  EXPECT_EQ(requests_, 2);
}

TEST_F(RepeatedRefusalTest, ANonIdempotentRequestGetsItsOwnResponse) {
  EXPECT_THAT(RepeatRefusal(kNotRunLine, kOldIdLine, RouteKind::kNonIdempotent),
              HasSubstr("second"));
  EXPECT_EQ(requests_, 2);
}

// A copy can only come on a connection that carries the next request.
TEST_F(RepeatedRefusalTest, AConnectionIsNotUsedAgainAfterARefusal) {
  RepeatRefusal(kNotRunLine, kOldIdLine, RouteKind::kIdempotent);
  EXPECT_EQ(connections_, 2);
}

// The target doesn't say that it didn't run the request, so that the connection
// is used again; the copy doesn't say what it belongs to.
TEST_F(RepeatedRefusalTest, ACopyWithoutAnIdIsNoProofThatTheRequestDidNotRun) {
  const std::string response = RepeatRefusal("", "", RouteKind::kIdempotent);
  EXPECT_EQ(connections_, 1);
  EXPECT_THAT(response, HasSubstr("HTTP/1.1 502"));
  EXPECT_THAT(response, HasSubstr("may_have_run"));
  EXPECT_EQ(requests_, 2);
}

TEST_F(RepeatedRefusalTest, ACopyWithTheOldIdOnAUsedConnectionIsSkipped) {
  EXPECT_THAT(RepeatRefusal("", kOldIdLine, RouteKind::kIdempotent),
              HasSubstr("second"));
  EXPECT_EQ(connections_, 1);
}

TEST_F(HostileTargetTest, AnEndlessHeaderLineClosesTheConnection) {
  std::atomic<std::size_t> sent = 0;
  const std::string response =
      ServeEndlessly("HTTP/1.1 200 OK\r\nX: ", std::string(1 << 14, 'x'),
                     RouteKind::kNonIdempotent, &sent);
  EXPECT_THAT(response, HasSubstr("HTTP/1.1 502"));
  EXPECT_LT(sent, kMaxEndlessBytes);
}

// No line is long, and the parser keeps all fields.
TEST_F(HostileTargetTest, EndlessFieldsCloseTheConnection) {
  std::atomic<std::size_t> sent = 0;
  std::string more;
  for (int n = 0; n < 500; ++n) absl::StrAppend(&more, "X-", n, ": x\r\n");
  const std::string response = ServeEndlessly("HTTP/1.1 200 OK\r\n", more,
                                              RouteKind::kNonIdempotent, &sent);
  EXPECT_THAT(response, HasSubstr("HTTP/1.1 502"));
  EXPECT_LT(sent, kMaxEndlessBytes);
}

TEST_F(HostileTargetTest, AnEndlessChunkExtensionClosesTheConnection) {
  std::atomic<std::size_t> sent = 0;
  const std::string response = ServeEndlessly(
      kOkHead + "Transfer-Encoding: chunked\r\n\r\n1;",
      std::string(1 << 14, 'x'), RouteKind::kNonIdempotent, &sent);
  EXPECT_THAT(response, HasSubstr("HTTP/1.1 502"));
  EXPECT_LT(sent, kMaxEndlessBytes);
}

TEST_F(HostileTargetTest, EndlessInterimResponsesCloseTheConnection) {
  std::atomic<std::size_t> sent = 0;
  std::string more;
  for (int n = 0; n < 500; ++n) more += "HTTP/1.1 102 Processing\r\n\r\n";
  const std::string response =
      ServeEndlessly(more, more, RouteKind::kNonIdempotent, &sent);
  EXPECT_THAT(response, HasSubstr("HTTP/1.1 502"));
  EXPECT_LT(sent, kMaxEndlessBytes);
}

TEST_F(HostileTargetTest, AnEventWithoutAnEndClosesTheConnection) {
  std::atomic<std::size_t> sent = 0;
  const std::string chunk = "4000\r\n" + std::string(0x4000, 'x') + "\r\n";
  const std::string response =
      ServeEndlessly(kOkHead + "Transfer-Encoding: chunked\r\n\r\n", chunk,
                     RouteKind::kStreaming, &sent);
  EXPECT_THAT(response, HasSubstr("HTTP/1.1 502"));
  EXPECT_LT(sent, kMaxEndlessBytes);
}

TEST_F(HostileTargetTest, EndlessTrailersCloseTheConnection) {
  std::atomic<std::size_t> sent = 0;
  const std::string response = ServeEndlessly(
      kOkHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
      "X: " + std::string(1 << 14, 'x') + "\r\n", RouteKind::kNonIdempotent,
      &sent);
  EXPECT_THAT(response, HasSubstr("HTTP/1.1 502"));
  EXPECT_LT(sent, kMaxEndlessBytes);
}

TEST_F(HostileTargetTest, AnEndlessChunkSizeClosesTheConnection) {
  std::atomic<std::size_t> sent = 0;
  const std::string response = ServeEndlessly(
      kOkHead + "Transfer-Encoding: chunked\r\n\r\n", std::string(1 << 14, '0'),
      RouteKind::kNonIdempotent, &sent);
  EXPECT_THAT(response, HasSubstr("HTTP/1.1 502"));
  EXPECT_LT(sent, kMaxEndlessBytes);
}

TEST_F(HostileTargetTest, EndlessBlankLinesCloseTheConnection) {
  std::atomic<std::size_t> sent = 0;
  const std::string response = ServeEndlessly("\r\n", "\r\n\r\n\r\n\r\n",
                                              RouteKind::kNonIdempotent, &sent);
  EXPECT_THAT(response, HasSubstr("HTTP/1.1 502"));
  EXPECT_LT(sent, kMaxEndlessBytes);
}

class SlowCallerTest : public HostileTargetTest,
                       public ::testing::WithParamInterface<RouteKind> {};

// A caller that doesn't read holds up a target that sends without end, so that
// the router doesn't keep what it can't pass on.
TEST_P(SlowCallerTest, AnEndlessBodyIsNotKept) {
  std::atomic<std::size_t> sent = 0;
  std::atomic<bool> ended = false;
  const std::string bytes(1 << 14, 'x');
  const std::string more = GetParam() == RouteKind::kStreaming
                               ? absl::StrCat("data: ", bytes, "\n\n")
                               : bytes;
  ScriptedTarget target([&](int fd) {
    ScriptedTarget::ReadHead(fd);
    ScriptedTarget::Write(fd, kOkHead + "\r\n");
    const timeval limit{.tv_sec = 1, .tv_usec = 0};
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    sent = SendEndlessly(fd, more, more);
    ended = true;
  });
  Start(target.port(), GetParam());
  RawConnection caller(settings_.listen.callers.port);
  caller.Send(Request("q1"));
  while (!ended) std::this_thread::yield();
  EXPECT_LT(sent, kMaxEndlessBytes);
}

INSTANTIATE_TEST_SUITE_P(AllKinds, SlowCallerTest,
                         ::testing::Values(RouteKind::kIdempotent,
                                           RouteKind::kNonIdempotent,
                                           RouteKind::kStreaming));

// A target that stops within its response, at each byte of it.
class CutResponseTest : public HostileTargetTest,
                        public ::testing::WithParamInterface<RouteKind> {
 protected:
  // Cuts `whole` after each number of bytes up to `last_cut` and expects that
  // no caller gets a successful or complete response.
  void CutEverywhere(const std::string& whole, std::size_t last_cut) {
    std::atomic<std::size_t> cut = 0;
    std::atomic<bool> reset = false;
    ScriptedTarget target([&](int fd) {
      ScriptedTarget::ReadHead(fd);
      char body[2];
      read(fd, body, sizeof(body));
      ScriptedTarget::Write(fd, whole.substr(0, cut));
      if (!reset) return;
      const linger now{.l_onoff = 1, .l_linger = 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    });
    Start(target.port(), GetParam());
    for (const bool with_reset : {false, true}) {
      reset = with_reset;
      for (std::size_t n = 0; n <= last_cut; ++n) {
        cut = n;
        RawConnection caller(settings_.listen.callers.port);
        caller.Send(Request("q1", "Connection: close\r\n"));
        const std::string response = caller.ReadAll();
        EXPECT_THAT(response, HasSubstr("HTTP/1.1 502")) << "after " << n;
        EXPECT_THAT(response, Not(HasSubstr("not_run"))) << "after " << n;
      }
    }
  }
};

const std::string kEvent = "id: 1\ndata: x\n\n";

// Another operator's callers got a 200 with an empty body, framed as complete.
TEST_P(CutResponseTest, AHeadWithALengthIsNoResponse) {
  const std::string whole = absl::StrCat(
      kOkHead, "Content-Length: ", kEvent.size(), "\r\n\r\n", kEvent);
  CutEverywhere(whole, whole.find("\r\n\r\n") + 4);
}

TEST_P(CutResponseTest, AHeadWithChunksIsNoResponse) {
  const std::string whole = kOkHead + "Transfer-Encoding: chunked\r\n\r\n";
  CutEverywhere(whole, whole.size());
}

// Up to the last byte of the head: after it, an empty body would be complete.
TEST_P(CutResponseTest, AHeadWithoutALengthIsNoResponse) {
  const std::string whole = kOkHead + "Content-Type: text/plain\r\n\r\n";
  CutEverywhere(whole, whole.size() - 1);
}

TEST_P(CutResponseTest, AHeadAfterAnInterimResponseIsNoResponse) {
  const std::string whole = "HTTP/1.1 102 Processing\r\n\r\n" + kOkHead +
                            "Content-Type: text/plain\r\n\r\n";
  CutEverywhere(whole, whole.size() - 1);
}

INSTANTIATE_TEST_SUITE_P(AllKinds, CutResponseTest,
                         ::testing::Values(RouteKind::kIdempotent,
                                           RouteKind::kNonIdempotent,
                                           RouteKind::kStreaming));

TEST_F(HostileTargetTest, ABodyThatGoesOnIsCutAtItsLength) {
  std::atomic<std::size_t> sent = 0;
  const std::string response = ServeEndlessly(
      kOkHead + "Content-Length: 4\r\n\r\ndone", std::string(1 << 14, 'x'),
      RouteKind::kNonIdempotent, &sent);
  EXPECT_THAT(response, HasSubstr("HTTP/1.1 200"));
  EXPECT_THAT(response, HasSubstr("\r\n\r\ndone"));
  EXPECT_THAT(response, Not(HasSubstr("donex")));
  EXPECT_LT(sent, kMaxEndlessBytes);
}

}  // namespace
}  // namespace wisteriareel
