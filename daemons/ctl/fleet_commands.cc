#include "daemons/ctl/commands.h"

// Commands for pools, targets, idempotency rules and pool plans.
namespace wisteriareel::ctl {
namespace {

using Stub = OperatorClient::Stub;

constexpr std::int64_t kMaxPort = 65535;

// Returns the positive integer of option `name`, or 0 if it wasn't given.
std::uint32_t OptionalNumber(const Arguments& arguments,
                             const std::string& name) {
  return static_cast<std::uint32_t>(
      arguments.Number(name, 1, UINT32_MAX).value_or(0));
}

v1::Pool ParsePool(const Arguments& arguments) {
  v1::Pool pool;
  pool.set_id(arguments.Text("<id>"));
  pool.set_kind(arguments.Has("--path") ? v1::POOL_KIND_SERVICE
                                        : v1::POOL_KIND_MODEL);
  for (const std::string& model : arguments.Texts("--model")) {
    pool.add_models(model);
  }
  pool.set_path_prefix(arguments.Text("--path"));
  pool.set_max_in_flight_per_target(
      OptionalNumber(arguments, "--max-in-flight"));
  pool.set_default_output_limit_tokens(
      OptionalNumber(arguments, "--output-limit"));
  pool.set_service_call_tokens(
      arguments.Number("--call-tokens", 0, INT64_MAX).value_or(0));
  return pool;
}

v1::Target ParseTarget(const Arguments& arguments) {
  v1::Target target;
  target.set_id(arguments.Text("<id>"));
  target.set_pool_id(arguments.Text("<pool>"));
  target.set_region(arguments.Text("<region>"));
  target.set_zone(arguments.Text("<zone>"));
  target.set_host(arguments.Text("<host>"));
  target.set_port(
      static_cast<std::uint32_t>(*arguments.Number("<port>", 1, kMaxPort)));
  target.set_checks_fencing(arguments.Has("--checks-fencing"));
  return target;
}

v1::IdempotencyRule ParseRule(const Arguments& arguments) {
  v1::IdempotencyRule rule;
  rule.set_id(arguments.Text("<id>"));
  rule.set_pool_id(arguments.Text("<pool>"));
  rule.set_method(arguments.Text("<method>"));
  rule.set_path_prefix(arguments.Text("<path>"));
  rule.set_idempotent(arguments.Has("--idempotent"));
  return rule;
}

v1::PoolPlan ParsePlan(const Arguments& arguments) {
  v1::PoolPlan plan;
  plan.set_pool_id(arguments.Text("<pool>"));
  for (const std::string& model : arguments.Texts("--model")) {
    plan.add_loaded_models(model);
  }
  for (const std::string& adapter : arguments.Texts("--adapter")) {
    plan.add_loaded_adapters(adapter);
  }
  plan.set_version(arguments.Text("--model-version"));
  plan.set_role(arguments.Text("--role"));
  return plan;
}

template <typename Request>
Request RequestWithId(const std::string& id) {
  Request request;
  request.set_id(id);
  return request;
}

}  // namespace

ExitCode RunPool(Session* session) {
  const Arguments& arguments = session->arguments();
  const std::string id = arguments.Text("<id>");
  if (arguments.Has("put")) {
    v1::PutPoolRequest request;
    *request.mutable_pool() = ParsePool(arguments);
    return session->Change(&Stub::PutPool, request, v1::ChangeResponse());
  }
  if (arguments.Has("remove")) {
    return session->Change(&Stub::RemovePool,
                           RequestWithId<v1::RemoveRequest>(id),
                           v1::ChangeResponse());
  }
  if (arguments.Has("show")) {
    return session->Show(&Stub::GetPool, RequestWithId<v1::GetRequest>(id),
                         v1::GetPoolResponse());
  }
  return session->List(&Stub::ListPools, v1::ListPoolsRequest(),
                       v1::ListPoolsResponse());
}

ExitCode RunTarget(Session* session) {
  const Arguments& arguments = session->arguments();
  const std::string id = arguments.Text("<id>");
  if (arguments.Has("add")) {
    v1::AddTargetRequest request;
    *request.mutable_target() = ParseTarget(arguments);
    return session->Change(&Stub::AddTarget, request, v1::ChangeResponse());
  }
  if (arguments.Has("drain") || arguments.Has("undrain")) {
    v1::DrainTargetRequest request;
    request.set_target_id(id);
    request.set_draining(arguments.Has("drain"));
    return session->Change(&Stub::DrainTarget, request, v1::ChangeResponse());
  }
  if (arguments.Has("remove")) {
    return session->Change(&Stub::RemoveTarget,
                           RequestWithId<v1::RemoveRequest>(id),
                           v1::ChangeResponse());
  }
  if (arguments.Has("show")) {
    return session->Show(&Stub::GetTarget, RequestWithId<v1::GetRequest>(id),
                         v1::GetTargetResponse());
  }
  v1::ListTargetsRequest request;
  request.set_pool_id(arguments.Text("<pool>"));
  return session->List(&Stub::ListTargets, request, v1::ListTargetsResponse());
}

ExitCode RunRule(Session* session) {
  const Arguments& arguments = session->arguments();
  const std::string id = arguments.Text("<id>");
  if (arguments.Has("put")) {
    v1::PutIdempotencyRuleRequest request;
    *request.mutable_rule() = ParseRule(arguments);
    return session->Change(&Stub::PutIdempotencyRule, request,
                           v1::ChangeResponse());
  }
  if (arguments.Has("remove")) {
    return session->Change(&Stub::RemoveIdempotencyRule,
                           RequestWithId<v1::RemoveRequest>(id),
                           v1::ChangeResponse());
  }
  if (arguments.Has("show")) {
    return session->Show(&Stub::GetIdempotencyRule,
                         RequestWithId<v1::GetRequest>(id),
                         v1::GetIdempotencyRuleResponse());
  }
  v1::ListIdempotencyRulesRequest request;
  request.set_pool_id(arguments.Text("<pool>"));
  return session->List(&Stub::ListIdempotencyRules, request,
                       v1::ListIdempotencyRulesResponse());
}

ExitCode RunPlan(Session* session) {
  const Arguments& arguments = session->arguments();
  const std::string pool = arguments.Text("<pool>");
  if (arguments.Has("put")) {
    v1::PutPoolPlanRequest request;
    *request.mutable_plan() = ParsePlan(arguments);
    return session->Change(&Stub::PutPoolPlan, request, v1::ChangeResponse());
  }
  if (arguments.Has("remove")) {
    return session->Change(&Stub::RemovePoolPlan,
                           RequestWithId<v1::RemoveRequest>(pool),
                           v1::ChangeResponse());
  }
  if (arguments.Has("show")) {
    return session->Show(&Stub::GetPoolPlan,
                         RequestWithId<v1::GetRequest>(pool),
                         v1::GetPoolPlanResponse());
  }
  return session->List(&Stub::ListPoolPlans, v1::ListPoolPlansRequest(),
                       v1::ListPoolPlansResponse());
}

}  // namespace wisteriareel::ctl
