#include "absl/strings/str_cat.h"
#include "src/rpc/operator_service.h"
#include "src/rpc/operator_service_templates.h"
#include "src/rpc/operator_validation.h"
#include "src/rpc/proto_convert.h"

// Operator calls on pools and their targets.
namespace wisteriareel {
namespace {

// Returns a model or path prefix of `pool` that another pool of `snapshot`
// serves too, which would make routing ambiguous. Returns "" if there is none.
std::string FindSharedName(const ConfigSnapshot& snapshot, const Pool& pool) {
  for (const ModelName& model : pool.models) {
    const Pool* other = snapshot.FindPoolForModel(model);
    if (other != nullptr && other->id != pool.id) return model.value();
  }
  if (pool.path_prefix.empty()) return "";
  const Pool* other = snapshot.FindPoolForPath(pool.path_prefix);
  const bool shared = other != nullptr && other->id != pool.id &&
                      other->path_prefix == pool.path_prefix;
  return shared ? pool.path_prefix : "";
}

}  // namespace

grpc::Status OperatorService::PutPool(grpc::ServerContext* context,
                                      const v1::PutPoolRequest* request,
                                      v1::ChangeResponse* response) {
  const bool available =
      services_.config_store != nullptr && services_.config_view != nullptr;
  return ServeOperate(context, "PutPool", available, [&](OperatorCall& call) {
    LastReason reason;
    if (!ValidatePool(request->pool(), &reason)) return call.Fail(reason);
    const Pool pool = FromProto(request->pool());
    const std::string shared =
        FindSharedName(*services_.config_view->Current(), pool);
    if (!shared.empty()) {
      return call.Fail(Reason::kConflict,
                       absl::StrCat("another pool serves ", shared));
    }
    ChangeOptions options{request->order_id(), std::nullopt};
    if (request->has_expected_version()) {
      options.expected_version = request->expected_version();
    }
    return Put(call, options, pool, response);
  });
}

grpc::Status OperatorService::RemovePool(grpc::ServerContext* context,
                                         const v1::RemoveRequest* request,
                                         v1::ChangeResponse* response) {
  const bool available =
      services_.config_store != nullptr && services_.config_view != nullptr;
  return ServeOperate(
      context, "RemovePool", available, [&](OperatorCall& call) {
        const auto snapshot = services_.config_view->Current();
        if (!snapshot->TargetsOf(PoolId(request->id())).empty()) {
          return call.Fail(Reason::kConflict, "the pool still has targets");
        }
        return Remove(call, ConfigKind::kPool, *request, response);
      });
}

grpc::Status OperatorService::GetPool(grpc::ServerContext* context,
                                      const v1::GetRequest* request,
                                      v1::GetPoolResponse* response) {
  return ServeRead(context, "GetPool", services_.config_store != nullptr,
                   [&](OperatorCall& call) {
                     return GetEntry<Pool>(
                         call, {ConfigKind::kPool, request->id()}, response,
                         [&](const Pool& pool) {
                           *response->mutable_pool() = ToProto(pool);
                         });
                   });
}

grpc::Status OperatorService::ListPools(grpc::ServerContext* context,
                                        const v1::ListPoolsRequest* request,
                                        v1::ListPoolsResponse* response) {
  return ServeRead(
      context, "ListPools", services_.config_view != nullptr,
      [&](OperatorCall&) {
        return ListPage<Pool>(
            ConfigKind::kPool, *request, response,
            [](const Pool&) { return true; },
            [&](const Pool& pool) { *response->add_pools() = ToProto(pool); });
      });
}

grpc::Status OperatorService::AddTarget(grpc::ServerContext* context,
                                        const v1::AddTargetRequest* request,
                                        v1::ChangeResponse* response) {
  return ServeOperate(
      context, "AddTarget", services_.config_store != nullptr,
      [&](OperatorCall& call) {
        const v1::Target& target = request->target();
        LastReason reason;
        if (!ValidateTarget(target, &reason) ||
            !Exists(call, {ConfigKind::kPool, target.pool_id()}, &reason)) {
          return call.Fail(reason);
        }
        const std::uint64_t expected =
            request->has_expected_version() ? request->expected_version() : 0;
        return Put(call, {request->order_id(), expected}, FromProto(target),
                   response);
      });
}

grpc::Status OperatorService::DrainTarget(grpc::ServerContext* context,
                                          const v1::DrainTargetRequest* request,
                                          v1::ChangeResponse* response) {
  return ServeOperate(
      context, "DrainTarget", services_.config_store != nullptr,
      [&](OperatorCall& call) {
        ChangeOptions options{request->order_id(), std::nullopt};
        if (request->has_expected_version()) {
          options.expected_version = request->expected_version();
        }
        return EditEntry(
            call, options, {ConfigKind::kTarget, request->target_id()},
            [&](ConfigValue* value) {
              auto* target = std::get_if<Target>(value);
              if (target == nullptr) return false;
              target->draining = request->draining();
              return true;
            },
            response);
      });
}

grpc::Status OperatorService::RemoveTarget(grpc::ServerContext* context,
                                           const v1::RemoveRequest* request,
                                           v1::ChangeResponse* response) {
  return ServeOperate(
      context, "RemoveTarget", services_.config_store != nullptr,
      [&](OperatorCall& call) {
        return Remove(call, ConfigKind::kTarget, *request, response);
      });
}

grpc::Status OperatorService::GetTarget(grpc::ServerContext* context,
                                        const v1::GetRequest* request,
                                        v1::GetTargetResponse* response) {
  return ServeRead(context, "GetTarget", services_.config_store != nullptr,
                   [&](OperatorCall& call) {
                     return GetEntry<Target>(
                         call, {ConfigKind::kTarget, request->id()}, response,
                         [&](const Target& target) {
                           *response->mutable_target() = ToProto(target);
                         });
                   });
}

grpc::Status OperatorService::ListTargets(grpc::ServerContext* context,
                                          const v1::ListTargetsRequest* request,
                                          v1::ListTargetsResponse* response) {
  return ServeRead(context, "ListTargets", services_.config_view != nullptr,
                   [&](OperatorCall&) {
                     return ListPage<Target>(
                         ConfigKind::kTarget, *request, response,
                         [&](const Target& target) {
                           return request->pool_id().empty() ||
                                  target.pool.value() == request->pool_id();
                         },
                         [&](const Target& target) {
                           *response->add_targets() = ToProto(target);
                         });
                   });
}

}  // namespace wisteriareel
