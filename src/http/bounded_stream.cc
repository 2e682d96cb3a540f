#include "src/http/bounded_stream.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "wisteriareel/clock.h"

namespace wisteriareel {
namespace {

constexpr std::size_t kMaxTlsWriteBytes = 1 << 30;
// How often a waiting thread checks the cancellation flag.
constexpr absl::Duration kCancelPollInterval = absl::Milliseconds(25);

int PollMilliseconds(absl::Duration wait) {
  // Rounds up to avoid busy polling in the last millisecond of a wait.
  const std::int64_t ms = absl::ToInt64Milliseconds(
      wait + absl::Milliseconds(1) - absl::Nanoseconds(1));
  return static_cast<int>(std::clamp<std::int64_t>(ms, 0, 3'600'000));
}

void Describe(const sockaddr_storage& address, std::string* ip, int* port) {
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (address.ss_family == AF_INET) {
    const auto* v4 = reinterpret_cast<const sockaddr_in*>(&address);
    inet_ntop(AF_INET, &v4->sin_addr, text.data(), text.size());
    *port = ntohs(v4->sin_port);
  } else if (address.ss_family == AF_INET6) {
    const auto* v6 = reinterpret_cast<const sockaddr_in6*>(&address);
    inet_ntop(AF_INET6, &v6->sin6_addr, text.data(), text.size());
    *port = ntohs(v6->sin6_port);
  }
  *ip = text.data();
}

}  // namespace

BoundedStream::BoundedStream(const Options& options) : options_(options) {
  const int flags = fcntl(options_.fd, F_GETFL, 0);
  if (flags >= 0) fcntl(options_.fd, F_SETFL, flags | O_NONBLOCK);
}

bool BoundedStream::Wait(std::int16_t events, absl::Time deadline,
                         StreamFailure timeout_failure) {
  while (true) {
    if (options_.cancelled != nullptr && options_.cancelled->load()) {
      failure_ = StreamFailure::kCancelled;
      return false;
    }
    const absl::Duration left = deadline - SystemClock()->Now();
    if (left <= absl::ZeroDuration()) {
      failure_ = timeout_failure;
      return false;
    }
    const absl::Duration slice = options_.cancelled == nullptr
                                     ? left
                                     : std::min(left, kCancelPollInterval);
    pollfd entry{.fd = options_.fd, .events = events, .revents = 0};
    const int ready = poll(&entry, 1, PollMilliseconds(slice));
    if (ready > 0) return true;
    if (ready < 0 && errno != EINTR) {
      failure_ = StreamFailure::kClosed;
      return false;
    }
  }
}

bool BoundedStream::WaitToRead() {
  const absl::Time now = SystemClock()->Now();
  const absl::Time idle_deadline = limits_.idle_timeout == nullptr
                                       ? absl::InfiniteFuture()
                                       : now + *limits_.idle_timeout;
  if (idle_deadline < limits_.deadline) {
    return Wait(POLLIN, idle_deadline, StreamFailure::kStalled);
  }
  return Wait(POLLIN, limits_.deadline, StreamFailure::kDeadline);
}

ssize_t BoundedStream::Receive() {
  while (true) {
    if (options_.tls == nullptr) {
      const ssize_t n = recv(options_.fd, buffer_.data(), buffer_.size(), 0);
      if (n >= 0) return n;
      if (errno == EINTR) continue;
      if (errno != EAGAIN && errno != EWOULDBLOCK) {
        failure_ = StreamFailure::kClosed;
        return -1;
      }
      if (!WaitToRead()) return -1;
      continue;
    }
    ERR_clear_error();
    const int n = SSL_read(options_.tls, buffer_.data(),
                           static_cast<int>(buffer_.size()));
    if (n > 0) return n;
    const int error = SSL_get_error(options_.tls, n);
    if (error == SSL_ERROR_ZERO_RETURN) return 0;
    if (error == SSL_ERROR_WANT_READ) {
      if (!WaitToRead()) return -1;
      continue;
    }
    // A TLS connection closed without a close_notify alert may be truncated, so
    // it isn't the end of the data.
    failure_ = StreamFailure::kClosed;
    return -1;
  }
}

ssize_t BoundedStream::read(char* ptr, std::size_t size) {
  if (begin_ == end_) {
    if (SystemClock()->Now() >= limits_.deadline) {
      failure_ = StreamFailure::kDeadline;
      return -1;
    }
    const ssize_t n = Receive();
    if (n <= 0) {
      if (n == 0) failure_ = StreamFailure::kClosed;
      return n;
    }
    begin_ = 0;
    end_ = static_cast<std::size_t>(n);
    bytes_read_ += static_cast<std::uint64_t>(n);
  }
  if (limits_.bytes == 0) {
    failure_ = StreamFailure::kByteLimitExceeded;
    return -1;
  }
  std::size_t n = std::min(size, end_ - begin_);
  n = static_cast<std::size_t>(std::min<std::uint64_t>(n, limits_.bytes));
  std::memcpy(ptr, buffer_.data() + begin_, n);
  begin_ += n;
  if (limits_.bytes != UINT64_MAX) limits_.bytes -= n;
  return static_cast<ssize_t>(n);
}

bool BoundedStream::WriteAll(const char* bytes, std::size_t size) {
  const absl::Time deadline = SystemClock()->Now() + options_.write_timeout;
  std::size_t written = 0;
  while (written < size) {
    const std::size_t left = size - written;
    std::int16_t wanted = POLLOUT;
    if (options_.tls == nullptr) {
      const ssize_t n = send(options_.fd, bytes + written, left, MSG_NOSIGNAL);
      if (n > 0) {
        written += static_cast<std::size_t>(n);
        bytes_written_ += static_cast<std::uint64_t>(n);
        continue;
      }
      if (n < 0 && errno == EINTR) continue;
      if (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
        failure_ = StreamFailure::kClosed;
        return false;
      }
    } else {
      ERR_clear_error();
      const int n =
          SSL_write(options_.tls, bytes + written,
                    static_cast<int>(std::min(left, kMaxTlsWriteBytes)));
      if (n > 0) {
        written += static_cast<std::size_t>(n);
        bytes_written_ += static_cast<std::uint64_t>(n);
        continue;
      }
      const int error = SSL_get_error(options_.tls, n);
      if (error != SSL_ERROR_WANT_READ && error != SSL_ERROR_WANT_WRITE) {
        failure_ = StreamFailure::kClosed;
        return false;
      }
      // Part of a TLS record may have been sent already. Counts a byte so that
      // bytes_written() isn't zero.
      ++bytes_written_;
      if (error == SSL_ERROR_WANT_READ) wanted = POLLIN;
    }
    if (!Wait(wanted, deadline, StreamFailure::kStalled)) return false;
  }
  return true;
}

ssize_t BoundedStream::write(const char* ptr, std::size_t size) {
  if (discard_writes_) return static_cast<ssize_t>(size);
  return WriteAll(ptr, size) ? static_cast<ssize_t>(size) : -1;
}

bool BoundedStream::WaitUntilReadable(absl::Duration timeout) {
  if (begin_ != end_) return true;
  if (options_.tls != nullptr && SSL_pending(options_.tls) > 0) return true;
  return Wait(POLLIN, SystemClock()->Now() + timeout, StreamFailure::kStalled);
}

bool BoundedStream::PeerClosed() const {
  pollfd entry{.fd = options_.fd, .events = POLLIN, .revents = 0};
  if (poll(&entry, 1, 0) <= 0) return false;
  if ((entry.revents & (POLLERR | POLLHUP | POLLNVAL)) != 0) return true;
  char next = 0;
  const ssize_t n = recv(options_.fd, &next, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

bool BoundedStream::is_readable() const { return true; }

bool BoundedStream::is_writable() const { return !PeerClosed(); }

void BoundedStream::get_remote_ip_and_port(std::string& ip, int& port) const {
  sockaddr_storage address{};
  socklen_t size = sizeof(address);
  auto* raw = reinterpret_cast<sockaddr*>(&address);
  if (getpeername(options_.fd, raw, &size) == 0) Describe(address, &ip, &port);
}

void BoundedStream::get_local_ip_and_port(std::string& ip, int& port) const {
  sockaddr_storage address{};
  socklen_t size = sizeof(address);
  auto* raw = reinterpret_cast<sockaddr*>(&address);
  if (getsockname(options_.fd, raw, &size) == 0) Describe(address, &ip, &port);
}

}  // namespace wisteriareel
