#ifndef WISTERIAREEL_SRC_RPC_OPERATOR_CALL_H_
#define WISTERIAREEL_SRC_RPC_OPERATOR_CALL_H_

#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "grpcpp/grpcpp.h"
#include "src/rpc/operator_server.h"
#include "src/security/operator_credentials.h"
#include "wisteriareel/reason.h"

namespace wisteriareel {

// Key of the trailing metadata that carries the stable name of the reason for a
// failure.
inline constexpr char kReasonMetadata[] = "wisteriareel-reason";

// Returns the gRPC status code for a failure.
grpc::StatusCode StatusCodeOf(Reason reason);

// State of one operator call: the operator's name, the time left and the
// status. Not thread-safe; used by the thread that serves the call.
class OperatorCall {
 public:
  // `services` and `context` must outlive the call.
  OperatorCall(const OperatorServices& services, grpc::ServerContext* context);

  // Checks that the operator's credential grants `required_role`. Otherwise
  // sets the status, counts and logs the refusal and returns false.
  bool Admit(OperatorRole required_role, std::string_view method);

  // Returns OK, or the error with which the call was refused or failed.
  const grpc::Status& status() const { return status_; }

  const std::string& operator_name() const { return operator_name_; }

  // Returns the time left for platform calls: the rest of the configured
  // timeout or of the client's deadline, whichever ends first; never negative.
  absl::Duration timeout() const;

  // Sets and returns the status of a failed call, and adds the reason's name to
  // the trailing metadata.
  grpc::Status Fail(const LastReason& reason);
  grpc::Status Fail(Reason reason, const std::string& detail);

 private:
  const OperatorServices& services_;
  grpc::ServerContext* const context_;
  const absl::Time started_;
  std::string operator_name_;
  grpc::Status status_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_RPC_OPERATOR_CALL_H_
