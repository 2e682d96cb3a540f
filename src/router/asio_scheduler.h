#ifndef WISTERIAREEL_SRC_ROUTER_ASIO_SCHEDULER_H_
#define WISTERIAREEL_SRC_ROUTER_ASIO_SCHEDULER_H_

#include <functional>

#include "boost/asio/io_context.hpp"
#include "src/router/scheduler.h"
#include "wisteriareel/clock.h"

namespace wisteriareel {

// Runs functions on Boost.Asio timers.
class AsioScheduler final : public Scheduler {
 public:
  // The pointers outlive the scheduler.
  AsioScheduler(boost::asio::io_context* io, Clock* clock)
      : io_(io), clock_(clock) {}

  absl::Time Now() const override { return clock_->Now(); }
  void After(absl::Duration delay, std::function<void()> run) override;

 private:
  boost::asio::io_context* const io_;
  Clock* const clock_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_ROUTER_ASIO_SCHEDULER_H_
