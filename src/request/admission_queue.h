#ifndef WISTERIAREEL_SRC_REQUEST_ADMISSION_QUEUE_H_
#define WISTERIAREEL_SRC_REQUEST_ADMISSION_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "src/request/admission.h"
#include "wisteriareel/reason.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

struct AdmissionQueueOptions {
  // Maximum number of waiting requests, per priority class.
  std::array<int, kPriorityCount> max_queued = {256, 512, 512};
  // Share of a class's queue that one customer may fill.
  double max_customer_share = 0.5;
  // Maximum wait, per priority class. A request that would wait longer is
  // refused at once, so that its caller can still try elsewhere.
  std::array<absl::Duration, kPriorityCount> max_wait = {
      absl::Seconds(2), absl::Seconds(10), absl::Seconds(60)};
  // Share of the capacity that a class may use. The rest is reserved for higher
  // classes.
  std::array<double, kPriorityCount> capacity_share = {1.0, 0.95, 0.85};
  // Weights by which waiting classes share the freed slots.
  std::array<int, kPriorityCount> class_weights = {16, 4, 1};
  // Weight of the newest sample in the moving average of the service time.
  double service_time_gain = 0.05;
};

// Identifies a waiting request.
using AdmissionTicket = std::uint64_t;

// Result of OfferRequest.
struct AdmissionDecision {
  enum class Kind : std::uint8_t { kAdmitted, kQueued, kRefused };
  Kind kind = Kind::kRefused;
  // Set for kQueued.
  AdmissionTicket ticket = 0;
  // Set for kRefused.
  Reason reason = Reason::kNone;
  absl::Duration retry_after;
};

// Decides which requests may use one pool. Waiting requests are admitted by
// weighted fair queueing between priority classes and, within a class, between
// customers; the requests of one customer are admitted first in, first out. Not
// thread-safe; reads no clock.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(const AdmissionQueueOptions& options)
      : options_(options) {}

  // Admits, queues or refuses a request. The capacity of the request replaces
  // the current one.
  AdmissionDecision OfferRequest(const AdmissionRequest& request,
                                 absl::Time now);

  // Releases the slot of an admitted request that held it for `service_time`.
  void ReleaseSlot(const AdmissionRequest& request,
                   absl::Duration service_time);

  // Removes the next waiting request that may be admitted and counts it as in
  // flight. Returns nullopt if there is none.
  std::optional<AdmissionTicket> AdmitNext(absl::Time now);

  // Removes a waiting request. Returns false if it is no longer waiting.
  bool RemoveWaiting(AdmissionTicket ticket);

  // Returns how long a request of `priority` that is queued now would wait.
  absl::Duration EstimateWait(Priority priority) const;

  int in_flight() const { return in_flight_; }
  int queued() const;

 private:
  struct QueuedRequest {
    AdmissionTicket ticket = 0;
    AdmissionRequest request;
  };
  // Waiting requests of one customer in one class.
  struct CustomerQueue {
    std::deque<QueuedRequest> waiting;
    // Virtual start time of the customer's next request.
    double virtual_start = 0;
  };
  struct PriorityClass {
    std::map<CustomerId, CustomerQueue> customer_queues;
    int queued = 0;
    int in_flight = 0;
    // Virtual time within the class: the start of the request admitted last.
    // The class itself is next admitted from at `virtual_start`, on the time
    // scale of the queue's virtual_time_.
    double virtual_time = 0;
    double virtual_start = 0;
  };

  static std::size_t IndexOf(Priority priority) {
    return static_cast<std::size_t>(priority);
  }
  bool HasCapacity(std::size_t index) const;
  int CapacityOf(std::size_t index) const;
  std::optional<Reason> FindRefusalReason(const AdmissionRequest& request,
                                          absl::Time now) const;
  void Enqueue(const AdmissionRequest& request, AdmissionTicket ticket);
  void Admit(std::size_t index);
  PriorityClass* PickNextClass();
  std::optional<QueuedRequest> DequeueFrom(PriorityClass* priority_class);

  const AdmissionQueueOptions options_;
  std::array<PriorityClass, kPriorityCount> classes_;
  int capacity_ = 1;
  int in_flight_ = 0;
  double virtual_time_ = 0;
  AdmissionTicket last_ticket_ = 0;
  // Moving average of the time that admitted requests hold their slot; zero
  // before the first release.
  absl::Duration service_time_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_REQUEST_ADMISSION_QUEUE_H_
