#ifndef WISTERIAREEL_CONFIG_TABLE_STORE_H_
#define WISTERIAREEL_CONFIG_TABLE_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "wisteriareel/clock.h"
#include "wisteriareel/config_store.h"
#include "wisteriareel/counters.h"
#include "wisteriareel/event_log.h"
#include "wisteriareel/rollout_view.h"
#include "wisteriareel/table_service.h"

namespace wisteriareel {

// Keeps the configuration in the platform's table. Every accepted order
// raises one deployment-wide revision in the transaction that changes the
// entries. Thread-safe; holds no state between calls.
class TableConfigStore final : public ConfigStore {
 public:
  // Log rows kept; an instance that is further behind reads everything.
  static constexpr std::uint64_t kDefaultLogLength = 100'000;
  // Tries of one call to get past other operators' orders.
  static constexpr int kDefaultMaxAttempts = 16;
  // Pause between two looks at the roll-out.
  static constexpr absl::Duration kDefaultRolloutPoll = absl::Milliseconds(100);

  struct Options {
    // Not owned; must outlive the store.
    Clock* clock = SystemClock();
    TableService* table = nullptr;
    // Null where nothing is known of other instances.
    RolloutView* rollout = nullptr;
    Counters* counters = DiscardCounters();
    EventLog* events = DiscardEvents();
    // Called after an order was accepted; wakes the follower.
    std::function<void()> on_accepted;
    // In revisions.
    std::uint64_t log_length = kDefaultLogLength;
    int max_attempts = kDefaultMaxAttempts;
    absl::Duration rollout_poll = kDefaultRolloutPoll;
  };

  explicit TableConfigStore(Options options);

  std::optional<AcceptedOrder> Apply(const ChangeOrder& order,
                                     absl::Duration timeout,
                                     LastReason* reason) override;
  std::optional<EntryVersion> ReadEntry(const ConfigKey& key,
                                        absl::Duration timeout,
                                        LastReason* reason) override;
  std::vector<RolloutLine> Rollout() const override;
  std::vector<RolloutLine> AwaitRollout(Revision revision,
                                        absl::Duration timeout) override;

 private:
  // Returns the order row that `revision` pushes out of the log, if any.
  std::optional<RowKey> OrderToTrim(Revision revision, absl::Duration timeout);

  const Options options_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_CONFIG_TABLE_STORE_H_
