#include "src/observability/line_writer.h"

#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <climits>
#include <condition_variable>
#include <csignal>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace wisteriareel {
namespace {

// Writes all of `bytes`. Returns false if the descriptor accepts no more.
bool WriteAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = write(fd, bytes.data(), bytes.size());
    if (n > 0) {
      bytes.remove_prefix(static_cast<std::size_t>(n));
      continue;
    }
    if (n < 0 && errno == EINTR) continue;
    if (n == 0 || errno != EAGAIN) return false;
    // Another owner of the descriptor made it non-blocking.
    pollfd event{.fd = fd, .events = POLLOUT, .revents = 0};
    poll(&event, 1, -1);
  }
  return true;
}

// Returns the size of the first lines that a pipe accepts in one piece.
std::size_t SizeOfWholeLines(std::string_view lines) {
  if (lines.size() <= PIPE_BUF) return lines.size();
  const std::size_t last = lines.rfind('\n', PIPE_BUF - 1);
  if (last != std::string_view::npos) return last + 1;
  return lines.find('\n') + 1;
}

}  // namespace

struct LineWriter::State {
  void Run(int fd);

  std::mutex mutex;
  std::condition_variable changed;
  std::string pending;
  bool writing = false;
  bool closing = false;
};

void LineWriter::State::Run(int fd) {
  std::unique_lock<std::mutex> lock(mutex);
  for (;;) {
    changed.wait(lock, [this] { return closing || !pending.empty(); });
    if (pending.empty()) return;
    const std::size_t n = SizeOfWholeLines(pending);
    const std::string lines = pending.substr(0, n);
    pending.erase(0, n);
    writing = true;
    lock.unlock();
    // There is nowhere to report lines that can't be written.
    WriteAll(fd, lines);
    lock.lock();
    writing = false;
    if (pending.empty()) changed.notify_all();
  }
}

LineWriter::LineWriter(const LineWriterOptions& options)
    : options_(options), state_(std::make_shared<State>()) {
  // A reader that is gone must not end the process by SIGPIPE, and signals for
  // the process are handled by its other threads.
  sigset_t all;
  sigset_t before;
  sigfillset(&all);
  pthread_sigmask(SIG_SETMASK, &all, &before);
  std::thread([state = state_, fd = options_.fd] { state->Run(fd); }).detach();
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

LineWriter::~LineWriter() {
  Flush(options_.close_timeout);
  const std::lock_guard<std::mutex> lock(state_->mutex);
  state_->pending.clear();
  state_->closing = true;
  state_->changed.notify_all();
}

bool LineWriter::Write(std::string_view line, bool is_important) {
  const std::size_t capacity =
      options_.max_pending_bytes - (is_important ? 0 : options_.reserved_bytes);
  const std::lock_guard<std::mutex> lock(state_->mutex);
  if (state_->pending.size() + line.size() > capacity) return false;
  const bool was_empty = state_->pending.empty();
  state_->pending += line;
  if (was_empty && !state_->writing) state_->changed.notify_all();
  return true;
}

bool LineWriter::Flush(absl::Duration timeout) {
  std::unique_lock<std::mutex> lock(state_->mutex);
  return state_->changed.wait_for(
      lock, absl::ToChronoMilliseconds(timeout),
      [this] { return state_->pending.empty() && !state_->writing; });
}

}  // namespace wisteriareel
