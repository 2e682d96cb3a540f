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

// Limits on reads from the peer.
struct ReadLimits {
  // Reads fail once SystemClock() reaches this time.
  absl::Time deadline = absl::InfiniteFuture();
  // Maximum wait for the next bytes; null for no maximum. Read again at each
  // wait, so the owner may change it.
  const absl::Duration* idle_timeout = nullptr;
  // Number of bytes that may still be read.
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

// A cpp-httplib stream with bounds on time and bytes. The library's own stream
// restarts its timeout with each byte and does not limit the length of a line.
// Doesn't own the descriptor or the TLS session; makes the descriptor
// non-blocking. Not thread-safe.
class BoundedStream final : public httplib::Stream {
 public:
  struct Options {
    int fd = -1;
    // Null for a connection without TLS.
    SSL* tls = nullptr;
    // Maximum time for writing the bytes of one call.
    absl::Duration write_timeout = absl::Seconds(20);
    // Cancellation flag, polled while waiting; null for none. Must outlive the
    // stream.
    const std::atomic<bool>* cancelled = nullptr;
  };

  explicit BoundedStream(const Options& options);

  // Replaces the limits for the reads that follow.
  void LimitReads(const ReadLimits& limits) { limits_ = limits; }

  // Makes write() discard its bytes and report success from now on.
  void DiscardWrites() { discard_writes_ = true; }

  // Waits for the peer's next byte. Returns false if none arrives within
  // `timeout`.
  bool WaitUntilReadable(absl::Duration timeout);

  // Returns true if the buffer holds received bytes that were not read yet.
  bool HasUnreadBytes() const { return begin_ != end_; }

  // Returns true if the peer has closed the connection. Consumes no bytes.
  bool PeerClosed() const;

  // Writes all bytes. Returns false if the peer has disconnected or the write
  // times out. DiscardWrites() doesn't affect it.
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

  // Returns the number of bytes received, 0 at the end of the stream, or a
  // negative value on failure.
  ssize_t Receive();
  // Waits for poll `events` until `deadline`. Records `timeout_failure` as the
  // failure if the deadline passes.
  bool Wait(std::int16_t events, absl::Time deadline,
            StreamFailure timeout_failure);
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
