#include "daemons/ctl/session.h"

#include "daemons/ctl/message_printer.h"
#include "src/rpc/proto_convert.h"

namespace wisteriareel::ctl {

ExitCode Session::AwaitRollout(std::uint64_t revision, absl::Duration timeout) {
  v1::AwaitRolloutRequest request;
  request.set_revision(revision);
  *request.mutable_timeout() = ToProto(timeout);
  v1::RolloutResponse response;
  const grpc::Status status = client_->Call(&OperatorClient::Stub::AwaitRollout,
                                            request, &response, timeout);
  const ExitCode code = Print(status, response);
  if (code != ExitCode::kDone || response.lines().empty()) return code;
  *error_ << response.lines_size() << " instances lag behind revision "
          << revision << "\n";
  return ExitCode::kRolloutIncomplete;
}

ExitCode Session::Print(const grpc::Status& status,
                        const google::protobuf::Message& response) {
  if (!status.ok()) {
    *error_ << status.error_message() << "\n";
    return ExitCodeFromStatus(status);
  }
  *out_ << (arguments_->Has("--json") ? ToJson(response) : ToTable(response));
  return ExitCode::kDone;
}

std::string Session::OrderId() const {
  const std::string given = arguments_->Text("--order");
  return given.empty() ? GenerateSecret("order-") : given;
}

}  // namespace wisteriareel::ctl
