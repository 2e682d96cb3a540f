#include <string>

#include "gtest/gtest.h"
#include "rapidcheck.h"
#include "src/security/digest.h"
#include "src/security/operator_credentials.h"

namespace wisteriareel {
namespace {

TEST(DigestTest, MatchesPublishedVectors) {
  // The one-block example of FIPS 180.
  EXPECT_EQ(Sha256Hex("abc"),
            "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  // Test case 2 of RFC 4231.
  const std::string mac = HmacSha256("Jefe", "what do ya want for nothing?");
  EXPECT_EQ(mac.substr(0, 4), "\x5b\xdc\xc1\x46");
  EXPECT_EQ(mac.size(), 32u);
}

TEST(DigestTest, ConstantTimeComparisonAgreesWithEquality) {
  EXPECT_TRUE(rc::check([](const std::string& a, const std::string& b) {
    RC_ASSERT(EqualInConstantTime(a, b) == (a == b));
    RC_ASSERT(EqualInConstantTime(a, a));
  }));
}

TEST(DigestTest, SecretsDiffer) {
  EXPECT_NE(GenerateSecret("wr-"), GenerateSecret("wr-"));
  EXPECT_EQ(GenerateSecret("wr-").size(), 67u);
}

class OperatorCredentialsTest : public testing::Test {
 protected:
  // Returns the reason why `authorization` is refused for a call that needs
  // `required_role`. Returns kNone if it is authorized.
  Reason GetRefusalReason(const std::string& authorization,
                          OperatorRole required_role) const {
    LastReason reason;
    const auto credential =
        credentials_.Authorize(authorization, required_role, &reason);
    return credential ? Reason::kNone : reason.reason();
  }

  const OperatorCredentials credentials_{
      {{"reader", OperatorRole::kRead, Sha256Hex("read-token")},
       {"night", OperatorRole::kOperate, Sha256Hex("operate-token")}}};
};

TEST_F(OperatorCredentialsTest, AuthorizesEachRoleForItsCalls) {
  EXPECT_EQ(GetRefusalReason("Bearer read-token", OperatorRole::kRead),
            Reason::kNone);
  EXPECT_EQ(GetRefusalReason("Bearer operate-token", OperatorRole::kRead),
            Reason::kNone);
  EXPECT_EQ(GetRefusalReason("Bearer operate-token", OperatorRole::kOperate),
            Reason::kNone);
  EXPECT_EQ(GetRefusalReason("Bearer read-token", OperatorRole::kOperate),
            Reason::kForbidden);
}

TEST_F(OperatorCredentialsTest, RefusesAllOtherTokens) {
  const std::string hash = Sha256Hex("read-token");
  for (const std::string& authorization :
       {std::string(), std::string("Bearer "), std::string("read-token"),
        std::string("Basic read-token"), std::string("bearer read-token"),
        std::string("Bearer read-token "), std::string("Bearer read-toke"),
        "Bearer " + hash}) {
    EXPECT_EQ(GetRefusalReason(authorization, OperatorRole::kRead),
              Reason::kUnauthenticated)
        << authorization;
  }
}

TEST(OperatorCredentialsEmptyTest, AuthorizesNobody) {
  LastReason reason;
  EXPECT_FALSE(
      OperatorCredentials().Authorize("Bearer ", OperatorRole::kRead, &reason));
}

}  // namespace
}  // namespace wisteriareel
