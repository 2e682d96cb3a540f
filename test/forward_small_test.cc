#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "src/forward/event_splitter.h"
#include "src/forward/request_router.h"
#include "src/forward/retry_limiter.h"

namespace wisteriareel {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
const ServiceId kService("records");

TEST(RetryLimiterTest, AllInstancesTogetherStayWithinTheLimit) {
  constexpr int instances = 8;
  const RetryLimiterOptions options{
      .ratio = 0.2, .slack = 56, .window = absl::Seconds(10)};
  std::vector<RetryLimiter> limiters(instances, RetryLimiter(options));
  int requests = 0;
  int retries = 0;
  for (RetryLimiter& instance : limiters) {
    instance.SetInstances(instances);
    for (int n = 0; n < 100; ++n) {
      const absl::Time now = kStart + absl::Milliseconds(90) * n;
      instance.RecordRequest(kService, now);
      ++requests;
      // Every request fails and needs a retry.
      if (instance.TryAcquire(kService, now)) ++retries;
    }
  }
  EXPECT_LE(retries, 0.2 * requests + 56);
  EXPECT_GT(retries, 0);
}

TEST(RetryLimiterTest, RetriesAreAllowedAgainAfterTheWindow) {
  RetryLimiter limiter({.ratio = 0, .slack = 4, .window = absl::Seconds(10)});
  int acquired = 0;
  while (limiter.TryAcquire(kService, kStart)) ++acquired;
  EXPECT_FALSE(limiter.TryAcquire(kService, kStart + absl::Seconds(9)));
  EXPECT_TRUE(limiter.TryAcquire(kService, kStart + absl::Seconds(10)));
  EXPECT_GT(acquired, 0);
}

TEST(EventSplitterTest, SplitsAtBlankLinesForAnyDivisionOfTheBytes) {
  const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nda";
  for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
    EventSplitter splitter;
    std::vector<StreamEvent> events = splitter.Add(stream.substr(0, cut));
    for (const StreamEvent& event : splitter.Add(stream.substr(cut))) {
      events.push_back(event);
    }
    ASSERT_EQ(events.size(), 2U) << cut;
    EXPECT_EQ(events[0], (StreamEvent{.bytes = "id: 1\ndata: a\n\n", .id = 1}));
    EXPECT_EQ(events[1].id, 2);
    EXPECT_TRUE(splitter.HasPartial());
  }
}

RouteConfig MakeConfig(std::uint64_t revision) {
  return {.revision = Revision(revision),
          .routes = {{.name = "outer",
                      .host = "h.example",
                      .prefix = "/a/",
                      .services = {{.service = kService}}},
                     {.name = "inner",
                      .host = "h.example",
                      .prefix = "/a/b/",
                      .is_public = true,
                      .services = {{.service = kService}}}},
          .services = {{.id = kService}},
          .customers = {{.id = CustomerId("c"), .api_keys = {"key"}}}};
}

std::shared_ptr<const RouteTable> MakeTable(RouteConfig config) {
  return std::make_shared<const RouteTable>(std::move(config));
}

RequestInfo Info(const std::string& path, const std::string& key) {
  return {.id = RequestId("r"),
          .host = "H.example:80",
          .path = path,
          .api_key = key};
}

int StatusOf(const std::variant<ExchangeRequest, Refusal>& admitted) {
  const Refusal* refusal = std::get_if<Refusal>(&admitted);
  return refusal == nullptr ? 200 : refusal->status;
}

TEST(RequestRouterTest, WithoutAConfigurationRequestsAreRefusedAsRetryable) {
  const RequestRouter router({});
  const auto admitted = router.Admit(Info("/a/x", "key"), kStart);
  EXPECT_EQ(StatusOf(admitted), 503);
  EXPECT_EQ(std::get<Refusal>(admitted).verdict, Verdict::kNotRun);
}

TEST(RequestRouterTest, TheLongestPrefixGetsTheRequest) {
  RequestRouter router({});
  router.Apply(MakeTable(MakeConfig(1)), kStart);
  const auto inner = router.Admit(Info("/a/b/c?q=/a/", ""), kStart);
  ASSERT_EQ(StatusOf(inner), 200);
  EXPECT_EQ(std::get<ExchangeRequest>(inner).route->name, "inner");
  const auto outer = router.Admit(Info("/a/bc", "key"), kStart);
  ASSERT_EQ(StatusOf(outer), 200);
  EXPECT_EQ(std::get<ExchangeRequest>(outer).route->name, "outer");
  EXPECT_EQ(std::get<ExchangeRequest>(outer).customer, CustomerId("c"));
}

TEST(RequestRouterTest, UnknownKeysAndRoutesAreRefused) {
  RequestRouter router({});
  router.Apply(MakeTable(MakeConfig(1)), kStart);
  EXPECT_EQ(StatusOf(router.Admit(Info("/a/x", "other"), kStart)), 401);
  EXPECT_EQ(StatusOf(router.Admit(Info("/x/", "key"), kStart)), 404);
}

TEST(RequestRouterTest,
     AnOutdatedConfigurationRefusesUnknownRequestsAsRetryable) {
  RequestRouter router({});
  router.Apply(MakeTable(MakeConfig(1)), kStart);
  const absl::Time later = kStart + absl::Seconds(30);
  EXPECT_EQ(StatusOf(router.Admit(Info("/a/x", "other"), later)), 503);
  EXPECT_EQ(StatusOf(router.Admit(Info("/x/", "key"), later)), 503);
  router.Confirm(later);
  EXPECT_EQ(StatusOf(router.Admit(Info("/x/", "key"), later)), 404);
}

TEST(RequestRouterTest, AnOlderRevisionIsNeverApplied) {
  RequestRouter router({});
  EXPECT_TRUE(router.Apply(MakeTable(MakeConfig(5)), kStart));
  EXPECT_FALSE(router.Apply(MakeTable(MakeConfig(4)), kStart));
  EXPECT_FALSE(router.Apply(MakeTable(MakeConfig(5)), kStart));
  EXPECT_EQ(router.table()->config().revision, Revision(5));
  EXPECT_TRUE(router.Apply(MakeTable(MakeConfig(9)), kStart));
}

TEST(RequestRouterTest, RequestsAreSplitByWeight) {
  RouteConfig config = MakeConfig(1);
  config.routes[0].services = {{.service = ServiceId("x"), .weight = 90},
                               {.service = ServiceId("y"), .weight = 10}};
  RequestRouter router({});
  router.Apply(MakeTable(config), kStart);
  int to_y = 0;
  for (int n = 0; n < 1000; ++n) {
    RequestInfo info = Info("/a/x", "key");
    info.id = RequestId(absl::StrCat("r", n));
    const auto admitted = router.Admit(info, kStart);
    if (std::get<ExchangeRequest>(admitted).service == ServiceId("y")) ++to_y;
  }
  EXPECT_NEAR(to_y, 100, 40);
}

}  // namespace
}  // namespace wisteriareel
