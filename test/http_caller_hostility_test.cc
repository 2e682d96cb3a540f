#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "rapidcheck/gtest.h"
#include "test/caller_server_fixture.h"

// Tests the caller server against malicious and faulty clients: malformed
// requests, slow clients and too many connections.
namespace wisteriareel {
namespace {

using testing::HasSubstr;
using testing::Not;
using testing::StartsWith;

constexpr std::size_t kFloodBytes = 64 << 10;

struct HostileRequest {
  const char* name;
  std::string bytes;
  const char* status;
};

class HostileRequestTest : public CallerServerTest {
 protected:
  static std::string With(const std::string& member) {
    return absl::StrCat(
        R"({"model":"m","messages":[{"role":"user","content":"hi"}],)", member,
        "}");
  }

  static std::vector<HostileRequest> Requests() {
    const std::string deep(100, '[');
    const std::string head =
        "POST /x HTTP/1.1\r\nAuthorization: Bearer good\r\n";
    return {
        {"no key", "GET /x HTTP/1.1\r\n\r\n", "401"},
        {"wrong key", Post("/x", "", "", "wrong"), "401"},
        {"empty key", Post("/x", "", "", ""), "401"},
        {"huge key", Post("/x", "", "", std::string(4000, 'k')), "401"},
        {"revoked key", Post("/x", "", "", "old"), "401"},
        {"suspended", Post("/x", "", "", "idle"), "403"},
        {"two keys", Post("/x", "", "Authorization: Bearer bad\r\n"), "400"},
        {"two idempotency keys",
         Post("/x", "", "Idempotency-Key: a\r\nIdempotency-Key: b\r\n"), "400"},
        {"long idempotency key",
         Post("/x", "", "Idempotency-Key: " + std::string(300, 'k') + "\r\n"),
         "400"},
        {"two lengths", Post("/x", "abc", "Content-Length: 1\r\n"), "400"},
        {"length and coding",
         Post("/x", "abc", "Transfer-Encoding: chunked\r\n"), "400"},
        {"unknown coding", head + "Transfer-Encoding: identity\r\n\r\n", "400"},
        {"negative length", head + "Content-Length: -1\r\n\r\n", "400"},
        {"no number", head + "Content-Length: 0x10\r\n\r\n", "400"},
        {"endless length",
         head + "Content-Length: 99999999999999999999\r\n\r\n", "400"},
        {"large length", head + "Content-Length: 999999999\r\n\r\n", "413"},
        {"compressed", Post("/x", "abc", "Content-Encoding: gzip\r\n"), "415"},
        {"bad timeout", Post("/x", "", "X-Request-Timeout-Ms: -5\r\n"), "400"},
        {"bad priority", Post("/x", "", "X-Request-Priority: top\r\n"), "400"},
        {"parent path", Post("/a/../b", ""), "400"},
        {"long path", Post("/" + std::string(4000, 'a'), ""), "414"},
        {"no request", "\x01\x02\x03\r\n\r\n", "400"},
        {"not POST",
         "GET /v1/chat/completions HTTP/1.1\r\nAuthorization: Bearer good\r\n"
         "\r\n",
         "405"},
        {"not JSON type", Chat(kChatBody, "Content-Type: text/plain\r\n"),
         "415"},
        {"no JSON", Chat("{"), "400"},
        {"no object", Chat("[]"), "400"},
        {"not UTF-8", Chat(With("\"x\":\"\xff\"")), "400"},
        {"deep", Chat(With("\"x\":" + deep + std::string(100, ']'))), "400"},
        {"deep and open", Chat(std::string(100'000, '[')), "400"},
        {"key twice", Chat(With(R"("max_tokens":1,"max_tokens":9)")), "400"},
        {"two limits",
         Chat(With(R"("max_tokens":1,"max_completion_tokens":9)")), "400"},
        {"limit too large", Chat(With(R"("max_tokens":1e30)")), "400"},
        {"limit over 64 bits",
         Chat(With(R"("max_tokens":99999999999999999999)")), "400"},
        {"negative limit", Chat(With(R"("max_tokens":-1)")), "400"},
        {"limit zero", Chat(With(R"("max_tokens":0)")), "400"},
        {"limit as text", Chat(With(R"("max_tokens":"5")")), "400"},
        {"many choices", Chat(With(R"("n":1000)")), "400"},
        {"stream as text", Chat(With(R"("stream":"yes")")), "400"},
        {"no model", Chat(R"({"messages":[{"role":"user"}]})"), "400"},
        {"no messages", Chat(R"({"model":"m","messages":[]})"), "400"},
        {"image",
         Chat(R"({"model":"m","messages":[{"role":"user","content":[)"
              R"({"type":"image_url"}]}]})"),
         "400"},
        {"large head",
         head + "X-Large: " + std::string(7000, 'x') +
             "\r\nX-Larger: " + std::string(40'000, 'x') + "\r\n\r\n",
         "431"},
    };
  }
};

TEST_F(HostileRequestTest, IsRefusedWithAReasonAndNeverHandled) {
  Start();
  for (const HostileRequest& request : Requests()) {
    SCOPED_TRACE(request.name);
    const std::string response = Exchange(request.bytes);
    EXPECT_THAT(response,
                StartsWith(absl::StrCat("HTTP/1.1 ", request.status)));
    EXPECT_THAT(response, HasSubstr("X-Request-Id: "));
    EXPECT_THAT(response, HasSubstr("\"verdict\":\"not_run\""));
    EXPECT_THAT(response, HasSubstr("\"reason\":\""));
  }
  EXPECT_EQ(handler_.calls, 0);
}

// A valid request with some bytes overwritten is either handled or refused as
// the client's error.
RC_GTEST_FIXTURE_PROP(HostileRequestTest,
                      CorruptedRequestsNeverCauseAServerError, ()) {
  Start();
  std::string request = Chat(kChatBody, "Connection: close\r\n");
  const auto positions = *rc::gen::container<std::vector<std::size_t>>(
      rc::gen::inRange<std::size_t>(0, request.size()));
  for (const std::size_t position : positions) {
    request[position] = *rc::gen::arbitrary<char>();
  }
  RawConnection connection(server_->port());
  connection.Send(request);
  shutdown(connection.fd(), SHUT_WR);
  const std::string response = connection.ReadAll();
  const bool ran = handler_.calls > 0;
  RC_ASSERT(response.empty() || response.starts_with("HTTP/1.1 2") == ran);
  RC_ASSERT(!response.starts_with("HTTP/1.1 5"));
}

TEST_F(CallerServerTest, DropsBytesAfterAMalformedRequest) {
  Start();
  const std::string call = Chat(kChatBody);
  for (const char* broken :
       {"GET /x HTTP/1.1\r\nno colon\r\n\r\n", "garbage\r\n\r\n",
        "POST /x HTTP/1.1\r\nContent-Length: 9\r\n\r\n"}) {
    SCOPED_TRACE(broken);
    EXPECT_THAT(Exchange(absl::StrCat(broken, call)), StartsWith("HTTP/1.1 4"));
  }
  EXPECT_EQ(handler_.calls, 0);
}

TEST_F(CallerServerTest, ClosesConnectionsThatNeverCompleteTheHead) {
  options_.listener.limits.head_timeout = absl::Milliseconds(50);
  // Without a byte limit, only the timeout can end the request.
  options_.listener.limits.max_head_bytes = UINT64_MAX;
  Start();
  // The first client makes the server wait for bytes; the second always has
  // bytes ready, so that the server never waits.
  for (const std::size_t size : {std::size_t{1}, kFloodBytes}) {
    RawConnection connection(server_->port());
    const std::string bytes(size, 'G');
    while (connection.Send(bytes)) {
    }
  }
  EXPECT_EQ(handler_.calls, 0);
}

TEST_F(CallerServerTest, ClosesConnectionsThatNeverCompleteTheBody) {
  options_.listener.limits.body_timeout = absl::Milliseconds(50);
  Start();
  const std::string request = Chat(kChatBody);
  const std::string response = Exchange(request.substr(0, request.size() - 1));
  EXPECT_THAT(response, Not(StartsWith("HTTP/1.1 200")));
  EXPECT_EQ(handler_.calls, 0);
}

TEST_F(CallerServerTest, RefusesConnectionsBeyondTheLimitAndServesThemLater) {
  options_.listener.limits.max_connections = 2;
  options_.listener.limits.keep_alive = absl::Seconds(10);
  options_.listener.limits.keep_alive_share = 1.0;
  Start();
  auto first = std::make_unique<RawConnection>(server_->port());
  RawConnection second(server_->port());
  first->Send(Chat(kChatBody));
  second.Send(Chat(kChatBody));
  EXPECT_THAT(first->ReadUntil("true}"), StartsWith("HTTP/1.1 200"));
  EXPECT_THAT(second.ReadUntil("true}"), StartsWith("HTTP/1.1 200"));
  const std::string refused = Exchange("");
  EXPECT_THAT(refused, StartsWith("HTTP/1.1 503"));
  EXPECT_THAT(refused, HasSubstr("\"reason\":\"connection_limit\""));
  first.reset();
  std::string response;
  do {
    response = Exchange(Chat(kChatBody, "Connection: close\r\n"));
  } while (response.starts_with("HTTP/1.1 503"));
  EXPECT_THAT(response, StartsWith("HTTP/1.1 200"));
}

TEST_F(CallerServerTest, ClosesIdleConnectionsAboveTheKeepAliveShare) {
  options_.listener.limits.max_connections = 4;
  options_.listener.limits.keep_alive = absl::Hours(1);
  options_.listener.limits.keep_alive_share = 0.5;
  Start();
  RawConnection first(server_->port());
  RawConnection second(server_->port());
  for (RawConnection* connection : {&first, &second}) {
    connection->Send(Chat(kChatBody));
    EXPECT_THAT(connection->ReadUntil("true}"), StartsWith("HTTP/1.1 200"));
  }
  RawConnection third(server_->port());
  EXPECT_EQ(first.ReadAll(), "");
  EXPECT_TRUE(first.ended());
  EXPECT_EQ(second.ReadAll(), "");
  EXPECT_TRUE(second.ended());
}

}  // namespace
}  // namespace wisteriareel
