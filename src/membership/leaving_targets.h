#ifndef WISTERIAREEL_SRC_MEMBERSHIP_LEAVING_TARGETS_H_
#define WISTERIAREEL_SRC_MEMBERSHIP_LEAVING_TARGETS_H_

#include <map>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "src/membership/member_messages.h"
#include "wisteriareel/instance_list.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

using TargetSet = absl::flat_hash_set<TargetId>;

// Tracks which targets are leaving, and the notices about them that are still
// to be sent. Not thread-safe; reads no clock.
class LeavingTargets {
 public:
  // How long a target counts as leaving after the last report.
  static constexpr absl::Duration kRetention = absl::Seconds(60);
  // How often each notice is sent, since messages may be lost, and the interval
  // between the transmissions.
  static constexpr int kSends = 3;
  static constexpr absl::Duration kSendInterval = absl::Milliseconds(700);

  // Handles the platform's instance list. A target that the list does not show
  // as leaving keeps its state until the retention ends, because the list lags.
  void OnList(const std::vector<ListedInstance>& listed, absl::Time now);

  // Handles a report from this instance, which is to be sent to the zone.
  void OnReport(const TargetId& target, absl::Time now);

  // Handles a notice from another instance, which sends it to the whole zone
  // itself.
  void OnNotice(const TargetLeavingNotice& notice, absl::Time now);

  // Removes expired entries. Returns the notices to be sent to the whole zone
  // now.
  std::vector<TargetLeavingNotice> Tick(absl::Time now);

  TargetSet Leaving() const;

  // Returns whether the set of leaving targets has changed since the last call.
  bool TakeChanged();

  // Returns when the next notice is due; InfiniteFuture if there is none.
  absl::Time NextSend() const;

 private:
  struct Entry {
    absl::Time first_reported;
    absl::Time last_reported;
    int sends_left = 0;
    absl::Time next_send;
  };

  Entry& RecordLeaving(const TargetId& target, absl::Time at);

  std::map<TargetId, Entry> entries_;
  bool changed_ = false;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_MEMBERSHIP_LEAVING_TARGETS_H_
