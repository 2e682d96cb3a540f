#ifndef WISTERIAREEL_SRC_HTTP_BOUNDED_STREAM_H_
#define WISTERIAREEL_SRC_HTTP_BOUNDED_STREAM_H_

#include <httplib.h>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>

#include "absl/time/time.h"

namespace wisteriareel {

// What ends a wait for the peer's bytes early.
struct ReadLimits {
  // Reads fail after this time of SystemClock().
  absl::Time deadline = absl::InfiniteFuture();
  // Longest wait for the next byte; null for none. Read anew at each wait.
  const absl::Duration* idle_timeout = nullptr;
  // Bytes that may still be read.
  std::uint64_t bytes = UINT64_MAX;
};

// Why a read or a write failed.
enum class StreamFailure : std::uint8_t {
  kNone,
  kClosed,
  kDeadline,
  kStalled,
  kByteLimitExceeded,
  kCancelled,
};

// A connection as cpp-httplib wants it, bounded in time and bytes: the
// library's own stream restarts its timeout with each byte and has no limit
// on a line. Borrows the descriptor and the TLS session, and makes the
// descriptor non-blocking. Not thread-safe.
class BoundedStream final : public httplib::Stream {
 public:
  struct Options {
    int fd = -1;
    // Null for a connection without TLS.
    SSL* tls = nullptr;
    // Longest wait for the peer to take bytes.
    absl::Duration write_timeout = absl::Seconds(20);
    // Polled while waiting; null for none. Must outlive the stream.
    const std::atomic<bool>* cancelled = nullptr;
  };

  explicit BoundedStream(const Options& options);

  // Replaces the limits for the reads that follow.
  void LimitReads(const ReadLimits& limits) { limits_ = limits; }

  // From now on drops what is written and reports it as written.
  void DiscardWrites() { discard_writes_ = true; }

  // Waits for the peer's next byte. Returns false if none came in time.
  bool WaitUntilReadable(absl::Duration timeout);

  // Returns true if bytes were received and not yet read.
  bool HasUnreadBytes() const { return begin_ != end_; }

  // Returns true once the peer has closed its side. Reads no byte.
  bool PeerClosed() const;

  // Writes all bytes. Returns false if the peer is gone or too slow. Not
  // subject to DiscardWrites.
  bool WriteAll(const char* bytes, std::size_t size);

  // Returns why the last failed read or write failed.
  StreamFailure failure() const { return failure_; }
  std::uint64_t bytes_written() const { return bytes_written_; }
  std::uint64_t bytes_read() const { return bytes_read_; }

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* ptr, std::size_t size) override;
  ssize_t write(const char* ptr, std::size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override { return options_.fd; }

 private:
  static constexpr std::size_t kBufferBytes = 8192;

  // Returns bytes received, zero at the end, negative when failed.
  ssize_t Receive();
  // Waits for poll `events` until `deadline`; notes a failure as `late`.
  bool Wait(std::int16_t events, absl::Time deadline, StreamFailure late);
  bool WaitToRead();

  const Options options_;
  ReadLimits limits_;
  bool discard_writes_ = false;
  StreamFailure failure_ = StreamFailure::kNone;
  std::uint64_t bytes_written_ = 0;
  std::uint64_t bytes_read_ = 0;
  std::array<char, kBufferBytes> buffer_;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_HTTP_BOUNDED_STREAM_H_
