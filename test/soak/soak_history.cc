#include "test/soak/soak_history.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace wisteriareel::soak {

std::string ResponseEvent(const std::string& id, int number) {
  return absl::StrCat("id: ", number, "\ndata: ", id, "\n\n");
}

std::string ResponseBody(const std::string& id, int events) {
  if (events == 0) return absl::StrCat("response to ", id);
  std::string body;
  for (int n = 1; n <= events; ++n) body += ResponseEvent(id, n);
  return body;
}

std::string ResponseSeal(const std::string& id) {
  return absl::StrCat("seal-", id);
}

void SoakRecorder::Add(CallerRecord request) {
  const std::lock_guard lock(mutex_);
  history_.requests.push_back(std::move(request));
}

void SoakRecorder::Add(TargetRun run) {
  const std::lock_guard lock(mutex_);
  history_.runs.push_back(std::move(run));
}

void SoakRecorder::Add(InstanceSignal signal) {
  const std::lock_guard lock(mutex_);
  history_.signals.push_back(signal);
}

void SoakRecorder::Add(Disturbance disturbance) {
  const std::lock_guard lock(mutex_);
  history_.disturbances.push_back(disturbance);
}

void SoakRecorder::Add(UnexpectedExit exit) {
  const std::lock_guard lock(mutex_);
  history_.exits.push_back(exit);
}

SoakHistory SoakRecorder::Take() {
  const std::lock_guard lock(mutex_);
  return std::exchange(history_, {});
}

}  // namespace wisteriareel::soak
