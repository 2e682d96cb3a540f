#include "src/runtime/load_probe.h"

#include <memory>
#include <optional>

namespace wisteriareel {
namespace {

// A response takes a few milliseconds: a round trip and possibly a new
// connection. A slower engine is not chosen for the request.
constexpr absl::Duration kResponseTimeout = absl::Milliseconds(40);

}  // namespace

LoadProbe::LoadProbe(TargetLoadSource* source, TargetPool* pool, Clock* clock)
    : source_(source), pool_(pool), clock_(clock) {}

void LoadProbe::QueryLoads(const std::vector<TargetEntry>& targets,
                           const std::function<void()>& done) {
  const auto pending = std::make_shared<std::size_t>(targets.size());
  for (const TargetEntry& target : targets) {
    source_->ReadLoad(target, kResponseTimeout,
                      [this, id = target.id, pending,
                       done](const std::optional<TargetLoad>& load) {
                        pool_->RecordLoad(id, load, clock_->Now());
                        if (--*pending == 0) done();
                      });
  }
}

}  // namespace wisteriareel
