#ifndef WISTERIAREEL_VERDICT_H_
#define WISTERIAREEL_VERDICT_H_

#include <cstdint>
#include <string_view>

namespace wisteriareel {

// Whether a request has run at a target. kNotRun requires proof; without proof
// of either the verdict is kMayHaveRun.
enum class Verdict : std::uint8_t {
  kNotRun = 0,
  kRan = 1,
  kMayHaveRun = 2,
};

// Returns "not_run", "ran" or "may_have_run".
std::string_view VerdictName(Verdict verdict);

// Returns the combined verdict of two attempts at the same request.
constexpr Verdict Combine(Verdict a, Verdict b) {
  if (a == Verdict::kRan || b == Verdict::kRan) return Verdict::kRan;
  if (a == Verdict::kMayHaveRun || b == Verdict::kMayHaveRun) {
    return Verdict::kMayHaveRun;
  }
  return Verdict::kNotRun;
}

}  // namespace wisteriareel

#endif  // WISTERIAREEL_VERDICT_H_
