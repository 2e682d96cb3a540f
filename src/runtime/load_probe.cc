#include "src/runtime/load_probe.h"

#include <memory>
#include <optional>

namespace wisteriareel {
namespace {

// An engine answers within a round trip and a new connection, a few
// milliseconds; one that takes longer is no place for a request.
constexpr absl::Duration kAnswerTimeout = absl::Milliseconds(40);

}  // namespace

LoadProbe::LoadProbe(TargetLoadSource* source, TargetPool* pool, Clock* clock)
    : source_(source), pool_(pool), clock_(clock) {}

void LoadProbe::QueryLoads(const std::vector<TargetEntry>& targets,
                           const std::function<void()>& done) {
  const auto open = std::make_shared<std::size_t>(targets.size());
  for (const TargetEntry& target : targets) {
    source_->ReadLoad(target, kAnswerTimeout,
                      [this, id = target.id, open,
                       done](const std::optional<TargetLoad>& load) {
                        pool_->RecordLoad(id, load, clock_->Now());
                        if (--*open == 0) done();
                      });
  }
}

}  // namespace wisteriareel
