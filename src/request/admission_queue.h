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
  // Requests that wait at most, per priority class.
  std::array<int, kPriorityCount> max_queued = {256, 512, 512};
  // Share of a class's queue that one customer may fill.
  double customer_share = 0.5;
  // Longest wait, per priority class. Longer ones are refused early, while
  // their callers can still go elsewhere.
  std::array<absl::Duration, kPriorityCount> max_wait = {
      absl::Seconds(2), absl::Seconds(10), absl::Seconds(60)};
  // Share of the capacity that a class may use. What is left stays free for
  // classes above it.
  std::array<double, kPriorityCount> capacity_share = {1.0, 0.95, 0.85};
  // Turns that waiting classes get relative to each other.
  std::array<int, kPriorityCount> turns = {16, 4, 1};
  // Weight of the newest sample in the estimate of how long a request stays.
  double service_time_gain = 0.05;
};

// Names a waiting request.
using AdmissionTicket = std::uint64_t;

// What became of a request that was offered.
struct AdmissionDecision {
  enum class Kind : std::uint8_t { kAdmitted, kQueued, kRefused };
  Kind kind = Kind::kRefused;
  // For kQueued.
  AdmissionTicket ticket = 0;
  // For kRefused.
  Reason reason = Reason::kNone;
  absl::Duration retry_after;
};

// Decides which requests use one pool, and in which order those that wait get
// their turn: weighted between priority classes, within a class weighted fair
// between customers, and first come first served within a customer. Not
// thread-safe; reads no clock.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(const AdmissionQueueOptions& options)
      : options_(options) {}

  // Admits, queues or refuses a request. Its `capacity` becomes the queue's.
  AdmissionDecision Offer(const AdmissionRequest& request, absl::Time now);

  // Ends the stay of an admitted request that took `stayed`.
  void Leave(const AdmissionRequest& request, absl::Duration stayed);

  // Takes the next waiting request that may be admitted, and counts it as
  // admitted. Returns nullopt if there is none.
  std::optional<AdmissionTicket> TakeNext(absl::Time now);

  // Takes a waiting request out. Returns false if it isn't waiting any more.
  bool Withdraw(AdmissionTicket ticket);

  // Returns how long a request of `priority` would wait by now.
  absl::Duration EstimateWait(Priority priority) const;

  int in_flight() const { return in_flight_; }
  int queued() const;

 private:
  struct Waiting {
    AdmissionTicket ticket = 0;
    AdmissionRequest request;
  };
  // A customer's waiting requests in one class.
  struct Line {
    std::deque<Waiting> waiting;
    // Virtual time at which the customer's next request is due.
    double due = 0;
  };
  struct Class {
    std::map<CustomerId, Line> lines;
    int queued = 0;
    int in_flight = 0;
    // Virtual time of the request served last, and the class's own turn.
    double served = 0;
    double due = 0;
  };

  static std::size_t IndexOf(Priority priority) {
    return static_cast<std::size_t>(priority);
  }
  bool HasRoom(std::size_t index) const;
  int CapacityOf(std::size_t index) const;
  std::optional<Reason> WhyRefuse(const AdmissionRequest& request,
                                  absl::Time now) const;
  void Enqueue(const AdmissionRequest& request, AdmissionTicket ticket);
  void Admit(std::size_t index);
  Class* NextClass();
  std::optional<Waiting> TakeFrom(Class* line_class);

  const AdmissionQueueOptions options_;
  std::array<Class, kPriorityCount> classes_;
  int capacity_ = 1;
  int in_flight_ = 0;
  double turn_ = 0;
  AdmissionTicket last_ticket_ = 0;
  // How long admitted requests stay, smoothed. Zero until one has left.
  absl::Duration service_time_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_REQUEST_ADMISSION_QUEUE_H_
