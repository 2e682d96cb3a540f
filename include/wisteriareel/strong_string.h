#ifndef WISTERIAREEL_STRONG_STRING_H_
#define WISTERIAREEL_STRONG_STRING_H_

#include <compare>
#include <string>
#include <utility>

namespace wisteriareel {

// A string identifier. `Tag` makes identifiers of different kinds distinct
// types. Two identifiers are equal if their bytes are equal.
template <typename Tag>
class StrongString {
 public:
  StrongString() = default;
  explicit StrongString(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }

  // Returns true for a default-constructed or empty identifier.
  bool empty() const { return value_.empty(); }

  friend bool operator==(const StrongString&, const StrongString&) = default;
  friend auto operator<=>(const StrongString&, const StrongString&) = default;

  template <typename H>
  friend H AbslHashValue(H h, const StrongString& id) {
    return H::combine(std::move(h), id.value_);
  }

 private:
  std::string value_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_STRONG_STRING_H_
