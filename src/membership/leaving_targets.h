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

// Remembers which targets are leaving and which notes about them have still
// to be sent. Not thread-safe; reads no clock.
class LeavingTargets {
 public:
  // A target counts as leaving for this long after it was last said to be.
  static constexpr absl::Duration kHold = absl::Seconds(60);
  // Times that each note is sent, since messages may be lost, and the pause
  // between them.
  static constexpr int kSends = 3;
  static constexpr absl::Duration kSendInterval = absl::Milliseconds(700);

  // Takes the platform's list. A target that is not listed as leaving goes
  // on leaving until the hold ends, because the list lags.
  void OnList(const std::vector<ListedInstance>& listed, absl::Time now);

  // Takes a report of this instance, to be spread.
  void OnReport(const TargetId& target, absl::Time now);

  // Takes a note from another instance, which spreads it itself.
  void OnNote(const TargetLeavingNotice& note, absl::Time now);

  // Forgets what has been held long enough and returns the notes that are
  // due to be sent to the whole zone.
  std::vector<TargetLeavingNotice> Tick(absl::Time now);

  TargetSet Leaving() const;

  // Returns whether targets came or went since the last call.
  bool TakeChanged();

  // Returns when Tick is next due for a note; InfiniteFuture if never.
  absl::Time NextSend() const;

 private:
  struct Entry {
    absl::Time first;
    absl::Time last;
    int sends_left = 0;
    absl::Time next_send;
  };

  Entry& Touch(const TargetId& target, absl::Time at);

  std::map<TargetId, Entry> entries_;
  bool changed_ = false;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_MEMBERSHIP_LEAVING_TARGETS_H_
