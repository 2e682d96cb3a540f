#ifndef WISTERIAREEL_TEST_BROKEN_RESPONSES_H_
#define WISTERIAREEL_TEST_BROKEN_RESPONSES_H_

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"

namespace wisteriareel {

// Part of a body that no caller may get.
inline constexpr char kBodyMark[] = "from-the-target";

// A complete event, so that a stream with this body alone is complete.
inline const std::string kBody =
    absl::StrCat("id: 1\ndata: ", kBodyMark, "\n\n");

// How a response marks the end of its body.
enum class BodyEnd { kLength, kChunks, kConnection };

// Returns the framing field, the blank line and the body.
inline std::string FrameBody(BodyEnd end, const std::string& body) {
  switch (end) {
    case BodyEnd::kLength:
      return absl::StrCat("Content-Length: ", body.size(), "\r\n\r\n", body);
    case BodyEnd::kChunks:
      return absl::StrCat("Transfer-Encoding: chunked\r\n\r\n",
                          absl::Hex(body.size()), "\r\n", body,
                          "\r\n0\r\n\r\n");
    case BodyEnd::kConnection:
      return absl::StrCat("\r\n", body);
  }
  return "";
}

// Status codes that no response may have.
inline std::vector<std::string> InvalidStatuses() {
  return {"000", "001",  "099", "600", "999",
          "20",  "2000", "2x0", "+20", "-200"};
}

// Lines of a head that aren't header fields.
inline std::vector<std::string> MalformedFields() {
  std::vector<std::string> lines = {": x",
                                    "X-A : x",
                                    "X-A\t: x",
                                    "X A: x",
                                    "X\tA: x",
                                    "X-A",
                                    "X\x80: x",
                                    "X\xff: x",
                                    "X(A): x",
                                    "X-A: a\rb",
                                    "X-A: a\nX-B: b",
                                    "X-A: a\x01z",
                                    "X-A: a\x7fz",
                                    std::string("X-A: a\0b", 8)};
  for (char control = 0; control < ' '; ++control) {
    lines.push_back(absl::StrCat("X", std::string(1, control), "A: x"));
  }
  return lines;
}

// Framing fields, the blank line and a body whose end is in doubt.
inline std::vector<std::string> AmbiguousFramings() {
  const std::string length = absl::StrCat(kBody.size());
  const std::string chunks =
      absl::StrCat(absl::Hex(kBody.size()), "\r\n", kBody, "\r\n0\r\n\r\n");
  const std::string end = "\r\n\r\n";
  std::vector<std::string> framings;
  for (const std::string coding :
       {"gzip", "identity", "gzip, chunked", "chunked, chunked",
        "chunked, gzip", "xchunked", "chunked;q=1", "\"chunked\"", ""}) {
    framings.push_back(
        absl::StrCat("Transfer-Encoding: ", coding, end, chunks));
  }
  for (const std::string length_value : {"+5", "-5", "0x5", "5.0", "5 5", "5;",
                                         "", "five", "99999999999999999999"}) {
    framings.push_back(
        absl::StrCat("Content-Length: ", length_value, end, kBody));
  }
  framings.push_back(absl::StrCat("Content-Length: ", length,
                                  "\r\nContent-Length: 3", end, kBody));
  framings.push_back(
      absl::StrCat("Content-Length: ", length, ", 3", end, kBody));
  framings.push_back(absl::StrCat("Content-Length: ", length,
                                  "\r\nTransfer-Encoding: chunked", end,
                                  chunks));
  framings.push_back(absl::StrCat(
      "Transfer-Encoding: chunked\r\nContent-Length: ", length, end, chunks));
  framings.push_back(absl::StrCat(
      "Transfer-Encoding: gzip\r\nContent-Length: ", length, end, kBody));
  framings.push_back(
      absl::StrCat("Transfer-Encoding: chunked\r\n"
                   "Transfer-Encoding: chunked",
                   end, chunks));
  return framings;
}

// Chunks that are malformed or incomplete.
inline std::vector<std::string> MalformedChunks() {
  const std::string size = absl::StrCat(absl::Hex(kBody.size()));
  const std::string chunk = absl::StrCat(size, "\r\n", kBody, "\r\n");
  return {chunk,
          absl::StrCat(chunk, "0\r\n"),
          absl::StrCat(chunk, "\r\n0\r\n\r\n"),
          absl::StrCat(chunk, "-1\r\n\r\n"),
          absl::StrCat(chunk, "0x0\r\n\r\n"),
          absl::StrCat(chunk, "g\r\n\r\n"),
          absl::StrCat(chunk, "0 0\r\n\r\n"),
          absl::StrCat(chunk, "0\n\n"),
          absl::StrCat(chunk, "0\r\nX A: x\r\n\r\n"),
          absl::StrCat(chunk, "0\r\nX-A\r\n\r\n"),
          absl::StrCat("1", size, "\r\n", kBody, "\r\n0\r\n\r\n"),
          absl::StrCat(size, "\r\n", kBody, "X\r\n0\r\n\r\n"),
          absl::StrCat(size, "\r\n", kBody, "0\r\n\r\n"),
          absl::StrCat("ffffffffffffffffff\r\n", kBody)};
}

}  // namespace wisteriareel

#endif  // WISTERIAREEL_TEST_BROKEN_RESPONSES_H_
