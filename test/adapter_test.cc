#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "platform/load_client.h"
#include "platform/manifest_codec.h"
#include "platform/message_codec.h"
#include "platform/store_codec.h"
#include "platform/target_codec.h"
#include "src/runtime/head_writer.h"

namespace wisteriareel::platform {
namespace {

using ::testing::ElementsAre;
using ::testing::HasSubstr;
using ::testing::Not;
using ::testing::SizeIs;

TEST(LoadCodecTest, DecodesAReport) {
  const auto load = DecodeLoad(
      R"({"stage": "colocated", "queued": 2, "running": 3, "kv_used": 41000,
          "kv_total": 90000, "runs": [["a", 100, 0, 5], ["b", 900, 7, 5],
                                      ["c", 50, 0, 1], "x"]})");
  ASSERT_TRUE(load.has_value());
  EXPECT_EQ(*load, (TargetLoad{.queued = 2,
                               .running = 3,
                               .prefilling = 2,
                               .cache_used = Tokens(41000),
                               .cache_total = Tokens(90000)}));
}

TEST(LoadCodecTest, RejectsAMalformedReport) {
  for (const char* text :
       {"", "[]", "{}", R"({"queued": 1})",
        R"({"queued": "1", "running": 3, "kv_used": 1, "kv_total": 2})"}) {
    EXPECT_EQ(DecodeLoad(text), std::nullopt) << text;
  }
}

constexpr char kManifest[] = R"({
  "version": 7,
  "routes": [
    {"name": "r1", "host": "h.example", "prefix": "/a/", "kind": "streaming",
     "timeout_ms": 8000, "target_latency_ms": 600, "priority": 0,
     "traffic_split": [{"service": "s1", "weight": 90},
                       {"service": "s2", "weight": 10}],
     "attempts": 2, "public": false, "sticky": true, "resumable": true,
     "gap_aim_ms": 250},
    {"name": "r2", "host": "h.example", "prefix": "/b/", "service": "s2",
     "kind": "something new", "timeout_ms": 800}],
  "services": [
    {"name": "s1", "health_path": "/health", "max_connections": 370,
     "engine": {"slots": 64, "kv_capacity": 447736, "stride": 5}},
    {"name": "s2", "max_connections": 110}],
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
             "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
  "tenants": [{"name": "c", "api_keys": ["k1", "k2"], "priority": 1,
               "prepaid": 6114644}]})";

TEST(ManifestCodecTest, DecodesEveryField) {
  LastReason reason;
  const auto config = DecodeManifest(kManifest, &reason);
  ASSERT_TRUE(config.has_value()) << reason.detail();
  EXPECT_EQ(config->revision, Revision(7));
  ASSERT_THAT(config->routes, SizeIs(2));
  const Route& route = config->routes[0];
  EXPECT_EQ(route.kind, RouteKind::kStreaming);
  EXPECT_EQ(route.timeout, absl::Seconds(8));
  EXPECT_EQ(route.objective, absl::Milliseconds(600));
  EXPECT_EQ(route.pause_objective, absl::Milliseconds(250));
  EXPECT_EQ(route.attempts, 2);
  EXPECT_TRUE(route.resumable);
  EXPECT_THAT(route.services, SizeIs(2));
  EXPECT_EQ(config->services[0].engine->tokens_per_event, 5);
  EXPECT_FALSE(config->services[1].engine.has_value());
  EXPECT_EQ(config->customers[0].prepaid, Tokens(6114644));
  EXPECT_EQ(config->limits.header_timeout, absl::Seconds(3));
}

TEST(ManifestCodecTest, ARouteOfUnknownKindIsNotRetryable) {
  LastReason reason;
  const auto config = DecodeManifest(kManifest, &reason);
  EXPECT_EQ(config->routes[1].kind, RouteKind::kNonIdempotent);
  EXPECT_FALSE(config->routes[1].IsRetryable());
}

TEST(ManifestCodecTest, RejectsAMalformedManifest) {
  LastReason reason;
  EXPECT_EQ(DecodeManifest("{\"version\": 3}", &reason), std::nullopt);
  EXPECT_EQ(reason.reason(), Reason::kMalformed);
  EXPECT_EQ(DecodeManifest("no json", &reason), std::nullopt);
}

