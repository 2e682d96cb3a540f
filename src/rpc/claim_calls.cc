#include "absl/strings/str_cat.h"
#include "src/rpc/operator_service.h"
#include "src/rpc/operator_service_templates.h"
#include "src/rpc/proto_convert.h"

// Claims of non-idempotent requests.
namespace wisteriareel {

grpc::Status OperatorService::ListClaims(grpc::ServerContext* context,
                                         const v1::ListClaimsRequest* request,
                                         v1::ListClaimsResponse* response) {
  return Read(context, "ListClaims", services_.claim_admin != nullptr,
              [&](OperatorCall& call) {
                const int limit =
                    static_cast<int>(PageSizeOf(request->page_size()));
                LastReason reason;
                const std::optional<std::vector<ClaimInfo>> lines =
                    services_.claim_admin->ListOpenClaims(
                        request->page_token(), limit, call.timeout(), &reason);
                if (!lines) return call.Fail(reason);
                for (const ClaimInfo& line : *lines) {
                  const bool in_doubt = line.state == ClaimState::kInDoubt;
                  if (request->in_doubt_only() && !in_doubt) continue;
                  *response->add_claims() = ToProto(line);
                }
                if (static_cast<int>(lines->size()) == limit) {
                  response->set_next_page_token(lines->back().position);
                }
                return grpc::Status::OK;
              });
}

grpc::Status OperatorService::ResolveClaim(
    grpc::ServerContext* context, const v1::ResolveClaimRequest* request,
    v1::ResolveClaimResponse*) {
  return Operate(context, "ResolveClaim", services_.claim_admin != nullptr,
                 [&](OperatorCall& call) {
                   const v1::ClaimResolution asked = request->resolution();
                   if (asked != v1::CLAIM_RESOLUTION_RAN &&
                       asked != v1::CLAIM_RESOLUTION_NOT_RUN) {
                     return call.Fail(Reason::kMalformed,
                                      "resolution: CLAIM_RESOLUTION_RAN or "
                                      "CLAIM_RESOLUTION_NOT_RUN");
                   }
                   const bool ran = asked == v1::CLAIM_RESOLUTION_RAN;
                   LastReason reason;
                   const bool resolved = services_.claim_admin->Resolve(
                       CustomerId(request->customer_id()),
                       IdempotencyKey(request->idempotency_key()),
                       ran ? ClaimResolution::kRan : ClaimResolution::kNotRun,
                       call.operator_name(), call.timeout(), &reason);
                   if (!resolved) return call.Fail(reason);
                   services_.events->Write(
                       EventId::kOperatorOrderAccepted, Severity::kInfo,
                       "claim resolved",
                       {{"operator", call.operator_name()},
                        {"customer", request->customer_id()},
                        {"key", request->idempotency_key()},
                        {"resolution", ran ? "ran" : "not_run"}});
                   return grpc::Status::OK;
                 });
}

}  // namespace wisteriareel
