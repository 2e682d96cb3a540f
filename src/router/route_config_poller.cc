#include "src/router/route_config_poller.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace wisteriareel {

RouteConfigPoller::RouteConfigPoller(const RouteConfigPollerOptions& options,
                                     DeploymentSource* source,
                                     RequestRouter* router,
                                     Scheduler* scheduler, EventLog* log,
                                     std::function<void()> applied)
    : options_(options),
      source_(source),
      router_(router),
      scheduler_(scheduler),
      log_(log),
      applied_(std::move(applied)) {}

void RouteConfigPoller::Start() { ReadSnapshot(); }

void RouteConfigPoller::SetSourceAvailable(bool available) {
  if (available == source_available_) return;
  source_available_ = available;
  log_->Write(available ? EventId::kConfigPlatformRestored
                        : EventId::kConfigPlatformUnavailable,
              available ? Severity::kInfo : Severity::kWarning,
              available ? "configuration source available again"
                        : "reading the configuration failed; retrying",
              {{"era", absl::StrCat(position_.era)},
               {"position", absl::StrCat(position_.number)}});
}

void RouteConfigPoller::ReadSnapshot() {
  source_->ReadConfig([this](const std::optional<PositionedConfig>& snapshot) {
    SetSourceAvailable(snapshot.has_value());
    if (!snapshot.has_value()) {
      scheduler_->After(options_.retry_delay, [this] { ReadSnapshot(); });
      return;
    }
    position_ = snapshot->position;
    if (snapshot->config.has_value()) Apply(*snapshot->config, "platform");
    PollChanges();
  });
}

void RouteConfigPoller::PollChanges() {
  source_->PollConfig(
      position_, options_.poll_wait, [this](const ConfigPollResult& result) {
        switch (result.outcome) {
          case ConfigPollResult::Outcome::kHistoryLost:
            ReadSnapshot();
            return;
          case ConfigPollResult::Outcome::kFailed:
            SetSourceAvailable(false);
            // The position may be too old once the source is available again,
            // and reading the complete configuration costs no more than a poll.
            scheduler_->After(options_.retry_delay, [this] { ReadSnapshot(); });
            return;
          case ConfigPollResult::Outcome::kRead:
            SetSourceAvailable(true);
            position_ = result.snapshot.position;
            if (result.snapshot.config.has_value()) {
              Apply(*result.snapshot.config, "platform");
            } else {
              router_->Confirm(scheduler_->Now());
            }
            PollChanges();
            return;
        }
      });
}

bool RouteConfigPoller::ApplyPeerConfig(const std::string& text) {
  LastReason reason;
  const std::optional<ParsedConfig> parsed =
      source_->ParseConfig(text, &reason);
  if (!parsed.has_value()) return false;
  const bool newer =
      router_->table() == nullptr ||
      router_->table()->config().revision < parsed->table->config().revision;
  Apply(*parsed, "peer");
  return newer;
}

void RouteConfigPoller::Apply(const ParsedConfig& parsed,
                              std::string_view origin) {
  const std::uint64_t before =
      router_->table() == nullptr ? 0
                                  : router_->table()->config().revision.value();
  if (!router_->Apply(parsed.table, scheduler_->Now())) return;
  text_ = parsed.text;
  log_->Write(
      EventId::kRouteConfigApplied, Severity::kInfo, "configuration applied",
      {{"revision", absl::StrCat(parsed.table->config().revision.value())},
       {"before", absl::StrCat(before)},
       {"from", std::string(origin)},
       {"routes", absl::StrCat(parsed.table->config().routes.size())}});
  applied_();
}

}  // namespace wisteriareel
