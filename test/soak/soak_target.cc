#include "test/soak/soak_target.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "nlohmann/json.hpp"
#include "wisteriareel/stable_hash.h"

namespace wisteriareel::soak {
namespace {

constexpr int kSlots = 64;
constexpr std::uint64_t kFractionSteps = 1000;
constexpr char kIdleReport[] =
    R"({"stage":"colocated","models":[{"name":"m","version":1,"adapters":[]}],)"
    R"("busy":false,"sequence":2,"queued":0,"running":0,"kv_used":0,)"
    R"("kv_total":447736,"handles":0})";

int NumberInPath(const HttpMessage& request) {
  const std::string path = request.Word(1);
  int number = 0;
  return absl::SimpleAtoi(path.substr(path.rfind('/') + 1), &number) ? number
                                                                     : 0;
}

// Returns a number from zero to one that depends on the id only.
double FractionOf(const std::string& id) {
  return static_cast<double>(StableHash(id) % kFractionSteps) / kFractionSteps;
}

}  // namespace

SoakTarget::SoakTarget(SoakTargetOptions options, SoakStore* store,
                       SoakRecorder* recorder)
    : options_(std::move(options)),
      store_(store),
      recorder_(recorder),
      started_ms_(absl::ToUnixMillis(absl::Now())) {}

bool SoakTarget::Start() {
  if (!StartServing()) return false;
  Renew();
  return true;
}

void SoakTarget::Renew() {
  const nlohmann::json entry = {{"service", options_.service},
                                {"address", absl::StrCat("127.0.0.1:", port())},
                                {"zone", "zone-a"},
                                {"version", "v1"},
                                {"slots", kSlots},
                                {"state", "ready"},
                                {"cold_remaining_ms", 0},
                                {"born", started_ms_},
                                {"sequence", ++sequence_}};
  store_->Put("servers", options_.id, entry.dump());
}

bool SoakTarget::WaitOn(int fd, absl::Duration duration) const {
  const absl::Time until = absl::Now() + duration;
  while (!stopping() && absl::Now() < until) {
    pollfd entry{.fd = fd, .events = POLLIN, .revents = 0};
    const absl::Duration left =
        std::min(until - absl::Now(), absl::Milliseconds(100));
    const auto ms = static_cast<int>(absl::ToInt64Milliseconds(left)) + 1;
    if (poll(&entry, 1, ms) <= 0) continue;
    char byte = 0;
    if (recv(fd, &byte, 1, MSG_PEEK) <= 0) return false;
    absl::SleepFor(until - absl::Now());
  }
  return !stopping();
}

bool SoakTarget::SendEvents(const HttpMessage& request, int fd,
                            TargetRun* run) {
  const std::string resume_after = request.Header("last-event-id");
  int from = 0;
  const bool is_first = !absl::SimpleAtoi(resume_after, &from);
  const int events = NumberInPath(request);
  const double fraction = FractionOf(run->request);
  for (int n = from + 1; n <= events; ++n) {
    if (!WaitOn(fd, options_.event_interval)) return false;
    const bool is_middle = is_first && n == events / 2;
    if (is_middle && fraction < options_.break_off_share) {
      run->broke_off = true;
      return false;
    }
    if (is_middle && fraction >= 1 - options_.pause_share &&
        !WaitOn(fd, options_.pause)) {
      return false;
    }
    if (!SendAll(fd, EncodeChunk(ResponseEvent(run->request, n)))) return false;
  }
  return SendAll(fd, EncodeChunk(""));
}

bool SoakTarget::Respond(const HttpMessage& request, int fd, TargetRun* run) {
  const std::string head = absl::StrCat(
      "HTTP/1.1 200 OK\r\nWisteriareel-Request-Id: ", run->request,
      "\r\nWisteriareel-Response-Seal: ", ResponseSeal(run->request), "\r\n");
  if (absl::StartsWith(request.Word(1), "/plain")) {
    if (!WaitOn(fd, absl::Milliseconds(NumberInPath(request)))) return false;
    const std::string body = ResponseBody(run->request, 0);
    return SendAll(fd, absl::StrCat(head, "Content-Length: ", body.size(),
                                    "\r\n\r\n", body));
  }
  return SendAll(fd, absl::StrCat(head,
                                  "Content-Type: text/event-stream\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n")) &&
         SendEvents(request, fd, run);
}

bool SoakTarget::HandleRequest(const HttpMessage& request, int fd) {
  const std::string expected = request.Header("wisteriareel-expect-instance");
  if (!expected.empty() && expected != options_.id) {
    return SendAll(fd, absl::StrCat("HTTP/1.1 421 Misdirected Request\r\n",
                                    "Wisteriareel-Instance-Id: ", options_.id,
                                    "\r\nContent-Length: 0\r\n\r\n"));
  }
  if (request.Word(0) == "GET") {
    return SendAll(
        fd, absl::StrCat("HTTP/1.1 200 OK\r\nContent-Type: "
                         "application/json\r\nContent-Length: ",
                         sizeof(kIdleReport) - 1, "\r\n\r\n", kIdleReport));
  }
  TargetRun run{.request = request.Header("wisteriareel-request-id"),
                .target = options_.id,
                .began = absl::Now()};
  const bool complete = Respond(request, fd, &run);
  run.ended = absl::Now();
  recorder_->Add(run);
  return complete;
}

}  // namespace wisteriareel::soak
