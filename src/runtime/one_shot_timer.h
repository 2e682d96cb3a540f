#ifndef WISTERIAREEL_SRC_RUNTIME_ONE_SHOT_TIMER_H_
#define WISTERIAREEL_SRC_RUNTIME_ONE_SHOT_TIMER_H_

#include <chrono>
#include <cstdint>
#include <utility>

#include "boost/asio/io_context.hpp"
#include "boost/asio/steady_timer.hpp"
#include "boost/system/error_code.hpp"

namespace wisteriareel {

// Runs a function once after a delay. Unlike that of boost::asio::steady_timer,
// the function doesn't run any more once Cancel or Arm was called, even if the
// delay was over before. Not thread-safe.
class OneShotTimer {
 public:
  // `io` must outlive the timer.
  explicit OneShotTimer(boost::asio::io_context* io) : timer_(*io) {}

  OneShotTimer(const OneShotTimer&) = delete;
  OneShotTimer& operator=(const OneShotTimer&) = delete;

  // Runs `run` after `delay`, in place of the function set before. `run` must
  // keep the timer alive until it is destroyed.
  template <typename Function>
  void Arm(std::chrono::microseconds delay, Function run) {
    timer_.expires_after(delay);
    timer_.async_wait([this, arming = ++armings_, run = std::move(run)](
                          const boost::system::error_code& ec) mutable {
      if (!ec && arming == armings_) run();
    });
  }

  void Cancel() {
    ++armings_;
    timer_.cancel();
  }

 private:
  boost::asio::steady_timer timer_;
  // Identifies the function to run among those that were set.
  std::uint64_t armings_ = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_RUNTIME_ONE_SHOT_TIMER_H_
