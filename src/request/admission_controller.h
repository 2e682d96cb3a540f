#ifndef WISTERIAREEL_SRC_REQUEST_ADMISSION_CONTROLLER_H_
#define WISTERIAREEL_SRC_REQUEST_ADMISSION_CONTROLLER_H_

#include <condition_variable>
#include <memory>
#include <mutex>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "src/request/admission.h"
#include "src/request/admission_queue.h"
#include "wisteriareel/clock.h"

namespace wisteriareel {

struct AdmissionControllerOptions {
  AdmissionQueueOptions queue;
  Clock* clock = SystemClock();
};

// Blocks callers' threads until the AdmissionQueue of their pool admits them.
// Thread-safe; requests that wait for different pools share no lock.
class AdmissionController final : public Admission {
 public:
  explicit AdmissionController(const AdmissionControllerOptions& options)
      : options_(options) {}

  AdmissionController(const AdmissionController&) = delete;
  AdmissionController& operator=(const AdmissionController&) = delete;

  AdmissionReply AcquireSlot(const AdmissionRequest& request) override;
  void ReleaseSlot(const AdmissionRequest& request,
                   absl::Duration service_time) override;

  // Returns the number of requests that wait for the pool.
  int CountQueued(const PoolId& pool);

 private:
  struct Waiter {
    std::condition_variable admitted_changed;
    bool admitted = false;
  };
  struct PoolQueue {
    explicit PoolQueue(const AdmissionQueueOptions& options) : queue(options) {}

    std::mutex mutex;
    AdmissionQueue queue;
    absl::flat_hash_map<AdmissionTicket, Waiter*> waiters;
  };

  PoolQueue& FindOrCreateQueue(const PoolId& pool);
  AdmissionReply WaitForAdmission(PoolQueue* pool,
                                  std::unique_lock<std::mutex>* lock,
                                  const AdmissionRequest& request,
                                  AdmissionTicket ticket);
  void AdmitWaiting(PoolQueue* pool);

  const AdmissionControllerOptions options_;
  // Guards pools_, not the queues in it.
  std::mutex mutex_;
  absl::flat_hash_map<PoolId, std::unique_ptr<PoolQueue>> pools_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_REQUEST_ADMISSION_CONTROLLER_H_
