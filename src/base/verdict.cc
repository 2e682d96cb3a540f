#include "wisteriareel/verdict.h"

namespace wisteriareel {

std::string_view VerdictName(Verdict verdict) {
  switch (verdict) {
    case Verdict::kNotRun:
      return "not_run";
    case Verdict::kRan:
      return "ran";
    case Verdict::kMayHaveRun:
      return "may_have_run";
  }
  return "may_have_run";
}

}  // namespace wisteriareel
