#include <algorithm>

#include "absl/strings/str_cat.h"
#include "src/rpc/night_report.h"
#include "src/rpc/operator_service.h"
#include "src/rpc/operator_service_templates.h"
#include "src/rpc/proto_convert.h"

// Operator calls on rollouts, this instance and request records.
namespace wisteriareel {
namespace {

constexpr absl::Duration kDefaultRolloutWait = absl::Seconds(10);
constexpr absl::Duration kMaxRolloutWait = absl::Seconds(60);

v1::DrainStatus ToProto(const DrainProgress& progress) {
  v1::DrainStatus it;
  it.set_draining(progress.draining);
  it.set_requests_in_flight(progress.requests_in_flight);
  it.set_records_unflushed(progress.records_unflushed);
  return it;
}

v1::NightReportLine ToProto(const NightReportLine& line) {
  v1::NightReportLine it;
  it.set_customer_id(line.customer.value());
  it.set_verdict(ToProto(line.verdict));
  it.set_reason(std::string(ReasonName(line.reason)));
  it.set_requests(line.requests);
  it.set_retries(line.retries);
  it.set_prompt_tokens(line.prompt_tokens.value());
  it.set_output_tokens(line.output_tokens.value());
  it.set_billed_tokens(line.billed.value());
  return it;
}

}  // namespace

grpc::Status OperatorService::GetRollout(grpc::ServerContext* context,
                                         const v1::GetRolloutRequest*,
                                         v1::RolloutResponse* response) {
  const bool available =
      services_.config_store != nullptr && services_.config_view != nullptr;
  return ServeRead(context, "GetRollout", available, [&](OperatorCall&) {
    for (const RolloutLine& line : services_.config_store->Rollout()) {
      *response->add_lines() = ToProto(line);
    }
    response->set_revision(
        services_.config_view->Current()->revision().value());
    return grpc::Status::OK;
  });
}

grpc::Status OperatorService::AwaitRollout(
    grpc::ServerContext* context, const v1::AwaitRolloutRequest* request,
    v1::RolloutResponse* response) {
  const bool available =
      services_.config_store != nullptr && services_.config_view != nullptr;
  return ServeRead(context, "AwaitRollout", available, [&](OperatorCall&) {
    const absl::Duration requested = request->has_timeout()
                                         ? FromProto(request->timeout())
                                         : kDefaultRolloutWait;
    const auto lagging = services_.config_store->AwaitRollout(
        Revision(request->revision()),
        std::clamp(requested, absl::ZeroDuration(), kMaxRolloutWait));
    for (const RolloutLine& line : lagging) {
      *response->add_lines() = ToProto(line);
    }
    response->set_revision(
        services_.config_view->Current()->revision().value());
    return grpc::Status::OK;
  });
}

grpc::Status OperatorService::GetStatus(grpc::ServerContext* context,
                                        const v1::GetStatusRequest*,
                                        v1::GetStatusResponse* response) {
  return ServeRead(context, "GetStatus", true, [&](OperatorCall&) {
    const absl::Time now = services_.clock->Now();
    response->set_instance_id(services_.instance.value());
    response->set_region(services_.region.value());
    response->set_zone(services_.zone.value());
    response->set_version(services_.program_version);
    *response->mutable_uptime() = ToProto(now - started_);
    if (services_.config_view != nullptr) {
      response->set_revision(
          services_.config_view->Current()->revision().value());
      const absl::Time confirmed = services_.config_view->ConfirmedAt();
      if (confirmed != absl::InfinitePast()) {
        *response->mutable_configuration_age() = ToProto(now - confirmed);
      }
    }
    if (services_.drain != nullptr) {
      *response->mutable_drain() = ToProto(services_.drain->Progress());
    }
    if (services_.membership != nullptr) {
      for (const Member& member : services_.membership->AllMembers()) {
        *response->add_members() = ToProto(member, now);
      }
    }
    return grpc::Status::OK;
  });
}

grpc::Status OperatorService::DrainInstance(
    grpc::ServerContext* context, const v1::DrainInstanceRequest* request,
    v1::DrainInstanceResponse* response) {
  return ServeOperate(
      context, "DrainInstance", services_.drain != nullptr,
      [&](OperatorCall& call) {
        if (request->instance_id() != services_.instance.value()) {
          return call.Fail(Reason::kMalformed,
                           absl::StrCat("instance_id: this instance is ",
                                        services_.instance.value()));
        }
        services_.drain->RequestDrain();
        *response->mutable_drain() = ToProto(services_.drain->Progress());
        services_.events->Write(EventId::kOperatorOrderAccepted,
                                Severity::kInfo, "drain requested",
                                {{"operator", call.operator_name()}});
        return grpc::Status::OK;
      });
}

grpc::Status OperatorService::FindRequest(grpc::ServerContext* context,
                                          const v1::FindRequestRequest* request,
                                          v1::FindRequestResponse* response) {
  return ServeRead(context, "FindRequest", services_.record_reader != nullptr,
                   [&](OperatorCall& call) {
                     LastReason reason;
                     const std::optional<RequestRecord> record =
                         services_.record_reader->Find(
                             RequestId(request->request_id()), call.timeout(),
                             &reason);
                     if (!record) return call.Fail(reason);
                     *response->mutable_record() = ToProto(*record);
                     return grpc::Status::OK;
                   });
}

grpc::Status OperatorService::GetNightReport(
    grpc::ServerContext* context, const v1::GetNightReportRequest* request,
    v1::GetNightReportResponse* response) {
  return ServeRead(
      context, "GetNightReport", services_.record_reader != nullptr,
      [&](OperatorCall& call) {
        const absl::Time from = FromProto(request->from());
        const absl::Time to = request->has_to() ? FromProto(request->to())
                                                : services_.clock->Now();
        if (!request->has_from() || from >= to) {
          return call.Fail(Reason::kMalformed,
                           "from: must be set and earlier than to");
        }
        LastReason reason;
        const std::optional<std::vector<RequestRecord>> records =
            services_.record_reader->Range(from, to, call.timeout(), &reason);
        if (!records) return call.Fail(reason);
        std::uint64_t requests = 0;
        Tokens billed;
        const CustomerId customer(request->customer_id());
        for (const NightReportLine& line : SumRecords(*records, customer)) {
          *response->add_lines() = ToProto(line);
          requests += line.requests;
          billed += line.billed;
        }
        response->set_requests(requests);
        response->set_billed_tokens(billed.value());
        return grpc::Status::OK;
      });
}

}  // namespace wisteriareel
