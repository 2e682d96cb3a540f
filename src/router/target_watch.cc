#include "src/router/target_watch.h"

#include <optional>
#include <utility>
#include <vector>

namespace wisteriareel {
namespace {

std::string KindName(TargetChange::Kind kind) {
  using Kind = TargetChange::Kind;
  switch (kind) {
    case Kind::kAdded:
      return "joined";
    case Kind::kDraining:
      return "draining";
    case Kind::kRestarted:
      return "restarted";
    case Kind::kRemoved:
      return "gone";
    case Kind::kEjected:
      return "ejected";
    case Kind::kReinstated:
      return "back";
  }
  return "unknown";
}

}  // namespace

TargetWatch::TargetWatch(const TargetWatchOptions& options,
                         DeploymentSource* source, TargetPool* pool,
                         Scheduler* scheduler, EventLog* log,
                         std::function<void(const TargetId&)> left)
    : options_(options),
      source_(source),
      pool_(pool),
      scheduler_(scheduler),
      log_(log),
      left_(std::move(left)) {}

void TargetWatch::List() {
  source_->ListTargets(
      [this](const std::optional<std::vector<TargetEntry>>& targets) {
        if (targets.has_value() != source_answers_) {
          source_answers_ = targets.has_value();
          log_->Write(source_answers_ ? EventId::kTargetListRestored
                                      : EventId::kTargetListUnavailable,
                      Severity::kWarning,
                      source_answers_ ? "targets can be listed"
                                      : "targets can't be listed",
                      {});
        }
        if (!targets.has_value()) {
          scheduler_->After(options_.retry, [this] { List(); });
          return;
        }
        for (const TargetChange& change :
             pool_->ApplyListing(*targets, scheduler_->Now())) {
          Log(change);
        }
        scheduler_->After(options_.interval, [this] { List(); });
      });
}

void TargetWatch::Log(const TargetChange& change) {
  using Kind = TargetChange::Kind;
  log_->Write(EventId::kTargetListed, Severity::kInfo, "target changed",
              {{"target", change.id.value()},
               {"service", change.service.value()},
               {"change", KindName(change.kind)}});
  if (change.kind == Kind::kRemoved || change.kind == Kind::kRestarted) {
    left_(change.id);
  }
}

}  // namespace wisteriareel