TEST(TargetCodecTest, DecodesATarget) {
  const auto entry = DecodeTarget(
      "i-1",
      R"({"service":"s","address":"10.0.0.9:8080","zone":"a","slots":64,
          "state":"draining","cold_remaining_ms":250,"born":1700000000000})");
  ASSERT_TRUE(entry.has_value());
  EXPECT_EQ(entry->address, (Endpoint{.host = "10.0.0.9", .port = 8080}));
  EXPECT_TRUE(entry->draining);
  EXPECT_EQ(entry->warm_up, absl::Milliseconds(250));
  EXPECT_EQ(entry->started_ms, 1700000000000);
}

TEST(TargetCodecTest, RejectsMalformedTargets) {
  for (const char* text :
       {"", "\xff\xfe", "[]", "{}", R"({"service":"s"})",
        R"({"service":1,"address":"h:1","zone":"a","slots":1,"state":"ready"})",
        R"({"service":"s","address":"h","zone":"a","slots":1,"state":"ready"})",
        R"({"service":"s","address":"h:1","zone":"a","slots":"x",
            "state":"ready"})",
        R"({"service":"s","address":"h:1","zone":"a","slots":1,
            "state":"resting"})"}) {
    EXPECT_EQ(DecodeTarget("i", text), std::nullopt) << text;
  }
}

std::string TargetWith(const std::string& name, const std::string& value) {
  const std::map<std::string, std::string> fields = {
      {"service", R"("s")"},
      {"address", R"("10.0.0.9:80")"},
      {"zone", R"("a")"},
      {"slots", "64"},
      {"state", R"("ready")"}};
  std::string text = absl::StrCat("{\"", name, "\":", value);
  for (const auto& [key, field] : fields) {
    if (key != name) absl::StrAppend(&text, ",\"", key, "\":", field);
  }
  return text + "}";
}

// Regression test: an instance sent requests to its own port when an address
// wasn't a number, and computed with whatever a number was cut to.
TEST(TargetCodecTest, AnOddEntryNamesNoTarget) {
  ASSERT_TRUE(DecodeTarget("i", TargetWith("slots", "64")).has_value());
  for (const auto& [name, value] :
       std::vector<std::pair<std::string, std::string>>{
           {"address", R"("a.example:80")"},
           {"address", R"("10.0.0.9:65536")"},
           {"address", R"("10.0.0.9:-1")"},
           {"address", R"("10.0.0.9:80x")"},
           {"address", R"("10.0.0.9:99999999999999999999")"},
           {"address", R"("10.0.0.999:80")"},
           {"address", R"("0.0.0.0:80")"},
           {"slots", "0"},
           {"slots", "-1"},
           {"slots", "4294967360"},
           {"slots", "1e999"},
           {"slots", "99999999999999999999999"},
           {"cold_remaining_ms", "1e999"},
           {"cold_remaining_ms", "1e300"},
           {"cold_remaining_ms", "-5"},
           {"cold_remaining_ms", "[]"},
           {"born", "1.5"},
           {"born", "18446744073709551615"},
           {"born", R"("x")"}}) {
    EXPECT_EQ(DecodeTarget("i", TargetWith(name, value)), std::nullopt)
        << name << " " << value;
  }
  EXPECT_EQ(DecodeTarget("a\r\nX: y", TargetWith("slots", "64")), std::nullopt);
  EXPECT_EQ(DecodeTarget("", TargetWith("slots", "64")), std::nullopt);
}

TEST(TargetCodecTest, ADeeplyNestedEntryIsRejected) {
  for (const char* open : {"[", "{\"a\":"}) {
    std::string nested;
    while (nested.size() < (64 << 10)) nested += open;
    EXPECT_EQ(DecodeTarget("i", nested), std::nullopt);
    EXPECT_EQ(DecodeTarget("i", TargetWith("x", nested)), std::nullopt);
    const std::string closed =
        std::string(30000, '[') + std::string(30000, ']');
    // The fields that are known are sound.
    EXPECT_TRUE(DecodeTarget("i", TargetWith("x", closed)).has_value());
  }
}

