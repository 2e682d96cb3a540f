#include "daemons/ctl/exit_code.h"

namespace wisteriareel::ctl {

ExitCode ExitCodeFromStatus(const grpc::Status& status) {
  switch (status.error_code()) {
    case grpc::StatusCode::OK:
      return ExitCode::kDone;
    case grpc::StatusCode::UNAUTHENTICATED:
    case grpc::StatusCode::PERMISSION_DENIED:
      return ExitCode::kRefused;
    case grpc::StatusCode::NOT_FOUND:
      return ExitCode::kNotFound;
    case grpc::StatusCode::ABORTED:
    case grpc::StatusCode::FAILED_PRECONDITION:
      return ExitCode::kConflict;
    case grpc::StatusCode::UNAVAILABLE:
    case grpc::StatusCode::DEADLINE_EXCEEDED:
    case grpc::StatusCode::RESOURCE_EXHAUSTED:
      return ExitCode::kUnavailable;
    case grpc::StatusCode::INVALID_ARGUMENT:
      return ExitCode::kInvalid;
    default:
      return ExitCode::kFailed;
  }
}

}  // namespace wisteriareel::ctl
