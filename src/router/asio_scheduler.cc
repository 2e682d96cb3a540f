#include "src/router/asio_scheduler.h"

#include <memory>
#include <utility>

#include "boost/asio/steady_timer.hpp"

namespace wisteriareel {

void AsioScheduler::After(absl::Duration delay, std::function<void()> run) {
  auto timer = std::make_shared<boost::asio::steady_timer>(
      *io_, absl::ToChronoMicroseconds(delay));
  timer->async_wait(
      [timer, run = std::move(run)](boost::system::error_code ec) {
        if (!ec) run();
      });
}

}  // namespace wisteriareel