TEST(LoadCodecTest, AnOddReportIsRejected) {
  for (const char* text :
       {R"({"queued":1e300,"running":1,"kv_used":1,"kv_total":2})",
        R"({"queued":-1,"running":1,"kv_used":1,"kv_total":2})",
        R"({"queued":99999999999,"running":1,"kv_used":1,"kv_total":2})",
        R"({"queued":1,"running":1,"kv_used":1,"kv_total":1e999})"}) {
    EXPECT_EQ(DecodeLoad(text), std::nullopt) << text;
  }
}

// Regression test: one row of another type than expected made the whole listing
// malformed, so that instances didn't follow it any more.
TEST(StoreCodecTest, ARowOfOtherTypesLeavesTheOthersReadable) {
  const auto page = DecodeRows(R"({"ver":9,"rows":[
      {"table":1,"part":[],"key":{},"value":"eA==","ver":"x"},
      7, null, [], {"table":"t","part":"","key":"k","value":5,"ver":3},
      {"table":"t","part":"","key":"bad","value":"*","ver":4},
      {"table":"t","part":"","key":"good","value":"eA==","ver":5}]})",
                               0);
  ASSERT_TRUE(page.has_value());
  ASSERT_FALSE(page->rows.rows.empty());
  EXPECT_EQ(page->rows.rows.back().key.key, "good");
  EXPECT_EQ(page->rows.rows.back().value, "x");
}

TEST(StoreCodecTest, EncodesATransactionWithConditionsAndValues) {
  const StoreRequest request = EncodeCommit(
      {.conditions = {{.key = {"t", "p", "k"}, .version = {.number = 3}}},
       .writes = {{.key = {"t", "p", "k"}, .value = "v"},
                  {.key = {"t", "p", "gone"}}}},
      0);
  EXPECT_EQ(request.method, "POST");
  EXPECT_THAT(request.body, HasSubstr(R"("ver":3)"));
  EXPECT_THAT(request.body, HasSubstr(absl::Base64Escape("v")));
  EXPECT_THAT(request.body, HasSubstr(R"("key":"gone")"));
}

// A version of an earlier era may have been given to another row since.
TEST(StoreCodecTest, AConditionOnAVersionOfAnotherEraNeverHolds) {
  const StoreRequest request = EncodeCommit(
      {.conditions = {{.key = {"t", "p", "a"}, .version = {.era = 1}},
                      {.key = {"t", "p", "b"},
                       .version = {.era = 2, .number = 7}}}},
      /*era=*/2);
  EXPECT_THAT(request.body, HasSubstr(R"("ver":9007199254740991)"));
  EXPECT_THAT(request.body, HasSubstr(R"("ver":7)"));
}

// Zero stands for a store that states no era.
TEST(StoreCodecTest, DecodesAnEraFromZeroOn) {
  EXPECT_EQ(DecodeEra("0"), 1U);
  EXPECT_EQ(DecodeEra("12"), 13U);
  for (const char* text : {"", "-1", "1.5", "x", "1 2", "18446744073709551615",
                           "99999999999999999999999"}) {
    EXPECT_EQ(DecodeEra(text), std::nullopt) << text;
  }
}

TEST(StoreCodecTest, VersionsAreOfTheEraOfTheResponse) {
  const TableVersion expected{.era = 3, .number = 9};
  EXPECT_EQ(DecodeCommit(200, R"({"ver":9})", 3).version, expected);
  const auto page = DecodeRows(
      R"({"rows":[{"table":"t","part":"","key":"a","value":"eA==","ver":9}],
          "ver":9})",
      3);
  ASSERT_TRUE(page.has_value());
  EXPECT_EQ(page->rows.version, expected);
  EXPECT_EQ(page->rows.rows.at(0).version, expected);
}

TEST(StoreCodecTest, MapsEachCommitStatusToAnOutcome) {
  EXPECT_EQ(DecodeCommit(200, R"({"ver":9,"now_ms":5})", 0).outcome,
            CommitOutcome::kCommitted);
  const CommitReply conflict = DecodeCommit(
      412,
      R"({"rows":[{"table":"t","part":"p","key":"k","value":"dg==","ver":4},
                  {"table":"t","part":"p","key":"x","ver":0}],"now_ms":5})",
      0);
  EXPECT_EQ(conflict.outcome, CommitOutcome::kConflict);
  ASSERT_THAT(conflict.current, SizeIs(1));
  EXPECT_EQ(conflict.current[0].value, "v");
  EXPECT_EQ(conflict.platform_ms, 5);
  EXPECT_EQ(DecodeCommit(503, "", 0).outcome, CommitOutcome::kRejected);
  EXPECT_EQ(DecodeCommit(429, "", 0).outcome, CommitOutcome::kRejected);
  EXPECT_EQ(DecodeCommit(500, "", 0).outcome, CommitOutcome::kUnknown);
  EXPECT_EQ(DecodeCommit(200, "{", 0).outcome, CommitOutcome::kUnknown);
}

