#include "wisteriareel/counters.h"

namespace wisteriareel {
namespace {

class DiscardingCounters final : public Counters {
 public:
  void Refused(Reason) override {}
  void Retried(Reason) override {}
  void Add(Counter, std::uint64_t) override {}
  void Record(Timing, absl::Duration) override {}
};

}  // namespace

Counters* DiscardCounters() {
  static DiscardingCounters counters;
  return &counters;
}

}  // namespace wisteriareel
