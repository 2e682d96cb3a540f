#include "src/platform/platform_client.h"

#include <algorithm>
#include <utility>

#include "wisteriareel/clock.h"

namespace wisteriareel {
namespace {

constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusNotFound = 404;
constexpr int kMinFailureStatus = 300;

Reason ReasonForStatus(int status) {
  if (status == kStatusTooManyRequests) return Reason::kPlatformRateLimited;
  if (status == kStatusNotFound) return Reason::kNotFound;
  if (status >= kMinFailureStatus) return Reason::kPlatformUnavailable;
  return Reason::kNone;
}

}  // namespace

PlatformClient::PlatformClient(PlatformClientOptions options)
    : options_(std::move(options)), connections_(options_.connections) {}

PlatformReply PlatformClient::Call(const std::string& method,
                                   const std::string& path,
                                   const std::string& body,
                                   const std::string& content_type,
                                   absl::Duration timeout) {
  httplib::Request request;
  request.method = method;
  request.path = path;
  request.body = body;
  if (!content_type.empty()) request.set_header("Content-Type", content_type);
  httplib::Response response;
  const ClientOutcome outcome = connections_.Exchange(
      options_.endpoint, /*fresh=*/false,
      {.connect_timeout = std::min(options_.connect_timeout, timeout),
       .idle_timeout = &timeout,
       .deadline = SystemClock()->Now() + timeout},
      &request, &response);
  PlatformReply reply;
  if (!outcome.ok) {
    if (outcome.bytes_sent == 0) {
      reply.call_outcome = PlatformReply::CallOutcome::kNotSent;
      reply.reason = Reason::kPlatformUnavailable;
    }
    return reply;
  }
  reply.call_outcome = PlatformReply::CallOutcome::kReplied;
  reply.status = response.status;
  reply.reason = ReasonForStatus(response.status);
  reply.body = std::move(response.body);
  return reply;
}

}  // namespace wisteriareel
