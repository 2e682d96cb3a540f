#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <string>
#include <tuple>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "test/broken_responses.h"
#include "test/raw_connection.h"
#include "test/router_daemon_fixture.h"

namespace wisteriareel {
namespace {

using ::testing::Combine;
using ::testing::EndsWith;
using ::testing::HasSubstr;
using ::testing::Not;
using ::testing::StartsWith;
using ::testing::Values;
using ::testing::ValuesIn;

// Larger than what the buffers of a loopback connection hold.
constexpr std::size_t kUploadBytes = 24 << 20;

const std::string kIdAndSeal =
    "Wisteriareel-Request-Id: q1\r\nWisteriareel-Response-Seal: s\r\n";

class BrokenResponseTest : public RouterDaemonTest {
 protected:
  // Returns what a caller gets if its target responds with `bytes` and closes
  // the connection.
  std::string GetResponse(RouteKind kind, const std::string& bytes) {
    ScriptedTarget target([&](int fd) {
      ScriptedTarget::ReadRequest(fd);
      ScriptedTarget::Write(fd, bytes);
    });
    Start(target.port(), kind);
    RawConnection caller(settings_.listen.callers.port);
    caller.Send(Request("q1", "Connection: close\r\n"));
    return caller.ReadAll();
  }

  // Expects that the caller gets an error response of the router, which doesn't
  // say that the request did not run.
  void ExpectBroken(RouteKind kind, const std::string& bytes) {
    const std::string response = GetResponse(kind, bytes);
    EXPECT_THAT(response, StartsWith("HTTP/1.1 502"));
    EXPECT_THAT(response, Not(HasSubstr(kBodyMark)));
    EXPECT_THAT(response, Not(HasSubstr("Wisteriareel-Response-Seal")));
    EXPECT_THAT(response, Not(HasSubstr("not_run")));
  }
};

const auto kAllKinds = Values(RouteKind::kIdempotent, RouteKind::kNonIdempotent,
                              RouteKind::kStreaming);

class StatusTest : public BrokenResponseTest,
                   public ::testing::WithParamInterface<
                       std::tuple<RouteKind, BodyEnd, std::string>> {};

// Callers got a response with status 000.
TEST_P(StatusTest, AResponseWithAnInvalidStatusIsNotRelayed) {
  const auto& [kind, end, status] = GetParam();
  ExpectBroken(kind, absl::StrCat("HTTP/1.1 ", status, " X\r\n", kIdAndSeal,
                                  FrameBody(end, kBody)));
}

INSTANTIATE_TEST_SUITE_P(AllKinds, StatusTest,
                         Combine(kAllKinds,
                                 Values(BodyEnd::kLength, BodyEnd::kChunks,
                                        BodyEnd::kConnection),
                                 ValuesIn(InvalidStatuses())));

class HeadTest
    : public BrokenResponseTest,
      public ::testing::WithParamInterface<std::tuple<RouteKind, std::string>> {
};

// A head with a line that isn't a header field.
TEST_P(HeadTest, AResponseWithAMalformedFieldIsNotRelayed) {
  const auto& [kind, line] = GetParam();
  ExpectBroken(kind, absl::StrCat("HTTP/1.1 200 OK\r\n", kIdAndSeal, line,
                                  "\r\n", FrameBody(BodyEnd::kLength, kBody)));
}

INSTANTIATE_TEST_SUITE_P(AllKinds, HeadTest,
                         Combine(kAllKinds, ValuesIn(MalformedFields())));

class FoldedFieldTest : public BrokenResponseTest,
                        public ::testing::WithParamInterface<RouteKind> {};

// The name of the field starts with a blank, so that the line continues the
// field before it.
TEST_P(FoldedFieldTest, AFieldAfterABlankDoesNotChangeTheSeal) {
  ExpectBroken(GetParam(),
               absl::StrCat("HTTP/1.1 200 OK\r\n", kIdAndSeal, " X-A: x\r\n",
                            FrameBody(BodyEnd::kLength, kBody)));
}

TEST_P(FoldedFieldTest, ALengthAfterATabulatorIsNotLost) {
  ExpectBroken(GetParam(),
               absl::StrCat("HTTP/1.1 200 OK\r\n", kIdAndSeal,
                            "X-A: x\r\n\tContent-Length: ", kBody.size(),
                            "\r\n\r\n", kBody, "id: 2\ndata: more\n\n"));
}

INSTANTIATE_TEST_SUITE_P(AllKinds, FoldedFieldTest, kAllKinds);

class FramingTest
    : public BrokenResponseTest,
      public ::testing::WithParamInterface<std::tuple<RouteKind, std::string>> {
};

// The fields and the bytes after them leave in doubt where the body ends.
TEST_P(FramingTest, AnAmbiguousResponseIsNotRelayed) {
  const auto& [kind, rest] = GetParam();
  ExpectBroken(kind, absl::StrCat("HTTP/1.1 200 OK\r\n", kIdAndSeal, rest));
}

INSTANTIATE_TEST_SUITE_P(AllKinds, FramingTest,
                         Combine(kAllKinds, ValuesIn(AmbiguousFramings())));

class ChunkTest
    : public BrokenResponseTest,
      public ::testing::WithParamInterface<std::tuple<RouteKind, std::string>> {
};

TEST_P(ChunkTest, AResponseWithMalformedChunksIsNotComplete) {
  const auto& [kind, chunks] = GetParam();
  const std::string response = GetResponse(
      kind, absl::StrCat("HTTP/1.1 200 OK\r\n", kIdAndSeal,
                         "Transfer-Encoding: chunked\r\n\r\n", chunks));
  // An event that was complete has been relayed.
  if (kind == RouteKind::kStreaming) {
    EXPECT_THAT(response, Not(EndsWith("\r\n0\r\n\r\n")));
    return;
  }
  EXPECT_THAT(response, StartsWith("HTTP/1.1 502"));
}

INSTANTIATE_TEST_SUITE_P(AllKinds, ChunkTest,
                         Combine(kAllKinds, ValuesIn(MalformedChunks())));

class TrailerTest : public BrokenResponseTest,
                    public ::testing::WithParamInterface<RouteKind> {
 protected:
  // Returns what the caller gets if `trailer` follows the response's body.
  std::string GetResponseWithTrailer(const std::string& trailer) {
    return GetResponse(GetParam(),
                       absl::StrCat("HTTP/1.1 200 OK\r\n", kIdAndSeal,
                                    "Transfer-Encoding: chunked\r\n\r\n",
                                    absl::Hex(kBody.size()), "\r\n", kBody,
                                    "\r\n0\r\n", trailer, "\r\n\r\n"));
  }
};

// A trailer is no part of the head, however much of the response arrives at
// once.
TEST_P(TrailerTest, ATrailerDoesNotStateThatTheRequestDidNotRun) {
  const std::string response =
      GetResponseWithTrailer("Wisteriareel-Not-Executed: 1");
  EXPECT_THAT(response, StartsWith("HTTP/1.1 200"));
  EXPECT_THAT(response, HasSubstr(kBodyMark));
}

TEST_P(TrailerTest, ATrailerIsNotRelayedAsAField) {
  const std::string response =
      GetResponseWithTrailer("Wisteriareel-Response-Seal: other");
  EXPECT_THAT(response, StartsWith("HTTP/1.1 200"));
  EXPECT_THAT(response, Not(HasSubstr("other")));
}

INSTANTIATE_TEST_SUITE_P(AllKinds, TrailerTest, kAllKinds);

class NoBodyTest : public BrokenResponseTest,
                   public ::testing::WithParamInterface<
                       std::tuple<RouteKind, BodyEnd, std::string>> {};

// The length of a response that has no body leaves in doubt where the next
// response starts.
TEST_P(NoBodyTest, AResponseWithoutABodyThatStatesALengthIsNotRelayed) {
  const auto& [kind, end, status_line] = GetParam();
  ExpectBroken(kind,
               absl::StrCat("HTTP/1.1 ", status_line, "\r\n", kIdAndSeal,
                            FrameBody(end, CompleteResponse("q1", kBody))));
}

INSTANTIATE_TEST_SUITE_P(AllKinds, NoBodyTest,
                         Combine(kAllKinds,
                                 Values(BodyEnd::kLength, BodyEnd::kChunks),
                                 Values("100 Continue", "102 Processing",
                                        "103 Early Hints", "204 No Content")));

class ForbiddenBodyTest : public BrokenResponseTest,
                          public ::testing::WithParamInterface<
                              std::tuple<std::string, std::string>> {};

// A body follows where none may be. It is neither relayed nor read as the
// response to the next request.
TEST_P(ForbiddenBodyTest, TheBodyIsDropped) {
  const auto& [method, status] = GetParam();
  std::atomic<int> connections = 0;
  ScriptedTarget target([&, status = status](int fd) {
    ++connections;
    while (!ScriptedTarget::ReadHead(fd).empty()) {
      ScriptedTarget::Write(
          fd, absl::StrCat(
                  "HTTP/1.1 ", status, "\r\n", kIdAndSeal,
                  FrameBody(BodyEnd::kLength, CompleteResponse("q1", kBody))));
    }
  });
  Start(target.port(), RouteKind::kIdempotent);
  for (int n = 1; n <= 3; ++n) {
    RawConnection caller(settings_.listen.callers.port);
    caller.Send(absl::StrCat(
        method, " /a/x HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key\r\n",
        "Wisteriareel-Request-Id: q1\r\nConnection: close\r\n\r\n"));
    const std::string response = caller.ReadAll();
    EXPECT_THAT(response, StartsWith("HTTP/1.1 " + status));
    EXPECT_THAT(response, EndsWith("\r\n\r\n"));
    EXPECT_THAT(response, Not(HasSubstr(kBodyMark)));
    EXPECT_EQ(connections, n);
  }
}

INSTANTIATE_TEST_SUITE_P(Responses, ForbiddenBodyTest,
                         Values(std::tuple("HEAD", "200 OK"),
                                std::tuple("HEAD", "500 Error"),
                                std::tuple("GET", "304 Not Modified")));

class SwitchedProtocolTest : public BrokenResponseTest,
                             public ::testing::WithParamInterface<RouteKind> {};

// What follows a change of protocol is no response in HTTP.
TEST_P(SwitchedProtocolTest, NothingIsRelayedAfterAChangeOfProtocol) {
  ExpectBroken(GetParam(),
               absl::StrCat("HTTP/1.1 101 Switching Protocols\r\n"
                            "Connection: Upgrade\r\nUpgrade: x\r\n\r\n",
                            CompleteResponse("q1", kBody)));
}

INSTANTIATE_TEST_SUITE_P(AllKinds, SwitchedProtocolTest, kAllKinds);

class BrokenStreamTest
    : public BrokenResponseTest,
      public ::testing::WithParamInterface<std::tuple<BodyEnd, std::string>> {};

TEST_P(BrokenStreamTest, AStreamThatEndsWithinAnEventIsBrokenOff) {
  const auto& [end, partial] = GetParam();
  const std::string response = GetResponse(
      RouteKind::kStreaming, absl::StrCat("HTTP/1.1 200 OK\r\n", kIdAndSeal,
                                          FrameBody(end, kBody + partial)));
  EXPECT_THAT(response, EndsWith(kBody + "\r\n"));
}

INSTANTIATE_TEST_SUITE_P(
    AllEnds, BrokenStreamTest,
    Combine(Values(BodyEnd::kLength, BodyEnd::kChunks, BodyEnd::kConnection),
            Values("id: ", "id: 2", "id: 2\n", "id: 2\nda", "id: 2\ndata: two",
                   "id: 2\ndata: two\n", "id: 2\ndata: two\r\n\r",
                   ": comment")));

class KeptConnectionTest : public BrokenResponseTest {};

// Broken responses one after the other, and then a sound one.
TEST_F(KeptConnectionTest, ACallerGetsItsOwnResponseAfterBrokenOnes) {
  const std::vector<std::string> broken = {
      absl::StrCat("HTTP/1.1 000 X\r\n", kIdAndSeal,
                   FrameBody(BodyEnd::kLength, kBody)),
      absl::StrCat("HTTP/1.1 200 OK\r\n", kIdAndSeal, "X A: x\r\n",
                   FrameBody(BodyEnd::kLength, kBody)),
      absl::StrCat("HTTP/1.1 200 OK\r\n", kIdAndSeal,
                   "Transfer-Encoding: chunked\r\n\r\nz\r\n", kBody),
      "no response at all\r\n\r\n"};
  std::size_t requests = 0;
  ScriptedTarget target([&](int fd) {
    ScriptedTarget::ReadRequest(fd);
    const std::size_t n = requests++;
    ScriptedTarget::Write(
        fd, n < broken.size() ? broken[n] : CompleteResponse("q1", "sound"));
  });
  Start(target.port(), RouteKind::kIdempotent);
  RawConnection caller(settings_.listen.callers.port);
  for (std::size_t n = 0; n < broken.size(); ++n) {
    caller.Send(Request("q1"));
    EXPECT_THAT(caller.ReadUntil("\"}"), StartsWith("HTTP/1.1 502"));
  }
  caller.Send(Request("q1"));
  EXPECT_THAT(caller.ReadUntil("sound"), StartsWith("HTTP/1.1 200"));
}

class EarlyResponseTest
    : public BrokenResponseTest,
      public ::testing::WithParamInterface<std::tuple<RouteKind, bool>> {};

// The target responds before it has read the upload, sends a part of the body
// and resets the connection. Callers got that part as the complete body.
TEST_P(EarlyResponseTest, AResetDuringTheUploadIsNotTheEndOfTheBody) {
  const auto& [kind, with_linger] = GetParam();
  ScriptedTarget target([with_linger = with_linger](int fd) {
    ScriptedTarget::ReadHead(fd);
    ScriptedTarget::Write(
        fd, absl::StrCat("HTTP/1.1 200 OK\r\n", kIdAndSeal, "\r\n", kBody));
    // Unread bytes make the close a reset.
    if (!with_linger) return;
    const linger now{.l_onoff = 1, .l_linger = 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  });
  RouteConfig config = MakeConfig(kind);
  config.limits.max_body_bytes = kUploadBytes;
  StartInstances(1, config, {MakeTarget("t", target.port())});
  RawConnection caller(settings_.listen.callers.port);
  const std::string head = absl::StrCat(
      "POST /a/x HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key\r\n"
      "Wisteriareel-Request-Id: q1\r\nConnection: close\r\nContent-Length: ",
      kUploadBytes, "\r\n\r\n");
  caller.Send(absl::StrCat(head, std::string(kUploadBytes, 'x')));
  const std::string response = caller.ReadAll();
  if (kind == RouteKind::kStreaming) {
    EXPECT_THAT(response, Not(HasSubstr("\r\n0\r\n")));
    return;
  }
  EXPECT_THAT(response, StartsWith("HTTP/1.1 502"));
  EXPECT_THAT(response, Not(HasSubstr(kBodyMark)));
  EXPECT_THAT(response, Not(HasSubstr("not_run")));
}

INSTANTIATE_TEST_SUITE_P(AllKinds, EarlyResponseTest,
                         Combine(kAllKinds, ::testing::Bool()));

}  // namespace
}  // namespace wisteriareel
