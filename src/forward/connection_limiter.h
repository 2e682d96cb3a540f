#ifndef WISTERIAREEL_SRC_FORWARD_CONNECTION_LIMITER_H_
#define WISTERIAREEL_SRC_FORWARD_CONNECTION_LIMITER_H_

#include <cstddef>
#include <cstdint>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace wisteriareel {

struct ConnectionLimiterOptions {
  // Bytes kept for all connections together.
  std::size_t max_bytes = 0;
  // Open connections, without those that are closing.
  std::size_t max_connections = 0;
  // Connections that still write their last response, or discard what their
  // peer sends after it.
  std::size_t max_closing = 0;
  // Requests that are served at the same time; each may have a connection to a
  // target.
  std::size_t max_served = 0;

  friend bool operator==(const ConnectionLimiterOptions&,
                         const ConnectionLimiterOptions&) = default;
};

// What a connection does at present.
enum class ConnectionPhase : std::uint8_t {
  // Its last response has begun, and nothing more is read from it.
  kClosing,
  // Between two requests, or before the first one.
  kIdle,
  // A part of a request has arrived.
  kReading,
  // A whole request has arrived, and no response waits for the peer.
  kServing,
  // A part of a response waits for the peer.
  kWriting,
};

struct ConnectionUsage {
  ConnectionPhase phase = ConnectionPhase::kIdle;
  // Bytes kept for the connection, by the process and by the kernel.
  std::size_t bytes = 0;
  // A request of the connection is served.
  bool is_served = false;

  friend bool operator==(const ConnectionUsage&,
                         const ConnectionUsage&) = default;
};

// A connection that can be given up.
class LimitedConnection {
 public:
  virtual ~LimitedConnection() = default;

  // Frees memory or the connection's descriptor: refuses the request that is
  // read, as not run, or closes the connection. Afterwards the limiter has been
  // told of a lower usage or of the removal.
  virtual void GiveUp() = 0;
};

// Bounds the memory and the number of the connections that an instance has
// accepted, over all of them, and decides which one to give up when there are
// too many. A limit for each connection alone would grow with their number.
//
// Given up first is the connection with the least progress for what it holds:
// one that holds many bytes and sends or reads few. That ends requests that
// stop short of their end and responses that aren't read, in favor of callers
// that are sent or received, however slowly. A request that a target works on
// is never given up. A part of the bytes is kept for connections that hold
// little, so that large requests leave room for small ones. Not thread-safe.
class ConnectionLimiter {
 public:
  // A connection that holds more than this is a large one.
  static constexpr std::size_t kMaxSmallBytes = 64 << 10;

  explicit ConnectionLimiter(ConnectionLimiterOptions options)
      : options_(options) {}

  ConnectionLimiter(const ConnectionLimiter&) = delete;
  ConnectionLimiter& operator=(const ConnectionLimiter&) = delete;

  // Adds an idle connection. It must be removed before it is destroyed.
  void Add(LimitedConnection* connection, absl::Time now);
  void Remove(LimitedConnection* connection);

  // Records what the connection uses now, and the bytes that were received from
  // its peer or taken by it since the last call.
  void Update(LimitedConnection* connection, const ConnectionUsage& usage,
              std::size_t progress, absl::Time now);

  // Gives up connections until all limits are met or none can be given up.
  void GiveUpExcess(absl::Time now);

  // Returns the connection to give up next, or null if all limits are met or no
  // connection can be given up.
  LimitedConnection* FindExcess(absl::Time now) const;

  // Returns true if the bytes kept for connections like this one are over their
  // limit.
  bool ExceedsBytes(const LimitedConnection* connection) const;

  // Returns true if no further request can be served.
  bool IsServedFull() const { return served_ >= options_.max_served; }

  // Returns true if most of the bytes are in use.
  bool IsNearlyFull() const;

  std::size_t bytes() const { return bytes_; }
  std::size_t connections() const { return entries_.size(); }

 private:
  struct Entry {
    ConnectionUsage usage;
    // Exponentially decayed sum of the bytes that made progress, as of
    // `active`.
    double progress = 0;
    absl::Time active;
    // Order in which connections were added.
    std::uint64_t number = 0;
  };
  using Entries = absl::flat_hash_map<LimitedConnection*, Entry>;

  static bool IsLarge(const ConnectionUsage& usage) {
    return usage.bytes > kMaxSmallBytes;
  }
  // Returns true if giving up such a connection frees memory.
  static bool CanFreeBytes(const ConnectionUsage& usage);
  // Returns the recent progress for each byte held.
  static double ProgressShare(const Entry& entry, absl::Time now);
  std::size_t MaxLargeBytes() const;
  void Count(const ConnectionUsage& usage, int sign);
  // Returns the connection of `phase` that was active least recently.
  LimitedConnection* FindLeastRecent(ConnectionPhase phase) const;
  // Returns the connection with the least progress among those that hold bytes
  // and can be given up, or among the large ones of these.
  LimitedConnection* FindLeastProgress(bool large_only, absl::Time now) const;

  const ConnectionLimiterOptions options_;
  Entries entries_;
  std::size_t bytes_ = 0;
  std::size_t large_bytes_ = 0;
  std::size_t closing_ = 0;
  std::size_t served_ = 0;
  std::uint64_t added_ = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_FORWARD_CONNECTION_LIMITER_H_
