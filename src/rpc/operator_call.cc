#include "src/rpc/operator_call.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace wisteriareel {
namespace {

constexpr char kAuthorizationMetadata[] = "authorization";

std::string AuthorizationMetadata(const grpc::ServerContext& context) {
  const auto& metadata = context.client_metadata();
  // A call with several credentials is treated as having none, since it would
  // be ambiguous which one applies.
  if (metadata.count(kAuthorizationMetadata) != 1) return "";
  const auto value = metadata.find(kAuthorizationMetadata)->second;
  return std::string(value.data(), value.size());
}

}  // namespace

grpc::StatusCode StatusCodeOf(Reason reason) {
  switch (reason) {
    case Reason::kNone:
      return grpc::StatusCode::OK;
    case Reason::kConflict:
    case Reason::kOrderSuperseded:
    case Reason::kRevisionStale:
      return grpc::StatusCode::ABORTED;
    case Reason::kNotFound:
    case Reason::kBudgetUnknown:
    case Reason::kNoSuchPool:
      return grpc::StatusCode::NOT_FOUND;
    case Reason::kMalformed:
    case Reason::kTooLarge:
      return grpc::StatusCode::INVALID_ARGUMENT;
    case Reason::kDeadlineExceeded:
      return grpc::StatusCode::DEADLINE_EXCEEDED;
    case Reason::kCancelled:
      return grpc::StatusCode::CANCELLED;
    case Reason::kUnauthenticated:
      return grpc::StatusCode::UNAUTHENTICATED;
    case Reason::kForbidden:
      return grpc::StatusCode::PERMISSION_DENIED;
    case Reason::kPlatformRateLimited:
      return grpc::StatusCode::RESOURCE_EXHAUSTED;
    case Reason::kClaimInDoubt:
    case Reason::kClaimHeldElsewhere:
      return grpc::StatusCode::FAILED_PRECONDITION;
    default:
      return grpc::StatusCode::UNAVAILABLE;
  }
}

OperatorCall::OperatorCall(const OperatorServices& services,
                           grpc::ServerContext* context)
    : services_(services),
      context_(context),
      started_(services.clock->Now()),
      status_(grpc::Status::OK) {}

bool OperatorCall::Admit(OperatorRole required_role, std::string_view method) {
  LastReason reason;
  const std::optional<OperatorCredential> credential =
      services_.credentials.Authorize(AuthorizationMetadata(*context_),
                                      required_role, &reason);
  if (credential) {
    operator_name_ = credential->name;
    return true;
  }
  services_.counters->Refused(reason.reason());
  services_.counters->Add(Counter::kCallersRefused, 1);
  services_.events->Write(EventId::kOperatorRefused, Severity::kWarning,
                          "operator call refused",
                          {{"method", std::string(method)},
                           {"peer", context_->peer()},
                           {"reason", std::string(ReasonName(reason.reason()))},
                           {"detail", reason.detail()}});
  Fail(reason);
  return false;
}

absl::Duration OperatorCall::timeout() const {
  const absl::Duration spent = services_.clock->Now() - started_;
  absl::Duration left = services_.call_timeout - spent;
  const auto deadline = absl::FromChrono(context_->deadline());
  left = std::min(left, deadline - absl::Now());
  return std::max(left, absl::ZeroDuration());
}

grpc::Status OperatorCall::Fail(const LastReason& reason) {
  return Fail(reason.reason(), reason.detail());
}

grpc::Status OperatorCall::Fail(Reason reason, const std::string& detail) {
  const std::string name(ReasonName(reason));
  context_->AddTrailingMetadata(kReasonMetadata, name);
  status_ =
      grpc::Status(StatusCodeOf(reason), absl::StrCat(name, ": ", detail));
  return status_;
}

}  // namespace wisteriareel
