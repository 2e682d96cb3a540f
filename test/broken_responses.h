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

}  // namespace wisteriareel

#endif  // WISTERIAREEL_TEST_BROKEN_RESPONSES_H_
