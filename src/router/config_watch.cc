#include "src/router/config_watch.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace wisteriareel {

ConfigWatch::ConfigWatch(const ConfigWatchOptions& options,
                         DeploymentSource* source, RequestRouter* router,
                         Scheduler* scheduler, EventLog* log,
                         std::function<void()> applied)
    : options_(options),
      source_(source),
      router_(router),
      scheduler_(scheduler),
      log_(log),
      applied_(std::move(applied)) {}

void ConfigWatch::Start() { ReadSnapshot(); }

void ConfigWatch::NoteAnswer(bool answered) {
  if (answered == source_answers_) return;
  source_answers_ = answered;
  log_->Write(
      answered ? EventId::kConfigPlatformRestored
               : EventId::kConfigPlatformUnavailable,
      answered ? Severity::kInfo : Severity::kWarning,
      answered ? "configuration can be read" : "configuration can't be read",
      {{"position", absl::StrCat(position_)}});
}

void ConfigWatch::ReadSnapshot() {
  source_->ReadConfig([this](const std::optional<ConfigReading>& reading) {
    NoteAnswer(reading.has_value());
    if (!reading.has_value()) {
      scheduler_->After(options_.retry, [this] { ReadSnapshot(); });
      return;
    }
    position_ = reading->position;
    if (reading->config.has_value()) Apply(*reading->config, "platform");
    PollChanges();
  });
}

void ConfigWatch::PollChanges() {
  source_->PollConfig(
      position_, options_.poll_wait, [this](const ConfigChange& change) {
        switch (change.outcome) {
          case ConfigChange::Outcome::kHistoryLost:
            ReadSnapshot();
            return;
          case ConfigChange::Outcome::kFailed:
            NoteAnswer(false);
            // The position may be too old by the time that the source is
            // back, and a whole reading costs no more than one question.
            scheduler_->After(options_.retry, [this] { ReadSnapshot(); });
            return;
          case ConfigChange::Outcome::kRead:
            NoteAnswer(true);
            position_ = change.reading.position;
            if (change.reading.config.has_value()) {
              Apply(*change.reading.config, "platform");
            } else {
              router_->Confirm(scheduler_->Now());
            }
            PollChanges();
            return;
        }
      });
}

bool ConfigWatch::Offer(const std::string& text) {
  LastReason reason;
  const std::optional<ConfigCopy> copy = source_->ParseConfig(text, &reason);
  if (!copy.has_value()) return false;
  const bool newer =
      router_->table() == nullptr ||
      router_->table()->config().revision < copy->table->config().revision;
  Apply(*copy, "peer");
  return newer;
}

void ConfigWatch::Apply(const ConfigCopy& copy, std::string_view origin) {
  const std::uint64_t before =
      router_->table() == nullptr ? 0
                                  : router_->table()->config().revision.value();
  if (!router_->Apply(copy.table, scheduler_->Now())) return;
  text_ = copy.text;
  log_->Write(
      EventId::kRouteConfigApplied, Severity::kInfo, "configuration in force",
      {{"revision", absl::StrCat(copy.table->config().revision.value())},
       {"before", absl::StrCat(before)},
       {"from", std::string(origin)},
       {"routes", absl::StrCat(copy.table->config().routes.size())}});
  applied_();
}

}  // namespace wisteriareel
