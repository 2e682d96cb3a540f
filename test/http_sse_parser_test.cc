#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "rapidcheck/gtest.h"
#include "src/http/sse_parser.h"

namespace wisteriareel {
namespace {

using State = SseParser::State;

class SseParserTest : public testing::Test {
 protected:
  // Feeds `text` split at random positions.
  State FeedInPieces(const std::string& text) {
    std::string_view rest = text;
    while (!rest.empty()) {
      const auto size = *rc::gen::inRange<std::size_t>(1, rest.size() + 1);
      Feed(rest.substr(0, size));
      rest.remove_prefix(size);
    }
    return parser_.state();
  }

  State Feed(std::string_view bytes) {
    return parser_.Feed(bytes, [this](std::string_view event) {
      events_.emplace_back(event);
      return events_.size() < stop_after_;
    });
  }

  SseParser parser_;
  std::vector<std::string> events_;
  std::size_t stop_after_ = SIZE_MAX;
};

// Generates the content of an event line, without line breaks.
rc::Gen<std::string> Line() {
  return rc::gen::container<std::string>(
      rc::gen::element('d', ':', ' ', '[', 'x', '\t', '{'));
}

RC_GTEST_FIXTURE_PROP(SseParserTest,
                      PassesCompleteEventsHoweverTheBytesAreSplit, ()) {
  const auto lines = *rc::gen::container<std::vector<std::string>>(Line());
  const std::string eol = *rc::gen::element<std::string>("\n", "\r\n");
  std::string text;
  std::vector<std::string> expected;
  for (const std::string& line : lines) {
    const std::string event =
        absl::StrCat("data: ", line, eol, "id: 1", eol, eol);
    expected.push_back(event);
    absl::StrAppend(&text, event, ": comment", eol, eol);
  }
  const bool ended = *rc::gen::arbitrary<bool>();
  if (ended) text += "data: [DONE]" + eol + eol;
  const State state = FeedInPieces(text);
  RC_ASSERT(events_ == expected);
  RC_ASSERT(state == (ended ? State::kDone : State::kOpen));
}

RC_GTEST_FIXTURE_PROP(SseParserTest, IsNotDoneOneByteBeforeTheEnd, ()) {
  std::string text = "data: a\n\ndata: [DONE]\n\n";
  text.resize(*rc::gen::inRange<std::size_t>(1, text.size()));
  RC_ASSERT(FeedInPieces(text) == State::kOpen);
}

RC_GTEST_FIXTURE_PROP(SseParserTest, DropsAndReportsBytesAfterTheEndMarker,
                      ()) {
  const State state = FeedInPieces("data: [DONE]\n\ndata: late\n\n");
  RC_ASSERT(state == State::kDone);
  RC_ASSERT(parser_.has_trailing_bytes());
  RC_ASSERT(events_.empty());
}

TEST_F(SseParserTest, FailsOnAnEventAboveTheSizeLimit) {
  SseParser bounded(/*max_event_bytes=*/16);
  const auto ignore = [](std::string_view) { return true; };
  EXPECT_EQ(bounded.Feed("data: 0123456789", ignore), State::kOpen);
  EXPECT_EQ(bounded.Feed("x", ignore), State::kEventTooLarge);
}

TEST_F(SseParserTest, StopsWhenTheReceiverReturnsFalse) {
  stop_after_ = 1;
  EXPECT_EQ(Feed("data: a\n\ndata: b\n\n"), State::kStopped);
  EXPECT_EQ(events_.size(), 1u);
}

}  // namespace
}  // namespace wisteriareel
