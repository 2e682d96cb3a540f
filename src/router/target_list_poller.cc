#include "src/router/target_list_poller.h"

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

TargetListPoller::TargetListPoller(const TargetListPollerOptions& options,
                                   DeploymentSource* source, TargetPool* pool,
                                   Scheduler* scheduler, EventLog* log,
                                   std::function<void(const TargetId&)> removed)
    : options_(options),
      source_(source),
      pool_(pool),
      scheduler_(scheduler),
      log_(log),
      removed_(std::move(removed)) {}

void TargetListPoller::List() {
  source_->ListTargets(
      [this](const std::optional<std::vector<TargetEntry>>& targets) {
        if (targets.has_value() != source_available_) {
          source_available_ = targets.has_value();
          log_->Write(source_available_ ? EventId::kTargetListRestored
                                        : EventId::kTargetListUnavailable,
                      Severity::kWarning,
                      source_available_
                          ? "target list available again"
                          : "listing the targets failed; retrying",
                      {});
        }
        if (!targets.has_value()) {
          scheduler_->After(options_.retry_delay, [this] { List(); });
          return;
        }
        for (const TargetChange& change :
             pool_->ApplyListing(*targets, scheduler_->Now())) {
          Log(change);
        }
        scheduler_->After(options_.interval, [this] { List(); });
      });
}

void TargetListPoller::Log(const TargetChange& change) {
  using Kind = TargetChange::Kind;
  log_->Write(EventId::kTargetListed, Severity::kInfo, "target list changed",
              {{"target", change.id.value()},
               {"service", change.service.value()},
               {"change", KindName(change.kind)}});
  if (change.kind == Kind::kRemoved || change.kind == Kind::kRestarted) {
    removed_(change.id);
  }
}

}  // namespace wisteriareel
