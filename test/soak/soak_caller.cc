#include "test/soak/soak_caller.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "wisteriareel/stable_hash.h"

namespace wisteriareel::soak {
namespace {

constexpr std::int64_t kShortLimitMs = 5000;
constexpr std::int64_t kLongLimitMs = 10'000;
constexpr std::int64_t kEventIntervalMs = 100;
constexpr std::int64_t kMinResponseMs = 300;
constexpr std::int64_t kMaxPlainMs = 600;
// Requests on the shorter limit leave this much of it unused.
constexpr std::int64_t kLimitMarginMs = 500;
constexpr std::int64_t kMaxBodyBytes = 3000;
// Time that a caller waits for a response beyond its limit.
constexpr absl::Duration kPatience = absl::Milliseconds(500);

}  // namespace

SoakCaller::SoakCaller(SoakCallerOptions options, SoakRecorder* recorder)
    : options_(std::move(options)),
      recorder_(recorder),
      random_(StableHash(absl::StrCat(options_.seed, ".", options_.number))),
      instance_(static_cast<std::size_t>(options_.number) %
                options_.ports.size()) {}

std::int64_t SoakCaller::Draw(std::int64_t low, std::int64_t high) {
  const auto span = static_cast<std::uint64_t>(high - low + 1);
  return low + static_cast<std::int64_t>(random_() % span);
}

bool SoakCaller::Connect() {
  connection_ = ConnectToLoopback(options_.ports[instance_]);
  if (connection_.valid()) return true;
  const auto count = static_cast<std::int64_t>(options_.ports.size());
  instance_ = static_cast<std::size_t>(Draw(0, count - 1));
  return false;
}

void SoakCaller::Run(const std::atomic<bool>& stop) {
  while (!stop) {
    if (connection_.valid() || Connect()) SendRequest();
    absl::SleepFor(absl::Milliseconds(Draw(0, 60)));
  }
}

// Returns the bytes of the request.
std::string SoakCaller::DrawRequest(CallerRecord* request) {
  request->id = absl::StrCat(absl::Hex(random_(), absl::kZeroPad16));
  request->instance = static_cast<int>(instance_);
  const bool is_plain = Draw(0, 3) == 0;
  const bool is_resumable = Draw(0, 1) == 0;
  const std::int64_t limit_ms = Draw(0, 1) == 0 ? kShortLimitMs : kLongLimitMs;
  request->time_limit = absl::Milliseconds(limit_ms);
  const std::int64_t longest_ms =
      std::min(absl::ToInt64Milliseconds(options_.max_response_time),
               limit_ms - kLimitMarginMs);
  std::string path;
  std::string headers;
  if (is_plain) {
    request->kind = RequestKind::kPlain;
    path = absl::StrCat("/plain/", Draw(0, std::min(kMaxPlainMs, longest_ms)));
  } else {
    request->kind =
        is_resumable ? RequestKind::kResumableStream : RequestKind::kStream;
    request->events = static_cast<int>(
        Draw(kMinResponseMs, std::max(kMinResponseMs, longest_ms)) /
        kEventIntervalMs);
    path = absl::StrCat(is_resumable ? "/resumable/" : "/stream/",
                        request->events);
    headers = absl::StrCat(
        "Wisteriareel-Model: m\r\nWisteriareel-Token-Counts: 1110,150\r\n"
        "Wisteriareel-Prompt-Prefix: a1:350,b",
        request->id, ":760\r\n");
  }
  std::string text = absl::StrCat(
      "POST ", path, " HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key\r\n",
      "Wisteriareel-Request-Id: ", request->id,
      "\r\nWisteriareel-Deadline-Ms: ", limit_ms, "\r\n", headers);
  const std::string body(static_cast<std::size_t>(Draw(2, kMaxBodyBytes)), 'x');
  if (Draw(0, 1) == 0) {
    absl::StrAppend(&text, "Content-Length: ", body.size(), "\r\n\r\n", body);
  } else {
    absl::StrAppend(&text, "Transfer-Encoding: chunked\r\n\r\n",
                    EncodeChunk(body), EncodeChunk(""));
  }
  return text;
}

bool SoakCaller::SendInPieces(const std::string& text, CallerRecord* request) {
  const std::string_view bytes = text;
  std::size_t first = bytes.size();
  if (Draw(0, 3) == 0) first = static_cast<std::size_t>(Draw(1, 300));
  first = std::min(first, bytes.size());
  request->began = absl::Now();
  bool sent = SendAll(connection_.get(), bytes.substr(0, first));
  if (first < bytes.size()) {
    absl::SleepFor(absl::Milliseconds(Draw(1, 30)));
    sent = sent && SendAll(connection_.get(), bytes.substr(first));
  }
  request->sent = absl::Now();
  return sent;
}

void SoakCaller::SendRequest() {
  CallerRecord request;
  const std::string text = DrawRequest(&request);
  if (!SendInPieces(text, &request)) {
    // The connection was closed while the request was on its way.
    connection_.Reset();
    return;
  }
  HttpMessage response;
  request.end =
      HttpReader(connection_.get())
          .Read(request.began + request.time_limit + kPatience, &response);
  request.ended = absl::Now();
  request.status = response.Status();
  request.seal = response.Header("wisteriareel-response-seal");
  request.body = response.body;
  recorder_->Add(request);
  if (request.end != ResponseEnd::kComplete ||
      response.Header("connection") == "close") {
    connection_.Reset();
    if (Draw(0, 1) == 0) {
      const auto count = static_cast<std::int64_t>(options_.ports.size());
      instance_ = static_cast<std::size_t>(Draw(0, count - 1));
    }
  }
  if (request.status == 503) absl::SleepFor(absl::Milliseconds(Draw(50, 150)));
}

}  // namespace wisteriareel::soak
