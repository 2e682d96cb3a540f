#ifndef WISTERIAREEL_DAEMONS_CTL_SESSION_H_
#define WISTERIAREEL_DAEMONS_CTL_SESSION_H_

#include <cstdint>
#include <iostream>
#include <string>

#include "absl/time/time.h"
#include "daemons/ctl/arguments.h"
#include "daemons/ctl/exit_code.h"
#include "daemons/ctl/operator_client.h"
#include "google/protobuf/message.h"
#include "src/security/digest.h"

namespace wisteriareel::ctl {

// Page size for reading a complete list.
inline constexpr std::uint32_t kListPageSize = 1000;
// Timeout for an accepted change to be in force on all instances.
inline constexpr absl::Duration kRolloutTimeout = absl::Seconds(30);

// One run of wisteriareelctl: makes calls and prints their responses in the
// format that the command line selects. Not thread-safe.
class Session {
 public:
  // The session doesn't own its arguments; all must outlive it.
  Session(OperatorClient* client, const Arguments* arguments, std::ostream* out,
          std::ostream* error)
      : client_(client), arguments_(arguments), out_(out), error_(error) {}

  const Arguments& arguments() const { return *arguments_; }

  // Makes a call and prints its response.
  template <typename Method, typename Request, typename Response>
  ExitCode Show(Method method, const Request& request, Response response) {
    const grpc::Status status = client_->Call(method, request, &response);
    return Print(status, response);
  }

  // Reads all pages of a list and prints them as one response.
  template <typename Method, typename Request, typename Response>
  ExitCode List(Method method, Request request, Response all) {
    request.set_page_size(kListPageSize);
    grpc::Status status;
    do {
      Response page;
      status = client_->Call(method, request, &page);
      if (!status.ok()) break;
      request.set_page_token(page.next_page_token());
      all.MergeFrom(page);
    } while (!request.page_token().empty());
    all.clear_next_page_token();
    return Print(status, all);
  }

  // Makes a change with the order id and the expected version of the command
  // line, prints the response, and waits for the rollout if --wait was given.
  template <typename Method, typename Request, typename Response>
  ExitCode Change(Method method, Request request, Response response) {
    request.set_order_id(OrderId());
    SetExpectedVersion(&request);
    const grpc::Status status = client_->Call(method, request, &response);
    const ExitCode code = Print(status, response);
    if (code == ExitCode::kUnavailable) {
      *error_ << "the order may have been accepted; retry it with --order="
              << request.order_id() << "\n";
    }
    if (code != ExitCode::kDone || !arguments_->Has("--wait")) return code;
    return AwaitRollout(RevisionOf(response), kRolloutTimeout);
  }

  // Waits until `revision` is in force on all instances and prints those that
  // lag behind.
  ExitCode AwaitRollout(std::uint64_t revision, absl::Duration timeout);

  // Prints the response, or the error of a failed call.
  ExitCode Print(const grpc::Status& status,
                 const google::protobuf::Message& response);

 private:
  // Returns the order id of the command line, or a new random one.
  std::string OrderId() const;

  template <typename Request>
  void SetExpectedVersion(Request* request) {
    const auto version = arguments_->Number("--expect", 0, INT64_MAX);
    if (!version) return;
    if constexpr (requires { request->set_expected_version(0); }) {
      request->set_expected_version(static_cast<std::uint64_t>(*version));
    } else {
      throw UsageError("--expect: this command changes no existing entry");
    }
  }

  // Returns the revision of a change, or zero for a response type without a
  // revision, whose change is in force at once.
  template <typename Response>
  static std::uint64_t RevisionOf(const Response& response) {
    if constexpr (requires { response.change(); }) {
      return response.change().revision();
    } else if constexpr (requires { response.revision(); }) {
      return response.revision();
    } else {
      return 0;
    }
  }

  OperatorClient* const client_;
  const Arguments* const arguments_;
  std::ostream* const out_;
  std::ostream* const error_;
};

}  // namespace wisteriareel::ctl

#endif  // WISTERIAREEL_DAEMONS_CTL_SESSION_H_