TEST(StoreCodecTest, SkipsRowsWithMalformedValues) {
  const auto page = DecodeRows(
      R"({"rows":[{"table":"t","part":"","key":"a","value":"!!","ver":1},
                  {"table":"t","part":"","key":"b","removed":true,"ver":2}],
          "ver":2,"more_pages":true})",
      0);
  ASSERT_TRUE(page.has_value());
  ASSERT_THAT(page->rows.rows, SizeIs(1));
  EXPECT_TRUE(page->rows.rows[0].deleted);
  EXPECT_TRUE(page->more);
  EXPECT_EQ(DecodeRows("{}", 0), std::nullopt);
}

RequestHead MakeCallerRequestHead() {
  RequestHead head;
  head.method_string("POST");
  head.target("/a/x?q=1");
  head.set("Host", "h.example");
  head.set("Wisteriareel-Request-Id", "9c41");
  head.set("Wisteriareel-Token-Counts", "1460,80");
  head.set("Wisteriareel-Prompt-Prefix", "5c1e:800,e440:250");
  head.set("Wisteriareel-Deadline-Ms", "6000");
  head.set("X-Api-Key", "secret");
  return head;
}

TEST(MessageCodecTest, DecodesARequest) {
  LastReason reason;
  const auto info =
      MessageCodec().DecodeRequest(MakeCallerRequestHead(), &reason);
  ASSERT_TRUE(info.has_value());
  EXPECT_EQ(info->MaxTokens(), Tokens(1540));
  EXPECT_EQ(info->caller_timeout, absl::Seconds(6));
  EXPECT_THAT(info->prompt_segments,
              ElementsAre(PromptSegment{.id = "5c1e", .tokens = Tokens(800)},
                          PromptSegment{.id = "e440", .tokens = Tokens(250)}));
}

TEST(MessageCodecTest, RejectsMalformedRequestHeaders) {
  for (const auto& [name, value] :
       std::vector<std::pair<std::string, std::string>>{
           {"Wisteriareel-Token-Counts", "12"},
           {"Wisteriareel-Token-Counts", "-1,5"},
           {"Wisteriareel-Prompt-Prefix", "abc"},
           {"Wisteriareel-Deadline-Ms", "soon"},
           {"Last-Event-Id", "x"}}) {
    RequestHead head = MakeCallerRequestHead();
    head.set(name, value);
    LastReason reason;
    EXPECT_EQ(MessageCodec().DecodeRequest(head, &reason), std::nullopt)
        << name;
  }
  RequestHead head = MakeCallerRequestHead();
  head.insert("Wisteriareel-Request-Id", "other");
  LastReason reason;
  EXPECT_EQ(MessageCodec().DecodeRequest(head, &reason), std::nullopt);
}

TEST(MessageCodecTest, RouterHeadersReplaceThoseOfTheCaller) {
  RequestHead head = MakeCallerRequestHead();
  for (const char* name :
       {"Wisteriareel-Tenant", "Wisteriareel-Hold", "Wisteriareel-Pin-Ms",
        "Wisteriareel-Kv-Backup", "Kv-From", "Kv-Fetch",
        "Wisteriareel-Expect-Instance", "Wisteriareel-Request-Urgency"}) {
    head.set(name, "forged");
  }
  head.set("Connection", "close, X-Hop");
  head.set("X-Hop", "1");
  const RequestHead sent =
      MessageCodec().EncodeRequest(head, {},
                                   {.target = {.id = TargetId("i-7")},
                                    .resume_after = 12,
                                    .time_left = absl::Milliseconds(1500),
                                    .urgency = 3,
                                    .customer = CustomerId("c")});
  const std::string text = WriteHead(sent, {.length = 0});
  EXPECT_THAT(text, Not(HasSubstr("forged")));
  EXPECT_THAT(text, Not(HasSubstr("secret")));
  EXPECT_THAT(text, Not(HasSubstr("X-Hop")));
  EXPECT_THAT(text, HasSubstr("POST /a/x?q=1 HTTP/1.1\r\n"));
  EXPECT_THAT(text, HasSubstr("Wisteriareel-Expect-Instance: i-7\r\n"));
  EXPECT_THAT(text, HasSubstr("Wisteriareel-Tenant: c\r\n"));
  EXPECT_THAT(text, HasSubstr("Wisteriareel-Deadline-Ms: 1500\r\n"));
  EXPECT_THAT(text, HasSubstr("Last-Event-Id: 12\r\n"));
  EXPECT_THAT(text, HasSubstr("Wisteriareel-Prompt-Prefix: 5c1e:800,"));
}

