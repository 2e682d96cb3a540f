#ifndef WISTERIAREEL_BACKGROUND_LOOP_H_
#define WISTERIAREEL_BACKGROUND_LOOP_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "absl/time/time.h"

namespace wisteriareel {

// Runs a step repeatedly on its own thread. The step returns the delay before
// the next one. All members except Start are thread-safe.
class BackgroundLoop {
 public:
  using Step = std::function<absl::Duration()>;

  // Creates a loop that does not run until Start.
  BackgroundLoop() = default;

  // Creates a loop and starts it.
  explicit BackgroundLoop(Step step);

  // Stops the loop and joins its thread.
  ~BackgroundLoop();

  BackgroundLoop(const BackgroundLoop&) = delete;
  BackgroundLoop& operator=(const BackgroundLoop&) = delete;

  // Starts the thread. Must be called at most once. `step` must not call Stop
  // or destroy the loop.
  void Start(Step step);

  // Runs the next step at once, or right after the running one.
  void Wake();

  // Waits for the running step to end and prevents further ones. Idempotent.
  void Stop();

 private:
  void Run();

  Step step_;
  // Not absl::Mutex: Debian builds it without ThreadSanitizer instrumentation.
  std::mutex mutex_;
  std::condition_variable changed_;
  bool woken_ = false;
  bool stopped_ = false;
  std::thread thread_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_BACKGROUND_LOOP_H_
