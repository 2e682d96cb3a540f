#include "src/runtime/received_body.h"

#include <string>

#include "gtest/gtest.h"

namespace wisteriareel {
namespace {

TEST(ReceivedBodyTest, ReturnsAllPiecesInOrder) {
  std::string expected;
  ReceivedBody body;
  for (int n = 0; n < 1000; ++n) {
    const std::string bytes(static_cast<std::size_t>(n % 97),
                            static_cast<char>('a' + n % 26));
    body.Append(bytes);
    expected += bytes;
  }
  EXPECT_EQ(body.size(), expected.size());
  EXPECT_EQ(body.Take(), expected);
  EXPECT_EQ(body.size(), 0U);
  EXPECT_EQ(body.memory_bytes(), 0U);
}

TEST(ReceivedBodyTest, TakesLittleMoreThanWhatHasArrived) {
  constexpr std::size_t bytes = 1 << 20;
  ReceivedBody body;
  for (std::size_t n = 0; n < bytes; ++n) body.Append("x");
  EXPECT_GE(body.memory_bytes(), bytes);
  EXPECT_LE(body.memory_bytes(), bytes + (32 << 10));
}

TEST(ReceivedBodyTest, AcceptsNothing) {
  ReceivedBody body;
  body.Append("");
  EXPECT_EQ(body.Take(), "");
}

}  // namespace
}  // namespace wisteriareel
