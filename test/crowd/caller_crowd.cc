#include "test/crowd/caller_crowd.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace wisteriareel::crowd {
namespace {

constexpr std::size_t kSendBytes = 64 << 10;
constexpr int kPollMs = 50;
// A crowd without progress for this long has come to its end.
constexpr absl::Duration kQuiet = absl::Seconds(1);
// Ends a crowd that never comes to rest.
constexpr absl::Duration kMaxRun = absl::Seconds(40);

}  // namespace

CallerCrowd::CallerCrowd(std::uint16_t port, CallerScript script, int callers)
    : port_(port),
      script_(std::move(script)),
      members_(static_cast<std::size_t>(callers)) {}

void CallerCrowd::Connect(Member* member) {
  member->connection = soak::ConnectToLoopback(port_);
  member->sent = 0;
  ++member->connects;
  if (!member->connection.valid()) return;
  const int fd = member->connection.get();
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
}

bool CallerCrowd::Send(Member* member) {
  std::string bytes;
  if (member->sent < script_.begin.size()) {
    bytes = script_.begin.substr(member->sent);
  }
  const std::size_t left = script_.size() - member->sent;
  if (!script_.repeated.empty()) {
    const std::size_t unit = script_.repeated.size();
    const std::size_t into = member->sent < script_.begin.size()
                                 ? 0
                                 : (member->sent - script_.begin.size()) % unit;
    const std::size_t start = bytes.size();
    while (bytes.size() < kSendBytes + into) bytes += script_.repeated;
    bytes.erase(start, into);
  }
  bytes.resize(std::min(bytes.size(), left));
  const ssize_t n =
      send(member->connection.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
  if (n > 0) member->sent += static_cast<std::size_t>(n);
  return n > 0;
}

bool CallerCrowd::Discard(const Member& member) const {
  std::array<char, 16384> buf;
  const int flags = script_.reads_responses ? 0 : MSG_PEEK;
  const ssize_t n =
      recv(member.connection.get(), buf.data(), buf.size(), flags);
  return n > 0 || (n < 0 && (errno == EAGAIN || errno == EINTR));
}

bool CallerCrowd::Step(int reconnects) {
  std::vector<pollfd> entries;
  entries.reserve(members_.size());
  for (const Member& member : members_) {
    const int events = (script_.reads_responses ? POLLIN : POLLRDHUP) |
                       (member.sent < script_.size() ? POLLOUT : 0);
    entries.push_back({.fd = member.connection.get(),
                       .events = static_cast<std::int16_t>(events),
                       .revents = 0});
  }
  poll(entries.data(), entries.size(), kPollMs);
  bool progress = false;
  for (std::size_t n = 0; n < members_.size(); ++n) {
    Member& member = members_[n];
    const int events = entries[n].revents;
    if (events == 0) continue;
    const bool is_open =
        (events & (POLLERR | POLLHUP | POLLRDHUP)) == 0 && Discard(member);
    if (!is_open) {
      member.connection.Reset();
      progress = true;
      if (member.connects <= reconnects) Connect(&member);
      continue;
    }
    if ((events & POLLOUT) != 0) progress |= Send(&member);
  }
  return progress;
}

void CallerCrowd::Run(int reconnects) {
  for (Member& member : members_) Connect(&member);
  const absl::Time end = absl::Now() + kMaxRun;
  absl::Time last_progress = absl::Now();
  while (absl::Now() < end && absl::Now() - last_progress < kQuiet) {
    if (Step(reconnects)) last_progress = absl::Now();
  }
}

}  // namespace wisteriareel::crowd
