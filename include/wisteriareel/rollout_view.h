#ifndef WISTERIAREEL_ROLLOUT_VIEW_H_
#define WISTERIAREEL_ROLLOUT_VIEW_H_

#include <vector>

#include "wisteriareel/config_store.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// What is known of the revisions that live instances have in force.
// Thread-safe.
class RolloutView {
 public:
  virtual ~RolloutView() = default;

  // Returns one line per live instance, in order of zone and instance.
  virtual std::vector<RolloutLine> Lines() const = 0;

  // Asks all zones for fresh reports while they lag behind `revision`.
  virtual void RequestReports(Revision revision) = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_ROLLOUT_VIEW_H_
