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

// A lease as others see it; what a duty's owner needs.
class LeaseView {
 public:
  virtual ~LeaseView() = default;

  // Returns the lease if this instance may act on the duty at this moment.
  // Reads the clock at each call: ask again right before each act, since the
  // process may have been paused since the last answer. Thread-safe.
  virtual std::optional<HeldLease> Held() const = 0;
};

// Holds one duty by a lease in the table, in competition with other
// instances. No clocks are compared: a holder counts from before it wrote the
// row, a successor from after it read it, and waits longer by a margin.
// Step runs on one thread at a time; the other members are thread-safe.
class LeaseManager final : public LeaseView {
 public:
  // How long a holder may act after it began to write the row.
  static constexpr absl::Duration kDefaultDuration = absl::Seconds(15);
  // How much longer a successor waits; covers clocks that differ in rate by
  // up to margin / (2 * duration), 3% with these defaults.
  static constexpr absl::Duration kDefaultMargin = absl::Seconds(1);
  // Pause between two renewals by the holder.
  static constexpr absl::Duration kDefaultRenewal = absl::Seconds(5);
  // Pause between two looks by the first candidate; the next in rank takes
  // twice as long, and so on.
  static constexpr absl::Duration kDefaultCandidatePoll = absl::Seconds(4);
  static constexpr absl::Duration kDefaultTableTimeout = absl::Seconds(2);

  struct Options {
    // Names the duty, such as "reclaim" or "pool/chat".
    std::string task;
    InstanceId self;
    // None is owned; all must outlive the keeper.
    Clock* clock = SystemClock();
    TableService* table = nullptr;
    RandomSource* random = nullptr;
    Counters* counters = DiscardCounters();
    EventLog* events = DiscardEvents();
    // Returns this instance's rank among the candidates from zero, or nullopt
    // if it is none. Null makes it the first.
    std::function<std::optional<std::size_t>()> rank;
    absl::Duration duration = kDefaultDuration;
    absl::Duration margin = kDefaultMargin;
    absl::Duration renewal = kDefaultRenewal;
    absl::Duration candidate_poll = kDefaultCandidatePoll;
    absl::Duration table_timeout = kDefaultTableTimeout;
  };

  explicit LeaseManager(Options options);
  ~LeaseManager() override;

  // Takes or renews the lease if that is due. Returns how long to wait before
  // the next step.
  absl::Duration Step();

  std::optional<HeldLease> Held() const override;

  // Stops acting on the duty and frees the row for a successor at once. Call
  // it when nothing that was begun under the lease is in flight any more.
  void Release();

 private:
  class State;
  const std::unique_ptr<State> state_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_LEASE_MANAGER_H_
