#include "src/request/admission_queue.h"

#include <algorithm>
#include <utility>

namespace wisteriareel {
namespace {

constexpr absl::Duration kMinRetryAfter = absl::Milliseconds(100);
constexpr absl::Duration kMaxRetryAfter = absl::Seconds(30);

}  // namespace

AdmissionDecision AdmissionQueue::OfferRequest(const AdmissionRequest& request,
                                               absl::Time now) {
  capacity_ = std::max(1, request.capacity);
  const std::size_t index = IndexOf(request.priority);
  if (classes_[index].queued == 0 && HasCapacity(index)) {
    Admit(index);
    return {.kind = AdmissionDecision::Kind::kAdmitted};
  }
  if (const std::optional<Reason> reason = FindRefusalReason(request, now)) {
    return {.kind = AdmissionDecision::Kind::kRefused,
            .reason = *reason,
            .retry_after = std::clamp(EstimateWait(request.priority),
                                      kMinRetryAfter, kMaxRetryAfter)};
  }
  const AdmissionTicket ticket = ++last_ticket_;
  Enqueue(request, ticket);
  return {.kind = AdmissionDecision::Kind::kQueued, .ticket = ticket};
}

void AdmissionQueue::ReleaseSlot(const AdmissionRequest& request,
                                 absl::Duration service_time) {
  --in_flight_;
  --classes_[IndexOf(request.priority)].in_flight;
  if (service_time_ == absl::ZeroDuration()) {
    service_time_ = service_time;
    return;
  }
  service_time_ += (service_time - service_time_) * options_.service_time_gain;
}

std::optional<AdmissionTicket> AdmissionQueue::AdmitNext(absl::Time now) {
  while (PriorityClass* next = PickNextClass()) {
    const std::optional<QueuedRequest> taken = DequeueFrom(next);
    if (!taken) return std::nullopt;
    // Skips a request past its deadline; its caller no longer waits for it.
    if (now >= taken->request.deadline) continue;
    Admit(IndexOf(taken->request.priority));
    return taken->ticket;
  }
  return std::nullopt;
}

bool AdmissionQueue::RemoveWaiting(AdmissionTicket ticket) {
  for (PriorityClass& priority_class : classes_) {
    for (auto& [customer, customer_queue] : priority_class.customer_queues) {
      const auto it = std::find_if(customer_queue.waiting.begin(),
                                   customer_queue.waiting.end(),
                                   [&](const QueuedRequest& waiting) {
                                     return waiting.ticket == ticket;
                                   });
      if (it == customer_queue.waiting.end()) continue;
      customer_queue.waiting.erase(it);
      --priority_class.queued;
      return true;
    }
  }
  return false;
}

absl::Duration AdmissionQueue::EstimateWait(Priority priority) const {
  const std::size_t index = IndexOf(priority);
  double active_weight = 0;
  for (std::size_t i = 0; i < classes_.size(); ++i) {
    if (classes_[i].queued > 0 || i == index) {
      active_weight += options_.class_weights[i];
    }
  }
  const double share = options_.class_weights[index] / active_weight;
  const double ahead =
      std::min<double>(queued(), classes_[index].queued / share);
  return service_time_ * ((ahead + 1) / CapacityOf(index));
}

int AdmissionQueue::queued() const {
  int total = 0;
  for (const PriorityClass& priority_class : classes_) {
    total += priority_class.queued;
  }
  return total;
}

// A class has capacity if, for it and for each higher class, the requests in
// flight of that class and all lower ones are below the share of that class.
bool AdmissionQueue::HasCapacity(std::size_t index) const {
  int above = 0;
  for (std::size_t i = 0; i <= index; ++i) {
    if (in_flight_ - above >= CapacityOf(i)) return false;
    above += classes_[i].in_flight;
  }
  return true;
}

int AdmissionQueue::CapacityOf(std::size_t index) const {
  return std::max(1,
                  static_cast<int>(capacity_ * options_.capacity_share[index]));
}

std::optional<Reason> AdmissionQueue::FindRefusalReason(
    const AdmissionRequest& request, absl::Time now) const {
  const std::size_t index = IndexOf(request.priority);
  const PriorityClass& priority_class = classes_[index];
  const int limit = options_.max_queued[index];
  if (priority_class.queued >= limit) return Reason::kQueueFull;
  const auto customer_queue =
      priority_class.customer_queues.find(request.customer);
  const bool known = customer_queue != priority_class.customer_queues.end();
  const double waiting =
      known ? static_cast<double>(customer_queue->second.waiting.size()) : 0;
  if (waiting >= limit * options_.max_customer_share) {
    return Reason::kCustomerShareExceeded;
  }
  const absl::Duration wait = EstimateWait(request.priority);
  const bool too_long =
      wait > options_.max_wait[index] || now + wait >= request.deadline;
  if (too_long) return Reason::kShedOverload;
  return std::nullopt;
}

// A customer or class that had no waiting requests gets no credit for that
// time.
void AdmissionQueue::Enqueue(const AdmissionRequest& request,
                             AdmissionTicket ticket) {
  PriorityClass& priority_class = classes_[IndexOf(request.priority)];
  if (priority_class.queued == 0) {
    priority_class.virtual_start =
        std::max(priority_class.virtual_start, virtual_time_);
  }
  CustomerQueue& customer_queue =
      priority_class.customer_queues[request.customer];
  if (customer_queue.waiting.empty()) {
    customer_queue.virtual_start =
        std::max(customer_queue.virtual_start, priority_class.virtual_time);
  }
  customer_queue.waiting.push_back({.ticket = ticket, .request = request});
  ++priority_class.queued;
}

void AdmissionQueue::Admit(std::size_t index) {
  ++in_flight_;
  ++classes_[index].in_flight;
}

AdmissionQueue::PriorityClass* AdmissionQueue::PickNextClass() {
  PriorityClass* next = nullptr;
  for (std::size_t i = 0; i < classes_.size(); ++i) {
    PriorityClass& priority_class = classes_[i];
    if (priority_class.queued == 0 || !HasCapacity(i)) continue;
    if (next == nullptr || priority_class.virtual_start < next->virtual_start) {
      next = &priority_class;
    }
  }
  if (next == nullptr) return nullptr;
  virtual_time_ = next->virtual_start;
  const auto index = static_cast<std::size_t>(next - classes_.data());
  next->virtual_start += 1.0 / options_.class_weights[index];
  return next;
}

std::optional<AdmissionQueue::QueuedRequest> AdmissionQueue::DequeueFrom(
    PriorityClass* priority_class) {
  auto best = priority_class->customer_queues.end();
  for (auto it = priority_class->customer_queues.begin();
       it != priority_class->customer_queues.end();) {
    if (it->second.waiting.empty() &&
        it->second.virtual_start <= priority_class->virtual_time) {
      it = priority_class->customer_queues.erase(it);
      continue;
    }
    const bool earlier = best == priority_class->customer_queues.end() ||
                         it->second.virtual_start < best->second.virtual_start;
    if (!it->second.waiting.empty() && earlier) best = it;
    ++it;
  }
  if (best == priority_class->customer_queues.end()) return std::nullopt;
  CustomerQueue& customer_queue = best->second;
  QueuedRequest taken = std::move(customer_queue.waiting.front());
  customer_queue.waiting.pop_front();
  --priority_class->queued;
  priority_class->virtual_time = customer_queue.virtual_start;
  customer_queue.virtual_start += 1.0 / std::max(1u, taken.request.weight);
  return taken;
}

}  // namespace wisteriareel
