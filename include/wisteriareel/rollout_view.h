#ifndef WISTERIAREEL_ROLLOUT_VIEW_H_
#define WISTERIAREEL_ROLLOUT_VIEW_H_

#include <vector>

#include "wisteriareel/config_store.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Reports the last known revision of each live instance. Thread-safe.
class RolloutView {
 public:
  virtual ~RolloutView() = default;

  // Returns one entry per live instance, in order of zone and instance.
  virtual std::vector<RolloutLine> Lines() const = 0;

  // Requests current reports from the zones that lag behind `revision`, for a
  // limited time.
  virtual void RequestReports(Revision revision) = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_ROLLOUT_VIEW_H_
