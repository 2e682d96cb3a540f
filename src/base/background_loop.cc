#include "wisteriareel/background_loop.h"

#include <algorithm>
#include <utility>

namespace wisteriareel {
namespace {

constexpr absl::Duration kMaxPause = absl::Hours(24);

}  // namespace

BackgroundLoop::BackgroundLoop(Step step) { Start(std::move(step)); }

BackgroundLoop::~BackgroundLoop() { Stop(); }

void BackgroundLoop::Start(Step step) {
  step_ = std::move(step);
  thread_ = std::thread([this] { Run(); });
}

void BackgroundLoop::Wake() {
  std::lock_guard<std::mutex> lock(mutex_);
  woken_ = true;
  changed_.notify_all();
}

void BackgroundLoop::Stop() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    stopped_ = true;
    changed_.notify_all();
  }
  if (thread_.joinable()) thread_.join();
}

void BackgroundLoop::Run() {
  while (true) {
    const absl::Duration pause = std::min(step_(), kMaxPause);
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait_for(lock, absl::ToChronoNanoseconds(pause),
                      [this] { return woken_ || stopped_; });
    if (stopped_) return;
    woken_ = false;
  }
}

}  // namespace wisteriareel
