#include "src/rpc/operator_service.h"
#include "src/rpc/operator_service_templates.h"
#include "src/rpc/operator_validation.h"
#include "src/rpc/proto_convert.h"

// Operator calls on idempotency rules and pool plans.
namespace wisteriareel {

grpc::Status OperatorService::PutIdempotencyRule(
    grpc::ServerContext* context, const v1::PutIdempotencyRuleRequest* request,
    v1::ChangeResponse* response) {
  return ServeOperate(
      context, "PutIdempotencyRule", services_.config_store != nullptr,
      [&](OperatorCall& call) {
        const v1::IdempotencyRule& rule = request->rule();
        LastReason reason;
        if (!ValidateIdempotencyRule(rule, &reason) ||
            !Exists(call, {ConfigKind::kPool, rule.pool_id()}, &reason)) {
          return call.Fail(reason);
        }
        ChangeOptions options{request->order_id(), std::nullopt};
        if (request->has_expected_version()) {
          options.expected_version = request->expected_version();
        }
        return Put(call, options, FromProto(rule), response);
      });
}

grpc::Status OperatorService::RemoveIdempotencyRule(
    grpc::ServerContext* context, const v1::RemoveRequest* request,
    v1::ChangeResponse* response) {
  return ServeOperate(
      context, "RemoveIdempotencyRule", services_.config_store != nullptr,
      [&](OperatorCall& call) {
        return Remove(call, ConfigKind::kIdempotencyRule, *request, response);
      });
}

grpc::Status OperatorService::GetIdempotencyRule(
    grpc::ServerContext* context, const v1::GetRequest* request,
    v1::GetIdempotencyRuleResponse* response) {
  return ServeRead(context, "GetIdempotencyRule",
                   services_.config_store != nullptr, [&](OperatorCall& call) {
                     return GetEntry<IdempotencyRule>(
                         call, {ConfigKind::kIdempotencyRule, request->id()},
                         response, [&](const IdempotencyRule& rule) {
                           *response->mutable_rule() = ToProto(rule);
                         });
                   });
}

grpc::Status OperatorService::ListIdempotencyRules(
    grpc::ServerContext* context,
    const v1::ListIdempotencyRulesRequest* request,
    v1::ListIdempotencyRulesResponse* response) {
  return ServeRead(context, "ListIdempotencyRules",
                   services_.config_view != nullptr, [&](OperatorCall&) {
                     return ListPage<IdempotencyRule>(
                         ConfigKind::kIdempotencyRule, *request, response,
                         [&](const IdempotencyRule& rule) {
                           return request->pool_id().empty() ||
                                  rule.pool.value() == request->pool_id();
                         },
                         [&](const IdempotencyRule& rule) {
                           *response->add_rules() = ToProto(rule);
                         });
                   });
}

grpc::Status OperatorService::PutPoolPlan(grpc::ServerContext* context,
                                          const v1::PutPoolPlanRequest* request,
                                          v1::ChangeResponse* response) {
  return ServeOperate(
      context, "PutPoolPlan", services_.config_store != nullptr,
      [&](OperatorCall& call) {
        const v1::PoolPlan& plan = request->plan();
        LastReason reason;
        if (!ValidatePoolPlan(plan, &reason) ||
            !Exists(call, {ConfigKind::kPool, plan.pool_id()}, &reason)) {
          return call.Fail(reason);
        }
        ChangeOptions options{request->order_id(), std::nullopt};
        if (request->has_expected_version()) {
          options.expected_version = request->expected_version();
        }
        return Put(call, options, FromProto(plan), response);
      });
}

grpc::Status OperatorService::RemovePoolPlan(grpc::ServerContext* context,
                                             const v1::RemoveRequest* request,
                                             v1::ChangeResponse* response) {
  return ServeOperate(
      context, "RemovePoolPlan", services_.config_store != nullptr,
      [&](OperatorCall& call) {
        return Remove(call, ConfigKind::kPoolPlan, *request, response);
      });
}

grpc::Status OperatorService::GetPoolPlan(grpc::ServerContext* context,
                                          const v1::GetRequest* request,
                                          v1::GetPoolPlanResponse* response) {
  return ServeRead(context, "GetPoolPlan", services_.config_store != nullptr,
                   [&](OperatorCall& call) {
                     return GetEntry<PoolPlan>(
                         call, {ConfigKind::kPoolPlan, request->id()}, response,
                         [&](const PoolPlan& plan) {
                           *response->mutable_plan() = ToProto(plan);
                         });
                   });
}

grpc::Status OperatorService::ListPoolPlans(
    grpc::ServerContext* context, const v1::ListPoolPlansRequest* request,
    v1::ListPoolPlansResponse* response) {
  return ServeRead(context, "ListPoolPlans", services_.config_view != nullptr,
                   [&](OperatorCall&) {
                     return ListPage<PoolPlan>(
                         ConfigKind::kPoolPlan, *request, response,
                         [](const PoolPlan&) { return true; },
                         [&](const PoolPlan& plan) {
                           *response->add_plans() = ToProto(plan);
                         });
                   });
}

}  // namespace wisteriareel
