#include "absl/strings/str_cat.h"
#include "src/rpc/operator_service.h"
#include "src/rpc/operator_service_templates.h"
#include "src/rpc/proto_convert.h"

// Operator calls on claims of non-idempotent requests.
namespace wisteriareel {

grpc::Status OperatorService::ListClaims(grpc::ServerContext* context,
                                         const v1::ListClaimsRequest* request,
                                         v1::ListClaimsResponse* response) {
  return ServeRead(
      context, "ListClaims", services_.claim_admin != nullptr,
      [&](OperatorCall& call) {
        const int limit = static_cast<int>(PageSizeOf(request->page_size()));
        LastReason reason;
        const std::optional<std::vector<ClaimInfo>> claims =
            services_.claim_admin->ListOpenClaims(request->page_token(), limit,
                                                  call.timeout(), &reason);
        if (!claims) return call.Fail(reason);
        for (const ClaimInfo& claim : *claims) {
          const bool in_doubt = claim.state == ClaimState::kInDoubt;
          if (request->in_doubt_only() && !in_doubt) continue;
          *response->add_claims() = ToProto(claim);
        }
        if (static_cast<int>(claims->size()) == limit) {
          response->set_next_page_token(claims->back().position);
        }
        return grpc::Status::OK;
      });
}

grpc::Status OperatorService::ResolveClaim(
    grpc::ServerContext* context, const v1::ResolveClaimRequest* request,
    v1::ResolveClaimResponse*) {
  return ServeOperate(
      context, "ResolveClaim", services_.claim_admin != nullptr,
      [&](OperatorCall& call) {
        const v1::ClaimResolution requested = request->resolution();
        if (requested != v1::CLAIM_RESOLUTION_RAN &&
            requested != v1::CLAIM_RESOLUTION_NOT_RUN) {
          return call.Fail(Reason::kMalformed,
                           "resolution: CLAIM_RESOLUTION_RAN or "
                           "CLAIM_RESOLUTION_NOT_RUN");
        }
        const bool ran = requested == v1::CLAIM_RESOLUTION_RAN;
        LastReason reason;
        const bool resolved = services_.claim_admin->Resolve(
            CustomerId(request->customer_id()),
            IdempotencyKey(request->idempotency_key()),
            ran ? ClaimResolution::kRan : ClaimResolution::kNotRun,
            call.operator_name(), call.timeout(), &reason);
        if (!resolved) return call.Fail(reason);
        services_.events->Write(EventId::kOperatorOrderAccepted,
                                Severity::kInfo, "claim resolved",
                                {{"operator", call.operator_name()},
                                 {"customer", request->customer_id()},
                                 {"key", request->idempotency_key()},
                                 {"resolution", ran ? "ran" : "not_run"}});
        return grpc::Status::OK;
      });
}

}  // namespace wisteriareel
