#ifndef WISTERIAREEL_BACKGROUND_LOOP_H_
#define WISTERIAREEL_BACKGROUND_LOOP_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "absl/time/time.h"

namespace wisteriareel {

// Runs a step again and again on a thread of its own. The step returns how
// long to wait before the next one. Owns its thread; thread-safe but for
// Start.
class BackgroundLoop {
 public:
  using Step = std::function<absl::Duration()>;

  // Makes a loop that stands still until Start.
  BackgroundLoop() = default;

  // Makes a loop and starts it.
  explicit BackgroundLoop(Step step);

  // Stops the loop.
  ~BackgroundLoop();

  BackgroundLoop(const BackgroundLoop&) = delete;
  BackgroundLoop& operator=(const BackgroundLoop&) = delete;

  // Starts the thread; to be called once. `step` must not call Stop or destroy
  // the loop.
  void Start(Step step);

  // Runs the next step at once, or right after the one that is running.
  void Wake();

  // Waits for the running step to end; no further one starts. Idempotent.
  void Stop();

 private:
  void Run();

  Step step_;
  // Not absl::Mutex: ThreadSanitizer can't see into Debian's build of it.
  std::mutex mutex_;
  std::condition_variable changed_;
  bool woken_ = false;
  bool stopped_ = false;
  std::thread thread_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_BACKGROUND_LOOP_H_
