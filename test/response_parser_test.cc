#include "src/message/response_parser.h"

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "test/broken_responses.h"

namespace wisteriareel {
namespace {

const std::string kOkLine = "HTTP/1.1 200 OK\r\n";

// Returns the body of the response `text`, which arrives in pieces of at most
// `piece` bytes before the connection ends, or nullopt if it is malformed.
std::optional<std::string> Parse(std::string_view text, std::size_t piece) {
  ResponseParser parser({});
  std::string pending;
  std::string body;
  while (!text.empty() && !parser.is_malformed() && !parser.is_complete()) {
    pending.append(text.substr(0, piece));
    text.remove_prefix(std::min(piece, text.size()));
    pending.erase(0, parser.Put(pending));
    body += parser.TakeBody();
  }
  parser.PutEnd();
  EXPECT_NE(parser.is_malformed(), parser.is_complete());
  if (parser.is_malformed()) return std::nullopt;
  return body;
}

// Parses `text` in pieces of each size and expects the same result.
std::optional<std::string> ParseInPieces(const std::string& text) {
  std::optional<std::string> whole = Parse(text, text.size());
  for (std::size_t piece = 1; piece < text.size(); ++piece) {
    EXPECT_EQ(Parse(text, piece), whole) << text << " by " << piece;
  }
  return whole;
}

TEST(ResponseParserTest, ParsesSoundResponses) {
  for (const BodyEnd end :
       {BodyEnd::kLength, BodyEnd::kChunks, BodyEnd::kConnection}) {
    EXPECT_EQ(ParseInPieces(absl::StrCat(kOkLine, FrameBody(end, kBody))),
              kBody);
  }
  EXPECT_EQ(ParseInPieces("HTTP/1.0 200 OK\r\n\r\nx"), "x");
  EXPECT_EQ(ParseInPieces(kOkLine + "Content-Length: 0\r\n\r\n"), "");
  EXPECT_EQ(ParseInPieces("HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n"), "");
  EXPECT_EQ(ParseInPieces("HTTP/1.1 304 X\r\nContent-Length: 5\r\n\r\n"), "");
  EXPECT_EQ(ParseInPieces("HTTP/1.1 599 X\r\n\r\n"), "");
  EXPECT_EQ(ParseInPieces("HTTP/1.1 100 X\r\n\r\n"), "");
  EXPECT_EQ(ParseInPieces(kOkLine + "X-A:\r\nX-B: \xff\t!\r\n\r\nx"), "x");
}

TEST(ResponseParserTest, RejectsMalformedHeads) {
  for (const std::string& status : InvalidStatuses()) {
    EXPECT_EQ(ParseInPieces(absl::StrCat("HTTP/1.1 ", status, " X\r\n",
                                         FrameBody(BodyEnd::kLength, kBody))),
              std::nullopt);
  }
  for (const std::string& line : MalformedFields()) {
    EXPECT_EQ(ParseInPieces(absl::StrCat(kOkLine, line, "\r\n",
                                         FrameBody(BodyEnd::kLength, kBody))),
              std::nullopt);
  }
  for (const std::string& framing : AmbiguousFramings()) {
    EXPECT_EQ(ParseInPieces(kOkLine + framing), std::nullopt);
  }
  for (const std::string line :
       {"HTTP/2.0 200 OK", "HTTP/1.2 200 OK", "http/1.1 200 OK",
        "HTTP/1.1  200 OK", "HTTP/1.1 200", "ICY 200 OK", ""}) {
    EXPECT_EQ(ParseInPieces(
                  absl::StrCat(line, "\r\n", FrameBody(BodyEnd::kLength, "x"))),
              std::nullopt);
  }
  EXPECT_EQ(
      ParseInPieces("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "0\r\n\r\n"),
      std::nullopt);
}

TEST(ResponseParserTest, RejectsALineThatContinuesAField) {
  for (const std::string blank : {" ", "\t", "  "}) {
    for (const std::string before : {"", "X-A: x\r\n", "X-A:\r\n"}) {
      EXPECT_EQ(ParseInPieces(absl::StrCat(kOkLine, before, blank,
                                           "Content-Length: 1\r\n\r\nx")),
                std::nullopt);
    }
  }
}

TEST(ResponseParserTest, RejectsMalformedChunks) {
  for (const std::string& chunks : MalformedChunks()) {
    EXPECT_EQ(ParseInPieces(absl::StrCat(
                  kOkLine, "Transfer-Encoding: chunked\r\n\r\n", chunks)),
              std::nullopt);
  }
}

TEST(ResponseParserTest, RejectsAResponseThatIsCut) {
  for (const BodyEnd end : {BodyEnd::kLength, BodyEnd::kChunks}) {
    const std::string whole = absl::StrCat(kOkLine, FrameBody(end, kBody));
    for (std::size_t n = 0; n < whole.size(); ++n) {
      EXPECT_EQ(Parse(whole.substr(0, n), whole.size()), std::nullopt) << n;
    }
  }
}

TEST(ResponseParserTest, AFailureOfTheConnectionIsNotTheEndOfTheBody) {
  ResponseParser parser({});
  parser.Put(kOkLine + "\r\nx");
  ASSERT_TRUE(parser.has_head());
  EXPECT_TRUE(parser.ends_with_connection());
  parser.PutFailure();
  EXPECT_TRUE(parser.is_malformed());
}

TEST(ResponseParserTest, AFailureAfterTheEndChangesNothing) {
  ResponseParser parser({});
  parser.Put(kOkLine + "Content-Length: 1\r\n\r\nx");
  parser.PutFailure();
  EXPECT_TRUE(parser.is_complete());
}

TEST(ResponseParserTest, ConsumesNothingAfterTheEnd) {
  const std::string whole = kOkLine + "Content-Length: 1\r\n\r\nx";
  ResponseParser parser({});
  EXPECT_EQ(parser.Put(whole + whole), whole.size());
  EXPECT_EQ(parser.Put(whole), 0U);
  EXPECT_TRUE(parser.is_complete());
}

TEST(ResponseParserTest, TrailerFieldsAreNotPartOfTheHead) {
  ResponseParser parser({});
  parser.Put(kOkLine +
             "Transfer-Encoding: chunked\r\n\r\n0\r\nX-A: late\r\n\r\n");
  ASSERT_TRUE(parser.is_complete());
  EXPECT_EQ(parser.head().count("X-A"), 0U);
}

TEST(ResponseParserTest, TheResponseToHeadHasNoBody) {
  ResponseParser parser({.head_only = true});
  const std::string head = kOkLine + "Content-Length: 1\r\n\r\n";
  EXPECT_EQ(parser.Put(head + "x"), head.size());
  EXPECT_TRUE(parser.is_complete());
}

// Each line by itself is short, and so is what isn't parsed yet.
TEST(ResponseParserTest, LimitsTheSizeOfTheHead) {
  ResponseParser parser({.max_head_bytes = 1000});
  std::string pending = kOkLine;
  for (int n = 0; n < 1000 && !parser.is_malformed(); ++n) {
    pending += "X-A: x\r\n";
    pending.erase(0, parser.Put(pending));
  }
  EXPECT_TRUE(parser.is_malformed());
}

}  // namespace
}  // namespace wisteriareel
