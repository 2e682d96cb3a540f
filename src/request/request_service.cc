#include "src/request/request_service.h"

#include <algorithm>
#include <chrono>

#include "absl/strings/str_cat.h"
#include "src/request/request_run.h"

namespace wisteriareel {
namespace {

// Real time after which a drain reads the clock of the service again.
constexpr std::chrono::milliseconds kDrainPoll(10);
constexpr absl::Duration kInstanceCountAge = absl::Seconds(1);
constexpr absl::Duration kDrainRetryAfter = absl::Seconds(1);

}  // namespace

RequestService::RequestService(const RequestServiceOptions& options)
    : options_(options),
      policy_(options.retries),
      retry_budget_(options.retry_budget) {}

CallResult RequestService::Handle(const CallerRequest& request,
                                  ResponseWriter* writer) {
  options_.counters->Add(Counter::kRequests, 1);
  RequestRun run(options_, policy_, &retry_budget_, CountInstances(), request,
                 writer);
  if (!BeginRequest()) return run.Refuse(Reason::kDraining, kDrainRetryAfter);
  CallResult result = run.Run();
  EndRequest();
  return result;
}

bool RequestService::BeginRequest() {
  std::lock_guard<std::mutex> lock(mutex_);
  if (draining_) return false;
  ++in_flight_;
  return true;
}

void RequestService::EndRequest() {
  std::lock_guard<std::mutex> lock(mutex_);
  if (--in_flight_ == 0) ended_.notify_all();
}

// Caches the count, since AllMembers copies the list of members.
int RequestService::CountInstances() {
  if (options_.membership == nullptr) return 1;
  std::lock_guard<std::mutex> lock(mutex_);
  const absl::Time now = options_.clock->Now();
  if (now < instances_counted_ + kInstanceCountAge) return instances_;
  int alive = 0;
  for (const Member& member : options_.membership->AllMembers()) {
    if (member.state == MemberState::kAlive) ++alive;
  }
  instances_ = std::max(1, alive);
  instances_counted_ = now;
  return instances_;
}

RequestDrainReport RequestService::Drain(absl::Time deadline) {
  std::unique_lock<std::mutex> lock(mutex_);
  draining_ = true;
  const absl::Time started = options_.clock->Now();
  RequestDrainReport report{.in_flight_at_start = in_flight_};
  while (in_flight_ > 0 && options_.clock->Now() < deadline) {
    ended_.wait_for(lock, kDrainPoll);
  }
  report.in_flight_left = in_flight_;
  report.took = options_.clock->Now() - started;
  options_.events->Write(EventId::kRequestsDrained, Severity::kInfo,
                         "drain has waited for the requests in flight",
                         {{"at_start", absl::StrCat(report.in_flight_at_start)},
                          {"left", absl::StrCat(report.in_flight_left)}});
  return report;
}

int RequestService::CountInFlight() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return in_flight_;
}

}  // namespace wisteriareel
