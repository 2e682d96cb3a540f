#include "src/request/admission_controller.h"

#include <algorithm>
#include <cstddef>

namespace wisteriareel {
namespace {

// Real time after which a waiting thread reads the clock of its options again.
constexpr absl::Duration kClockPoll = absl::Seconds(1);

}  // namespace

AdmissionReply AdmissionController::AcquireSlot(
    const AdmissionRequest& request) {
  PoolQueue& pool = FindOrCreateQueue(request.pool);
  std::unique_lock<std::mutex> lock(pool.mutex);
  const AdmissionDecision decision =
      pool.queue.OfferRequest(request, options_.clock->Now());
  switch (decision.kind) {
    case AdmissionDecision::Kind::kAdmitted:
      return {.admitted = true};
    case AdmissionDecision::Kind::kRefused:
      return {.reason = decision.reason, .retry_after = decision.retry_after};
    case AdmissionDecision::Kind::kQueued:
      break;
  }
  return WaitForAdmission(&pool, &lock, request, decision.ticket);
}

AdmissionReply AdmissionController::WaitForAdmission(
    PoolQueue* pool, std::unique_lock<std::mutex>* lock,
    const AdmissionRequest& request, AdmissionTicket ticket) {
  const auto index = static_cast<std::size_t>(request.priority);
  const absl::Time until = std::min(
      request.deadline, options_.clock->Now() + options_.queue.max_wait[index]);
  Waiter waiter;
  pool->waiters[ticket] = &waiter;
  AdmitWaiting(pool);
  while (!waiter.admitted) {
    const absl::Duration left = until - options_.clock->Now();
    if (left <= absl::ZeroDuration()) break;
    waiter.admitted_changed.wait_for(
        *lock, absl::ToChronoNanoseconds(std::min(left, kClockPoll)));
  }
  pool->waiters.erase(ticket);
  if (waiter.admitted) return {.admitted = true};
  pool->queue.RemoveWaiting(ticket);
  return {.reason = Reason::kQueueTimeout,
          .retry_after = pool->queue.EstimateWait(request.priority)};
}

void AdmissionController::ReleaseSlot(const AdmissionRequest& request,
                                      absl::Duration service_time) {
  PoolQueue& pool = FindOrCreateQueue(request.pool);
  std::lock_guard<std::mutex> lock(pool.mutex);
  pool.queue.ReleaseSlot(request, service_time);
  AdmitWaiting(&pool);
}

void AdmissionController::AdmitWaiting(PoolQueue* pool) {
  const absl::Time now = options_.clock->Now();
  while (const auto ticket = pool->queue.AdmitNext(now)) {
    Waiter* waiter = pool->waiters.at(*ticket);
    waiter->admitted = true;
    waiter->admitted_changed.notify_one();
  }
}

int AdmissionController::CountQueued(const PoolId& pool) {
  PoolQueue& found = FindOrCreateQueue(pool);
  std::lock_guard<std::mutex> lock(found.mutex);
  return found.queue.queued();
}

AdmissionController::PoolQueue& AdmissionController::FindOrCreateQueue(
    const PoolId& pool) {
  std::lock_guard<std::mutex> lock(mutex_);
  std::unique_ptr<PoolQueue>& queue = pools_[pool];
  if (queue == nullptr) queue = std::make_unique<PoolQueue>(options_.queue);
  return *queue;
}

}  // namespace wisteriareel
