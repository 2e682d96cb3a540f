#include <array>
#include <string_view>

#include "absl/time/clock.h"
#include "daemons/ctl/commands.h"
#include "src/rpc/proto_convert.h"

// Commands for the rollout, the instance, requests, reports and claims, and the
// dispatch of all commands.
namespace wisteriareel::ctl {
namespace {

using Stub = OperatorClient::Stub;

ExitCode RunStatus(Session* session) {
  return session->Show(&Stub::GetStatus, v1::GetStatusRequest(),
                       v1::GetStatusResponse());
}

ExitCode RunDrain(Session* session) {
  v1::DrainInstanceRequest request;
  request.set_instance_id(session->arguments().Text("<instance>"));
  return session->Show(&Stub::DrainInstance, request,
                       v1::DrainInstanceResponse());
}

ExitCode RunRequest(Session* session) {
  v1::FindRequestRequest request;
  request.set_request_id(session->arguments().Text("<id>"));
  return session->Show(&Stub::FindRequest, request, v1::FindRequestResponse());
}

// A command word and its function.
struct Command {
  const char* word;
  ExitCode (*run)(Session*);
};

// Words that are also verbs of other commands come last, since the first match
// is run.
constexpr std::array<Command, 13> kCommands = {{
    {"customer", RunCustomer},
    {"key", RunKey},
    {"budget", RunBudget},
    {"pool", RunPool},
    {"target", RunTarget},
    {"rule", RunRule},
    {"plan", RunPlan},
    {"rollout", RunRollout},
    {"report", RunReport},
    {"claim", RunClaim},
    {"status", RunStatus},
    {"request", RunRequest},
    {"drain", RunDrain},
}};

}  // namespace

ExitCode RunRollout(Session* session) {
  const Arguments& arguments = session->arguments();
  if (arguments.Has("wait")) {
    const auto revision = arguments.Number("<revision>", 1, INT64_MAX);
    return session->AwaitRollout(static_cast<std::uint64_t>(*revision),
                                 *arguments.Duration("--timeout"));
  }
  return session->Show(&Stub::GetRollout, v1::GetRolloutRequest(),
                       v1::RolloutResponse());
}

ExitCode RunReport(Session* session) {
  const Arguments& arguments = session->arguments();
  const absl::Time now = absl::Now();
  v1::GetNightReportRequest request;
  *request.mutable_from() = ToProto(*arguments.Time("--from", now));
  if (const auto to = arguments.Time("--to", now)) {
    *request.mutable_to() = ToProto(*to);
  }
  request.set_customer_id(arguments.Text("--customer"));
  return session->Show(&Stub::GetNightReport, request,
                       v1::GetNightReportResponse());
}

ExitCode RunClaim(Session* session) {
  const Arguments& arguments = session->arguments();
  if (arguments.Has("resolve")) {
    v1::ResolveClaimRequest request;
    request.set_customer_id(arguments.Text("<customer>"));
    request.set_idempotency_key(arguments.Text("<key>"));
    request.set_resolution(arguments.Has("ran") ? v1::CLAIM_RESOLUTION_RAN
                                                : v1::CLAIM_RESOLUTION_NOT_RUN);
    return session->Show(&Stub::ResolveClaim, request,
                         v1::ResolveClaimResponse());
  }
  v1::ListClaimsRequest request;
  request.set_in_doubt_only(arguments.Has("--in-doubt"));
  return session->List(&Stub::ListClaims, request, v1::ListClaimsResponse());
}

ExitCode RunCommand(Session* session) {
  for (const Command& command : kCommands) {
    if (session->arguments().Has(command.word)) return command.run(session);
  }
  return ExitCode::kUsage;
}

}  // namespace wisteriareel::ctl
