#ifndef WISTERIAREEL_SRC_OBSERVABILITY_LOG4CXX_EVENT_LOG_H_
#define WISTERIAREEL_SRC_OBSERVABILITY_LOG4CXX_EVENT_LOG_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "wisteriareel/event_log.h"

namespace wisteriareel {

struct Log4cxxEventLogOptions {
  // Events below this severity are dropped.
  Severity min_severity = Severity::kInfo;
  // Name of the logger, included in each line.
  std::string logger = "wisteriareel";
  // Writes to the standard output instead of the standard error stream.
  bool standard_output = false;
};

// Returns the line of an event: its number, `text`, and the fields as
// name=value. Empty values and values with blanks, quotes, backslashes or
// control characters are quoted and escaped, so that an event is always exactly
// one line.
std::string FormatEvent(EventId id, std::string_view text,
                        const std::vector<EventField>& fields);

// Writes events to one of the standard streams through log4cxx. Each line ends
// with its number, so that a gap shows lost lines. Write never waits for the
// reader of the stream: while the reader pauses, lines wait in memory, up to a
// bound, and then are dropped and counted. The destructor writes what waits,
// for a bounded time. Thread-safe.
class Log4cxxEventLog final : public EventLog {
 public:
  explicit Log4cxxEventLog(const Log4cxxEventLogOptions& options);
  ~Log4cxxEventLog() override;

  void Write(EventId id, Severity severity, std::string_view text,
             const std::vector<EventField>& fields) override;

 private:
  class Impl;
  const Severity min_severity_;
  // Guards `lines_`, and keeps lines in the order of their numbers.
  std::mutex mutex_;
  std::uint64_t lines_ = 0;
  const std::unique_ptr<Impl> impl_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_OBSERVABILITY_LOG4CXX_EVENT_LOG_H_
