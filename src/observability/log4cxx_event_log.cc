#include "src/observability/log4cxx_event_log.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

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
    const log4cxx::AppenderPtr appender(new log4cxx::ConsoleAppender(
        layout, options.standard_output
                    ? log4cxx::ConsoleAppender::getSystemOut()
                    : log4cxx::ConsoleAppender::getSystemErr()));
    logger_->setAdditivity(false);
    logger_->removeAllAppenders();
    logger_->addAppender(appender);
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
  impl_->Log(severity,
             absl::StrCat(FormatEvent(id, text, fields), " line=", ++lines_));
}

}  // namespace wisteriareel
