#ifndef WISTERIAREEL_TYPES_H_
#define WISTERIAREEL_TYPES_H_

#include <compare>
#include <cstdint>
#include <utility>

#include "wisteriareel/strong_string.h"

namespace wisteriareel {

using InstanceId = StrongString<struct InstanceIdTag>;
using ZoneId = StrongString<struct ZoneIdTag>;
using RegionId = StrongString<struct RegionIdTag>;
using CustomerId = StrongString<struct CustomerIdTag>;
using BudgetId = StrongString<struct BudgetIdTag>;
using PoolId = StrongString<struct PoolIdTag>;
using TargetId = StrongString<struct TargetIdTag>;
using ModelName = StrongString<struct ModelNameTag>;
// Names one caller's request; made by the first instance that receives it.
using RequestId = StrongString<struct RequestIdTag>;
// The caller's Idempotency-Key header.
using IdempotencyKey = StrongString<struct IdempotencyKeyTag>;
// Names one order, so that a lost reply is settled by reading back.
using OrderId = StrongString<struct OrderIdTag>;

// A signed count of model tokens. Arithmetic saturates at the limits of
// int64 and never wraps.
class Tokens {
 public:
  constexpr Tokens() = default;
  explicit constexpr Tokens(std::int64_t count) : count_(count) {}

  // Returns the number of tokens.
  constexpr std::int64_t value() const { return count_; }

  friend constexpr bool operator==(Tokens, Tokens) = default;
  friend constexpr auto operator<=>(Tokens, Tokens) = default;

  friend constexpr Tokens operator+(Tokens a, Tokens b) {
    std::int64_t sum = 0;
    if (!__builtin_add_overflow(a.count_, b.count_, &sum)) return Tokens(sum);
    return Tokens(b.count_ > 0 ? INT64_MAX : INT64_MIN);
  }
  friend constexpr Tokens operator-(Tokens a, Tokens b) {
    std::int64_t difference = 0;
    if (!__builtin_sub_overflow(a.count_, b.count_, &difference)) {
      return Tokens(difference);
    }
    return Tokens(b.count_ < 0 ? INT64_MAX : INT64_MIN);
  }
  constexpr Tokens& operator+=(Tokens b) { return *this = *this + b; }
  constexpr Tokens& operator-=(Tokens b) { return *this = *this - b; }

  template <typename H>
  friend H AbslHashValue(H h, Tokens tokens) {
    return H::combine(std::move(h), tokens.count_);
  }

 private:
  std::int64_t count_ = 0;
};

// A deployment-wide configuration revision. Zero is "nothing read yet".
class Revision {
 public:
  constexpr Revision() = default;
  explicit constexpr Revision(std::uint64_t number) : number_(number) {}

  constexpr std::uint64_t value() const { return number_; }
  // Returns the revision that follows this one.
  constexpr Revision Next() const { return Revision(number_ + 1); }

  friend constexpr bool operator==(Revision, Revision) = default;
  friend constexpr auto operator<=>(Revision, Revision) = default;

 private:
  std::uint64_t number_ = 0;
};

// A number that grows with each new holder of a lease. A target that checks
// it refuses orders that carry a lower number than one already seen.
class FencingNumber {
 public:
  constexpr FencingNumber() = default;
  explicit constexpr FencingNumber(std::uint64_t number) : number_(number) {}

  constexpr std::uint64_t value() const { return number_; }
  constexpr FencingNumber Next() const { return FencingNumber(number_ + 1); }

  friend constexpr bool operator==(FencingNumber, FencingNumber) = default;
  friend constexpr auto operator<=>(FencingNumber, FencingNumber) = default;

 private:
  std::uint64_t number_ = 0;
};

// An IP number and a port of an endpoint.
struct Endpoint {
  std::string host;
  std::uint16_t port = 0;

  friend bool operator==(const Endpoint&, const Endpoint&) = default;
  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

// The order in which requests are served under load. Lower is served first.
enum class Priority : std::uint8_t {
  kInteractive = 0,
  kNormal = 1,
  kBatch = 2,
};
inline constexpr int kPriorityCount = 3;

}  // namespace wisteriareel

#endif  // WISTERIAREEL_TYPES_H_
