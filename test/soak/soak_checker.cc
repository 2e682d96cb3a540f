#include "test/soak/soak_checker.h"

#include <algorithm>
#include <map>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace wisteriareel::soak {
namespace {

using RunsById = std::map<std::string, std::vector<TargetRun>>;

// A request that is sent later than this after SIGTERM isn't excused by a
// target that still works on it at the end of the grace.
constexpr absl::Duration kExcusedSendTime = absl::Seconds(3);
// Share of the grace after which such work excuses.
constexpr double kExcusedGraceShare = 5.0 / 6;
// Losses count up to this time after the end of the grace.
constexpr absl::Duration kAfterGrace = absl::Seconds(1);

bool IsSuccess(int status) { return status >= 200 && status < 300; }

// Returns whether the response promises that the request hasn't run and won't.
bool SaysNotRun(const CallerRecord& request) {
  if (request.end != ResponseEnd::kComplete || !request.seal.empty()) {
    return false;
  }
  if (absl::StrContains(request.body, R"("verdict":"not_run")")) return true;
  const bool refuses = request.status == 408 || request.status == 421 ||
                       request.status == 429 || request.status == 503;
  return refuses && request.kind != RequestKind::kResumableStream;
}

// Returns what is wrong with the response, or an empty text.
std::string FindForeignContent(const CallerRecord& request) {
  if (request.end == ResponseEnd::kMalformed) return "malformed response";
  if (!IsSuccess(request.status)) {
    return request.seal.empty() ? "" : "a failure bears a seal";
  }
  if (request.seal != ResponseSeal(request.id)) return "seal is not its own";
  const std::string whole = ResponseBody(request.id, request.events);
  if (request.end == ResponseEnd::kComplete) {
    return request.body == whole ? "" : "looks complete and isn't whole";
  }
  return absl::StartsWith(whole, request.body) ? "" : "body is not its own";
}

std::string DescribeLoss(const SoakHistory& history,
                         const CallerRecord& request) {
  std::string text = absl::StrCat(
      "instance ", request.instance, ", status ", request.status,
      ", ended after ", absl::FormatDuration(request.ended - request.sent));
  for (const InstanceSignal& signal : history.signals) {
    if (signal.instance != request.instance || signal.at > request.ended) {
      continue;
    }
    absl::StrAppend(
        &text, signal.kind == SignalKind::kTerminate ? "; SIGTERM" : "; SIGHUP",
        ": sent ", absl::FormatDuration(request.sent - signal.at), ", ended ",
        absl::FormatDuration(request.ended - signal.at), " after it");
  }
  for (const TargetRun& run : history.runs) {
    if (run.request != request.id) continue;
    absl::StrAppend(&text, "; ran at ", run.target, " for ",
                    absl::FormatDuration(run.ended - run.began));
  }
  return text;
}

const std::vector<TargetRun>& RunsOf(const RunsById& runs,
                                     const std::string& id) {
  static const std::vector<TargetRun> none;
  const auto it = runs.find(id);
  return it == runs.end() ? none : it->second;
}

}  // namespace

std::string_view PromiseName(Promise promise) {
  switch (promise) {
    case Promise::kNothingLost:
      return "nothing lost";
    case Promise::kWholeAndOwn:
      return "whole and own response";
    case Promise::kAtMostOnce:
      return "at most once";
    case Promise::kNotRunIsTrue:
      return "not run is true";
    case Promise::kKeepsRunning:
      return "keeps running";
  }
  return "unknown";
}

bool SoakChecker::IsDisturbed(const SoakHistory& history,
                              const CallerRecord& request) const {
  return std::any_of(history.disturbances.begin(), history.disturbances.end(),
                     [&](const Disturbance& it) {
                       return it.instance == request.instance &&
                              it.from <= request.ended &&
                              it.to >= request.began - options_.settle_time;
                     });
}

bool SoakChecker::IsAroundPlannedWork(const SoakHistory& history,
                                      const CallerRecord& request) const {
  return std::any_of(
      history.signals.begin(), history.signals.end(),
      [&](const InstanceSignal& it) {
        if (it.instance != request.instance || request.ended < it.at) {
          return false;
        }
        return it.kind == SignalKind::kTerminate
                   ? request.sent <= it.at + options_.grace + kAfterGrace
                   : request.sent <= it.at + options_.reload_time;
      });
}

bool SoakChecker::IsExcusedByGrace(const SoakHistory& history,
                                   const CallerRecord& request,
                                   const TargetRun& run) const {
  return std::any_of(
      history.signals.begin(), history.signals.end(),
      [&](const InstanceSignal& it) {
        return it.kind == SignalKind::kTerminate &&
               it.instance == request.instance && request.ended >= it.at &&
               request.sent <= it.at + kExcusedSendTime &&
               run.began <= it.at + options_.grace &&
               run.ended >= it.at + options_.grace * kExcusedGraceShare;
      });
}

bool SoakChecker::IsLost(const SoakHistory& history,
                         const CallerRecord& request) const {
  // A process that resets the connection hasn't read the request.
  if (request.end == ResponseEnd::kComplete ||
      request.end == ResponseEnd::kTimeout ||
      request.ended - request.began >= request.time_limit) {
    return false;
  }
  bool passed_on = false;
  for (const TargetRun& run : history.runs) {
    if (run.request != request.id) continue;
    if (run.broke_off || IsExcusedByGrace(history, request, run)) return false;
    passed_on = true;
  }
  if (passed_on) return true;
  return request.end != ResponseEnd::kReset &&
         request.ended - request.sent > options_.crossing_time;
}

std::vector<Violation> SoakChecker::Check(const SoakHistory& history) const {
  RunsById runs;
  for (const TargetRun& run : history.runs) runs[run.request].push_back(run);
  std::vector<Violation> violations;
  std::vector<Violation> other_losses;
  for (const CallerRecord& request : history.requests) {
    const std::vector<TargetRun>& own_runs = RunsOf(runs, request.id);
    if (const std::string fault = FindForeignContent(request); !fault.empty()) {
      violations.push_back({.promise = Promise::kWholeAndOwn,
                            .subject = request.id,
                            .detail = fault});
    }
    if (own_runs.size() > 1 && request.kind != RequestKind::kResumableStream) {
      violations.push_back(
          {.promise = Promise::kAtMostOnce,
           .subject = request.id,
           .detail = absl::StrCat("ran ", own_runs.size(), " times, at ",
                                  own_runs[0].target, " and at ",
                                  own_runs[1].target)});
    }
    if (!own_runs.empty() && SaysNotRun(request)) {
      violations.push_back(
          {.promise = Promise::kNotRunIsTrue,
           .subject = request.id,
           .detail = absl::StrCat("status ", request.status, ", ran at ",
                                  own_runs[0].target)});
    }
    if (!IsLost(history, request) || IsDisturbed(history, request)) continue;
    const Violation loss{.promise = Promise::kNothingLost,
                         .subject = request.id,
                         .detail = DescribeLoss(history, request)};
    if (IsAroundPlannedWork(history, request)) {
      violations.push_back(loss);
    } else if (!own_runs.empty()) {
      other_losses.push_back(loss);
    }
  }
  if (other_losses.size() > static_cast<std::size_t>(options_.allowed_losses)) {
    violations.insert(violations.end(), other_losses.begin(),
                      other_losses.end());
  }
  for (const UnexpectedExit& exit : history.exits) {
    violations.push_back({.promise = Promise::kKeepsRunning,
                          .subject = absl::StrCat("instance ", exit.instance),
                          .detail = "ended by itself"});
  }
  return violations;
}

}  // namespace wisteriareel::soak