TEST(MessageCodecTest, RecognizesAResponseToAnotherRequest) {
  ResponseHead head;
  head.result(200);
  EXPECT_TRUE(MessageCodec().IsResponseTo(head, RequestId("a")));
  head.set("Wisteriareel-Request-Id", "a");
  EXPECT_TRUE(MessageCodec().IsResponseTo(head, RequestId("a")));
  EXPECT_FALSE(MessageCodec().IsResponseTo(head, RequestId("b")));
}

TEST(MessageCodecTest, DecodesWhatAServerSaysAboutFurtherRequests) {
  const MessageCodec codec;
  ResponseHead head;
  head.result(503);
  EXPECT_FALSE(codec.DecodeResponse(head).leaving);
  EXPECT_EQ(codec.DecodeResponse(head).retry_after, std::nullopt);
  head.set("Server-Leaving", "1");
  head.set("Retry-After", "1.5");
  EXPECT_TRUE(codec.DecodeResponse(head).leaving);
  EXPECT_EQ(codec.DecodeResponse(head).retry_after, absl::Milliseconds(1500));
  for (const char* text : {"-1", "x", "", "nan"}) {
    head.set("Retry-After", text);
    EXPECT_EQ(codec.DecodeResponse(head).retry_after, std::nullopt) << text;
  }
  head.set("Server-Leaving", "0");
  EXPECT_FALSE(codec.DecodeResponse(head).leaving);
}

TEST(MessageCodecTest, DecodesTheLimitThatAServerNames) {
  const MessageCodec codec;
  ResponseHead head;
  head.result(200);
  EXPECT_EQ(codec.DecodeResponse(head).rate_limit, std::nullopt);
  EXPECT_FALSE(codec.DecodeResponse(head).has_malformed_rate_limit);
  head.set("server-limit", "1.25");
  EXPECT_EQ(codec.DecodeResponse(head).rate_limit, 1.25);
  EXPECT_FALSE(codec.DecodeResponse(head).has_malformed_rate_limit);
  head.result(503);
  head.set("Server-Limit", "0");
  EXPECT_EQ(codec.DecodeResponse(head).rate_limit, 0);
}

TEST(MessageCodecTest, AMalformedLimitIsToldApartFromNone) {
  const MessageCodec codec;
  ResponseHead head;
  head.result(200);
  for (const char* text :
       {"-1", "x", "", "nan", "inf", "-inf", "1e999", "2 3", "2,3", "2/s"}) {
    head.set("Server-Limit", text);
    EXPECT_EQ(codec.DecodeResponse(head).rate_limit, std::nullopt) << text;
    EXPECT_TRUE(codec.DecodeResponse(head).has_malformed_rate_limit) << text;
  }
  head.set("Server-Limit", "2");
  head.insert("Server-Limit", "3");
  EXPECT_EQ(codec.DecodeResponse(head).rate_limit, std::nullopt);
  EXPECT_TRUE(codec.DecodeResponse(head).has_malformed_rate_limit);
}

TEST(MessageCodecTest, ARefusalStatesRetryAfter) {
  const ResponseHead head = MessageCodec().EncodeRefusal(
      {.status = 503, .retry_after = absl::Milliseconds(250)}, RequestId("a"));
  EXPECT_EQ(head["Retry-After"], "0.250");
  EXPECT_EQ(head.count("Wisteriareel-Response-Seal"), 0U);
}

}  // namespace
}  // namespace wisteriareel::platform
