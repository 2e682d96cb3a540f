#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/string_view.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "src/observability/histogram_counters.h"
#include "src/observability/log4cxx_event_log.h"

namespace wisteriareel {
namespace {

using testing::HasSubstr;

constexpr int kThreads = 12;
constexpr int kRounds = 1000;
constexpr double kTotal = kThreads * kRounds;

class CountersPageTest : public testing::Test {
 protected:
  // Returns the value of the metric `name`, or -1 if it isn't present.
  double ValueOf(const std::string& name) const {
    const std::string page = counters_.FormatMetrics();
    for (const absl::string_view line : absl::StrSplit(page, '\n')) {
      if (!absl::StartsWith(line, absl::StrCat(name, " "))) continue;
      double value = -1;
      if (absl::SimpleAtod(line.substr(name.size() + 1), &value)) return value;
    }
    return -1;
  }

  HistogramCounters counters_;
};

TEST_F(CountersPageTest, ShowsEveryReasonEvenBeforeItOccurs) {
  int reasons = 0;
  for (int n = 1; n < 1000; ++n) {
    const std::string_view name = ReasonName(static_cast<Reason>(n));
    if (name == "unknown") continue;
    ++reasons;
    const std::string label(name);
    EXPECT_EQ(ValueOf(absl::StrCat("wisteriareel_refused_total{reason=\"",
                                   label, "\"}")),
              0)
        << label;
    EXPECT_EQ(ValueOf(absl::StrCat("wisteriareel_retried_total{reason=\"",
                                   label, "\"}")),
              0)
        << label;
  }
  EXPECT_GT(reasons, 40);
}

TEST_F(CountersPageTest, CountsExactlyAcrossThreads) {
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int t = 0; t < kThreads; ++t) {
    threads.emplace_back([this] {
      for (int n = 0; n < kRounds; ++n) {
        counters_.Refused(Reason::kQueueFull);
        counters_.Retried(Reason::kStreamStalled);
        counters_.Add(Counter::kTokensBilled, 3);
        counters_.Record(Timing::kRequest, absl::Milliseconds(n));
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  EXPECT_EQ(ValueOf("wisteriareel_refused_total{reason=\"queue_full\"}"),
            kTotal);
  EXPECT_EQ(ValueOf("wisteriareel_retried_total{reason=\"stream_stalled\"}"),
            kTotal);
  EXPECT_EQ(ValueOf("wisteriareel_tokens_billed_total"), 3 * kTotal);
  EXPECT_EQ(ValueOf("wisteriareel_request_seconds_count"), kTotal);
  EXPECT_EQ(ValueOf("wisteriareel_request_seconds_bucket{le=\"+Inf\"}"),
            kTotal);
}

TEST_F(CountersPageTest, BucketsAreCumulativeAndIncludeOutliers) {
  counters_.Record(Timing::kFirstToken, absl::ZeroDuration());
  counters_.Record(Timing::kFirstToken, absl::Seconds(5));
  counters_.Record(Timing::kFirstToken, absl::Hours(5));
  const std::string name = "wisteriareel_first_token_seconds";
  EXPECT_EQ(ValueOf(name + "_bucket{le=\"0.0001\"}"), 1);
  EXPECT_EQ(ValueOf(name + "_bucket{le=\"1\"}"), 1);
  EXPECT_EQ(ValueOf(name + "_bucket{le=\"10\"}"), 2);
  EXPECT_EQ(ValueOf(name + "_bucket{le=\"1000\"}"), 2);
  EXPECT_EQ(ValueOf(name + "_bucket{le=\"+Inf\"}"), 3);
  EXPECT_EQ(ValueOf(name + "_sum"), 18005);
}

TEST_F(CountersPageTest, EveryMetricHasOneHelpAndOneType) {
  counters_.AddGauge({"in_flight", "Requests in flight.", [] { return 7; }});
  const std::string page = counters_.FormatMetrics();
  EXPECT_EQ(ValueOf("wisteriareel_in_flight"), 7);
  EXPECT_THAT(page, HasSubstr("# TYPE wisteriareel_in_flight gauge\n"));
  std::vector<std::string> described;
  for (const absl::string_view line : absl::StrSplit(page, '\n')) {
    const std::vector<std::string> words = absl::StrSplit(line, ' ');
    if (words[0] != "#") continue;
    if (words[1] == "TYPE") {
      ASSERT_FALSE(described.empty());
      EXPECT_EQ(words[2], described.back()) << line;
      continue;
    }
    EXPECT_THAT(described, testing::Not(testing::Contains(words[2])));
    described.push_back(words[2]);
  }
  EXPECT_EQ(page.back(), '\n');
}

TEST(EventLogTest, KeepsAnEventOnOneLineWhateverItsFieldsHold) {
  EXPECT_EQ(FormatEvent(EventId::kDaemonStarted, "started",
                        {{"zone", "a"}, {"detail", "x\n1001 \"forged\""}}),
            "1000 started zone=a detail=\"x\\n1001 \\\"forged\\\"\"");
}

TEST(EventLogTest, WritesOnlyEventsOfTheMinimumSeverityAndAbove) {
  testing::internal::CaptureStderr();
  {
    Log4cxxEventLog log({.min_severity = Severity::kWarning, .logger = "test"});
    log.Write(EventId::kDaemonReady, Severity::kInfo, "dropped", {});
    log.Write(EventId::kDaemonStopped, Severity::kError, "kept", {{"n", "1"}});
    log.Write(EventId::kDaemonStopped, Severity::kError, "too", {});
  }
  const std::string text = testing::internal::GetCapturedStderr();
  EXPECT_THAT(text, HasSubstr("ERROR test 1003 kept n=1 line=1\n"));
  EXPECT_THAT(text, HasSubstr("ERROR test 1003 too line=2\n"));
  EXPECT_THAT(text, testing::Not(HasSubstr("dropped")));
}

// Lines of other threads came in between, which looked like lost lines.
TEST(EventLogTest, LinesOfThreadsAreInTheOrderOfTheirNumbers) {
  const int lines_per_thread = 200;
  testing::internal::CaptureStderr();
  {
    Log4cxxEventLog log({.logger = "test"});
    std::vector<std::thread> threads;
    threads.reserve(kThreads);
    for (int t = 0; t < kThreads; ++t) {
      threads.emplace_back([&log] {
        for (int n = 0; n < lines_per_thread; ++n) {
          log.Write(EventId::kDaemonReady, Severity::kInfo, "ready", {});
        }
      });
    }
    for (std::thread& thread : threads) thread.join();
  }
  const std::string text = testing::internal::GetCapturedStderr();
  int last = 0;
  for (const absl::string_view line :
       absl::StrSplit(text, '\n', absl::SkipEmpty())) {
    int number = 0;
    ASSERT_TRUE(absl::SimpleAtoi(line.substr(line.rfind('=') + 1), &number));
    ASSERT_EQ(number, last + 1);
    last = number;
  }
  EXPECT_EQ(last, kThreads * lines_per_thread);
}

}  // namespace
}  // namespace wisteriareel
