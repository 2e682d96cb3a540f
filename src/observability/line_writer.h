#ifndef WISTERIAREEL_SRC_OBSERVABILITY_LINE_WRITER_H_
#define WISTERIAREEL_SRC_OBSERVABILITY_LINE_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

#include "absl/time/time.h"

namespace wisteriareel {

struct LineWriterOptions {
  // Descriptor to write to. Not owned; must stay open until the process ends,
  // since a write that is blocked outlives the writer.
  int fd = 1;
  // Bytes that may wait to be written. Further lines are dropped.
  std::size_t max_pending_bytes = 512 << 10;
  // Part of them that only important lines may use.
  std::size_t reserved_bytes = 64 << 10;
  // Time that the destructor waits for the pending lines to be written.
  absl::Duration close_timeout = absl::Milliseconds(100);
};

// Writes lines to a file descriptor from a thread of its own, so that a reader
// that pauses blocks no other thread. Lines are written in order, and those of
// up to PIPE_BUF bytes never in part to a pipe. Thread-safe.
class LineWriter {
 public:
  explicit LineWriter(const LineWriterOptions& options);
  // Drops what can't be written within the timeout.
  ~LineWriter();

  LineWriter(const LineWriter&) = delete;
  LineWriter& operator=(const LineWriter&) = delete;

  // Appends `line`, which ends with a newline. Never waits for the descriptor.
  // Returns false if the line was dropped.
  bool Write(std::string_view line, bool is_important);

  // Waits until all lines are written or `timeout` is over. Returns false in
  // the latter case.
  bool Flush(absl::Duration timeout);

 private:
  struct State;

  const LineWriterOptions options_;
  // Shared with the thread, which may outlive this object.
  const std::shared_ptr<State> state_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_OBSERVABILITY_LINE_WRITER_H_
