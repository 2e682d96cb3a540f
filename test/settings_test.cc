#include "src/settings/settings.h"

#include <algorithm>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"

namespace wisteriareel {
namespace {

using testing::UnorderedElementsAre;

constexpr char kDigest[] =
    "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";

std::string GoodSettings() {
  return absl::StrReplaceAll(R"({
  // One instance.
  "instance": {"id": "entry-1", "region": "muscat", "zone": "muscat-a"},
  "listen": {
    "callers": {"host": "127.0.0.1", "port": 8080},
    "operators": {"host": "127.0.0.1", "port": 8081},
    "peers": {"host": "127.0.0.1", "port": 8082}
  },
  "platform": {
    "table": {"host": "127.0.0.1", "port": 9000},
    "object_store": {"host": "127.0.0.1", "port": 9000},
    "instance_list": {"host": "127.0.0.1", "port": 9000},
    "timeout_ms": 1500
  },
  "peers": {"secret": "0123456789abcdef"},  /* shared */
  "operators": [
    {"name": "night", "role": "read", "token_sha256": "DIGEST"}
  ]
})",
                             {{"DIGEST", kDigest}});
}

// Returns "path: expectation" for each problem of `text`.
std::vector<std::string> ProblemsOf(const std::string& text) {
  std::vector<SettingsProblem> problems;
  const std::optional<Settings> settings = ParseSettings(text, &problems);
  EXPECT_EQ(settings.has_value(), problems.empty());
  std::vector<std::string> lines;
  lines.reserve(problems.size());
  for (const SettingsProblem& it : problems) {
    lines.push_back(absl::StrCat(it.path, ": ", it.expectation));
  }
  return lines;
}

std::string Changed(const std::string& from, const std::string& to) {
  std::string text = absl::StrReplaceAll(GoodSettings(), {{from, to}});
  EXPECT_NE(text, GoodSettings()) << "text not found: " << from;
  return text;
}

TEST(SettingsTest, ReadsFieldsAndKeepsDefaultsOfTheRest) {
  std::vector<SettingsProblem> problems;
  const std::optional<Settings> settings =
      ParseSettings(GoodSettings(), &problems);
  ASSERT_TRUE(settings.has_value()) << FormatProblems(problems);
  EXPECT_EQ(settings->instance.zone, ZoneId("muscat-a"));
  EXPECT_EQ(settings->listen.operators, (Endpoint{"127.0.0.1", 8081}));
  EXPECT_EQ(settings->platform.timeout, absl::Milliseconds(1500));
  EXPECT_EQ(settings->operators.at(0).role, OperatorRole::kRead);
  EXPECT_EQ(settings->limits, LimitSettings{});
}

TEST(SettingsTest, ListsAllProblemsOfAFileAtOnce) {
  const std::string text = R"({
    "instance": {"id": "a b", "region": 7, "zone": "z", "rack": "r"},
    "listen": {
      "callers": {"host": "example.org", "port": 8080},
      "operators": {"host": "127.0.0.1", "port": 70000},
      "peers": {"host": "127.0.0.1"}
    },
    "peers": {"secret": "short", "heartbeat_ms": 2000, "silence_ms": 3000},
    "operators": [],
    "limits": {"max_body_bytes": 1.5},
    "log": {"least": "loud"},
    "tls": {"callers": {"certificate_file": "a.pem"}}
  })";
  EXPECT_THAT(
      ProblemsOf(text),
      UnorderedElementsAre(
          "$.instance.id: 1 to 128 characters of [A-Za-z0-9._-]",
          "$.instance.region: 1 to 128 characters of [A-Za-z0-9._-]",
          "$.instance.rack: no such field",
          "$.listen.callers.host: an IP address",
          "$.listen.operators.port: an integer from 1 to 65535",
          "$.listen.peers.port: an integer from 1 to 65535",
          "$.platform: an object",
          "$.peers.secret: a secret of at least 16 characters",
          "$.peers.silence_ms: at least twice heartbeat_ms",
          "$.operators: a list of at least one object",
          "$.limits.max_body_bytes: an integer from 1024 to 268435456",
          "$.log.least: one of \"debug\", \"info\", \"warning\", \"error\"",
          "$.tls.callers: certificate_file and key_file together"));
}

TEST(SettingsTest, RefusesTwoListenersOnOneAddress) {
  EXPECT_THAT(
      ProblemsOf(Changed("8081", "8080")),
      UnorderedElementsAre(
          "$.listen.operators: an address that no other listener uses"));
}

TEST(SettingsTest, RefusesAGrantLeaseShorterThanTheGrantHorizon) {
  EXPECT_THAT(ProblemsOf(Changed("\"peers\": {\"secret\"",
                                 R"("budgets": {"grant_lease_ms": 60000},
                  "peers": {"secret")")),
              UnorderedElementsAre(
                  "$.budgets.grant_lease_ms: at least grant_horizon_ms"));
}

TEST(SettingsTest, RefusesPeerCertificatesWithoutTheirAuthority) {
  EXPECT_THAT(ProblemsOf(Changed("\"peers\": {\"secret\"", R"("tls": {"peers":
        {"certificate_file": "/a.pem", "key_file": "/a.key"}},
        "peers": {"secret")")),
              UnorderedElementsAre(
                  "$.tls.peers: a ca_file in addition to certificate_file"));
}

TEST(SettingsTest, RefusesDuplicateKeysInOneObject) {
  EXPECT_THAT(ProblemsOf(Changed("\"timeout_ms\": 1500",
                                 "\"timeout_ms\": 1500, \"timeout_ms\": 2000")),
              UnorderedElementsAre("$..timeout_ms: each key only once"));
}

TEST(SettingsTest, RefusesTwoOperatorsWithOneToken) {
  const std::string entry = absl::StrCat(
      "{\"name\": \"night\", \"role\": \"read\", \"token_sha256\": \"", kDigest,
      "\"}");
  EXPECT_THAT(
      ProblemsOf(Changed(entry, entry + "," + entry)),
      UnorderedElementsAre("$.operators[1].name: a unique name",
                           "$.operators[1].token_sha256: a unique token"));
}

TEST(SettingsTest, NeverShowsASecretInAProblem) {
  std::vector<SettingsProblem> problems;
  ParseSettings(Changed("0123456789abcdef", "hunter2"), &problems);
  ParseSettings(Changed("0123456789abcdef\"", "hunter2"), &problems);
  ASSERT_EQ(problems.size(), 2u) << FormatProblems(problems);
  EXPECT_THAT(FormatProblems(problems),
              testing::Not(testing::HasSubstr("hunter2")));
}

TEST(SettingsTest, ReportsThePathOfAnUnreadableFile) {
  std::vector<SettingsProblem> problems;
  EXPECT_FALSE(LoadSettings("/nonexistent/settings.json", &problems));
  ASSERT_EQ(problems.size(), 1u);
  EXPECT_EQ(problems[0].found, "/nonexistent/settings.json");
}

}  // namespace
}  // namespace wisteriareel
