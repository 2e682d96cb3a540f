#include "wisteriareel/types.h"

#include <cstdint>
#include <limits>

#include "gtest/gtest.h"
#include "rapidcheck.h"

namespace wisteriareel {
namespace {

constexpr std::int64_t kMax = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t kMin = std::numeric_limits<std::int64_t>::min();

TEST(TokensTest, AdditionSaturatesInsteadOfWrapping) {
  EXPECT_EQ(Tokens(kMax) + Tokens(1), Tokens(kMax));
  EXPECT_EQ(Tokens(kMin) + Tokens(-1), Tokens(kMin));
}

TEST(TokensTest, SubtractionSaturatesInsteadOfWrapping) {
  EXPECT_EQ(Tokens(kMin) - Tokens(1), Tokens(kMin));
  EXPECT_EQ(Tokens(kMax) - Tokens(-1), Tokens(kMax));
}

TEST(TokensTest, SumNeverLeavesTheSideOfItsTerms) {
  EXPECT_TRUE(rc::check([](std::int64_t a, std::int64_t b) {
    const Tokens sum = Tokens(a) + Tokens(b);
    if (b >= 0) RC_ASSERT(sum >= Tokens(a));
    if (b <= 0) RC_ASSERT(sum <= Tokens(a));
  }));
}

}  // namespace
}  // namespace wisteriareel
