#ifndef WISTERIAREEL_LEASE_MANAGER_H_
#define WISTERIAREEL_LEASE_MANAGER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "wisteriareel/clock.h"
#include "wisteriareel/counters.h"
#include "wisteriareel/event_log.h"
#include "wisteriareel/membership_view.h"
#include "wisteriareel/random_source.h"
#include "wisteriareel/table_service.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// Read access to a lease, for the code that runs the singleton task.
class LeaseView {
 public:
  virtual ~LeaseView() = default;

  // Returns the lease if this instance may run the task now. Reads the clock at
  // each call. Call it again right before each action, since the process may
  // have been paused since the last call. Thread-safe.
  virtual std::optional<HeldLease> Held() const = 0;
};

// Acquires and renews the lease of one singleton task, a row in the table
// service, in competition with other instances. The clocks of instances are
// never compared: the holder measures the lease from before it wrote the row, a
// successor from after it read the row, plus a margin. Step must run on one
// thread at a time; the other members are thread-safe.
class LeaseManager final : public LeaseView {
 public:
  // How long the holder may act after it started to write the row.
  static constexpr absl::Duration kDefaultDuration = absl::Seconds(15);
  // Additional wait of a successor. Covers clock rate differences of up to
  // margin / (2 * duration), 3% with these defaults.
  static constexpr absl::Duration kDefaultMargin = absl::Seconds(1);
  // Interval between two renewals by the holder.
  static constexpr absl::Duration kDefaultRenewal = absl::Seconds(5);
  // Interval between two reads of the row by the candidate of rank zero. The
  // candidate of rank n waits (n + 1) times as long.
  static constexpr absl::Duration kDefaultCandidatePoll = absl::Seconds(4);
  static constexpr absl::Duration kDefaultTableTimeout = absl::Seconds(2);

  struct Options {
    // Name of the singleton task, such as "reclaim" or "pool/chat". Key of the
    // lease row.
    std::string task;
    InstanceId self;
    // The pointers are not owned and must outlive the manager.
    Clock* clock = SystemClock();
    TableService* table = nullptr;
    RandomSource* random = nullptr;
    Counters* counters = DiscardCounters();
    EventLog* events = DiscardEvents();
    // Returns this instance's rank among the candidates, counted from zero, or
    // nullopt if it is not a candidate. A null function means rank zero.
    std::function<std::optional<std::size_t>()> rank;
    absl::Duration duration = kDefaultDuration;
    absl::Duration margin = kDefaultMargin;
    absl::Duration renewal = kDefaultRenewal;
    absl::Duration candidate_poll = kDefaultCandidatePoll;
    absl::Duration table_timeout = kDefaultTableTimeout;
  };

  explicit LeaseManager(Options options);
  ~LeaseManager() override;

  // Acquires or renews the lease if due. Returns the delay before the next
  // step.
  absl::Duration Step();

  std::optional<HeldLease> Held() const override;

  // Gives up the lease, so that a successor can acquire it at once. Call it
  // when no operation that was started under the lease is in flight any more.
  void Release();

 private:
  class State;
  const std::unique_ptr<State> state_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_LEASE_MANAGER_H_
