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

// Stores the configuration in the platform's table service. Every accepted
// order increments one deployment-wide revision in the transaction that changes
// the entries. Thread-safe; holds no state between calls.
class TableConfigStore final : public ConfigStore {
 public:
  // Maximum number of rows retained in the change log. An instance that lags
  // behind by more reads all entries.
  static constexpr std::uint64_t kDefaultLogLength = 100'000;
  // Maximum attempts of one call while concurrent change orders conflict with
  // it.
  static constexpr int kDefaultMaxAttempts = 16;
  // Interval at which AwaitRollout checks the progress.
  static constexpr absl::Duration kDefaultRolloutPoll = absl::Milliseconds(100);

  struct Options {
    // The pointers are not owned and must outlive the store.
    Clock* clock = SystemClock();
    TableService* table = nullptr;
    // Null if the revisions of other instances are not available.
    RolloutView* rollout = nullptr;
    Counters* counters = DiscardCounters();
    EventLog* events = DiscardEvents();
    // Called after an order was accepted, so that the follower can read the
    // table at once.
    std::function<void()> on_accepted;
    // Maximum length of the change log, in revisions.
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
  // Returns the key of the order row of `revision`, whose log row is being
  // trimmed. Returns nullopt if the log row can't be read.
  std::optional<RowKey> FindOrderToTrim(Revision revision,
                                        absl::Duration timeout);

  const Options options_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_CONFIG_TABLE_STORE_H_
