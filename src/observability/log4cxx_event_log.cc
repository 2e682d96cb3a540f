#include "src/observability/log4cxx_event_log.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <log4cxx/spi/loggingevent.h>
#include <unistd.h>

#include <algorithm>
#include <mutex>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "src/observability/line_writer.h"

namespace wisteriareel {
namespace {

constexpr char kLayout[] = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSZ} %-5p %c %m%n";

bool NeedsQuotes(const std::string& value) {
  return value.empty() || std::any_of(value.begin(), value.end(), [](char c) {
           return c <= ' ' || c == '"' || c == '\\' || c == 0x7f;
         });
}

log4cxx::LevelPtr LevelOf(Severity severity) {
  switch (severity) {
    case Severity::kDebug:
      return log4cxx::Level::getDebug();
    case Severity::kInfo:
      return log4cxx::Level::getInfo();
    case Severity::kWarning:
      return log4cxx::Level::getWarn();
    case Severity::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getError();
}

// Passes the lines of a logger to a LineWriter.
class LineAppender final : public log4cxx::AppenderSkeleton {
 public:
  LineAppender(const log4cxx::LayoutPtr& layout,
               const LineWriterOptions& options)
      : layout_(layout), writer_(options) {}

  void close() override {}
  bool requiresLayout() const override { return true; }

 private:
  // Called by one thread at a time.
  void append(const log4cxx::spi::LoggingEventPtr& event,
              log4cxx::helpers::Pool& pool) override {
    if (dropped_ > 0 && writer_.Write(Format(MakeSummary(event), pool),
                                      /*is_important=*/false)) {
      dropped_ = 0;
    }
    const bool is_important =
        event->getLevel()->isGreaterOrEqual(log4cxx::Level::getWarn());
    if (!writer_.Write(Format(event, pool), is_important)) ++dropped_;
  }

  std::string Format(const log4cxx::spi::LoggingEventPtr& event,
                     log4cxx::helpers::Pool& pool) const {
    log4cxx::LogString text;
    layout_->format(text, event, pool);
    std::string line;
    log4cxx::helpers::Transcoder::encode(text, line);
    return line;
  }

  log4cxx::spi::LoggingEventPtr MakeSummary(
      const log4cxx::spi::LoggingEventPtr& event) const {
    log4cxx::LogString text;
    log4cxx::helpers::Transcoder::decode(
        FormatEvent(EventId::kLogLinesDropped,
                    "lines of the log were dropped: its reader is too slow",
                    {{"lines", absl::StrCat(dropped_)}}),
        text);
    return std::make_shared<log4cxx::spi::LoggingEvent>(
        event->getLoggerName(), log4cxx::Level::getWarn(), text,
        log4cxx::spi::LocationInfo::getLocationUnavailable());
  }

  const log4cxx::LayoutPtr layout_;
  LineWriter writer_;
  std::uint64_t dropped_ = 0;
};

}  // namespace

std::string FormatEvent(EventId id, std::string_view text,
                        const std::vector<EventField>& fields) {
  std::string line = absl::StrCat(static_cast<int>(id), " ",
                                  absl::string_view(text.data(), text.size()));
  for (const EventField& field : fields) {
    absl::StrAppend(&line, " ",
                    absl::string_view(field.name.data(), field.name.size()),
                    "=");
    if (!NeedsQuotes(field.value)) {
      line += field.value;
      continue;
    }
    absl::StrAppend(&line, "\"", absl::CEscape(field.value), "\"");
  }
  return line;
}

class Log4cxxEventLog::Impl {
 public:
  explicit Impl(const Log4cxxEventLogOptions& options)
      : logger_(log4cxx::Logger::getLogger(options.logger)) {
    const log4cxx::LayoutPtr layout(new log4cxx::PatternLayout(kLayout));
    logger_->setAdditivity(false);
    logger_->removeAllAppenders();
    logger_->addAppender(std::make_shared<LineAppender>(
        layout,
        LineWriterOptions{.fd = options.standard_output ? STDOUT_FILENO
                                                        : STDERR_FILENO}));
    logger_->setLevel(log4cxx::Level::getAll());
  }

  ~Impl() { logger_->removeAllAppenders(); }

  void Log(Severity severity, const std::string& line) {
    logger_->log(LevelOf(severity), line);
  }

 private:
  const log4cxx::LoggerPtr logger_;
};

Log4cxxEventLog::Log4cxxEventLog(const Log4cxxEventLogOptions& options)
    : min_severity_(options.min_severity),
      impl_(std::make_unique<Impl>(options)) {}

Log4cxxEventLog::~Log4cxxEventLog() = default;

void Log4cxxEventLog::Write(EventId id, Severity severity,
                            std::string_view text,
                            const std::vector<EventField>& fields) {
  if (severity < min_severity_) return;
  const std::string line = FormatEvent(id, text, fields);
  const std::lock_guard<std::mutex> lock(mutex_);
  impl_->Log(severity, absl::StrCat(line, " line=", ++lines_));
}

}  // namespace wisteriareel
