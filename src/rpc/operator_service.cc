#include "src/rpc/operator_service.h"

#include <variant>

#include "absl/strings/str_cat.h"
#include "src/security/digest.h"

namespace wisteriareel {
namespace {

// Attempts at an order whose reply was lost, and at an edit that conflicts with
// another order.
constexpr int kMaxAttempts = 4;

std::string Describe(const ChangeOrder& order) {
  std::string text;
  for (const ConfigChange& change : order.changes) {
    absl::StrAppend(&text, text.empty() ? "" : " ",
                    change.value ? "put:" : "remove:",
                    static_cast<int>(change.key.kind), ":", change.key.id);
  }
  return text;
}

}  // namespace

OperatorService::OperatorService(const OperatorServices& services)
    : services_(services), started_(services.clock->Now()) {}

grpc::Status OperatorService::Serve(grpc::ServerContext* context,
                                    OperatorRole role, const char* method,
                                    bool available, const Handler& handler) {
  OperatorCall call(services_, context);
  if (!call.Admit(role, method)) return call.status();
  if (!available) {
    return grpc::Status(
        grpc::StatusCode::UNIMPLEMENTED,
        absl::StrCat(method, " is not available at this instance"));
  }
  return handler(call);
}

grpc::Status OperatorService::ServeRead(grpc::ServerContext* context,
                                        const char* method, bool available,
                                        const Handler& handler) {
  return Serve(context, OperatorRole::kRead, method, available, handler);
}

grpc::Status OperatorService::ServeOperate(grpc::ServerContext* context,
                                           const char* method, bool available,
                                           const Handler& handler) {
  return Serve(context, OperatorRole::kOperate, method, available, handler);
}

std::optional<AcceptedOrder> OperatorService::ApplyWithRetries(
    const OperatorCall& call, const ChangeOrder& order, LastReason* reason) {
  std::optional<AcceptedOrder> accepted;
  for (int n = 0; n < kMaxAttempts; ++n) {
    const absl::Duration timeout = call.timeout();
    if (n > 0 && timeout <= absl::ZeroDuration()) break;
    accepted = services_.config_store->Apply(order, timeout, reason);
    if (accepted) break;
    if (reason->reason() != Reason::kPlatformReplyLost) break;
    services_.counters->Retried(Reason::kPlatformReplyLost);
  }
  return accepted;
}

grpc::Status OperatorService::Commit(OperatorCall& call,
                                     const ChangeOrder& order,
                                     v1::ChangeResponse* response) {
  LastReason reason;
  const std::optional<AcceptedOrder> accepted =
      ApplyWithRetries(call, order, &reason);
  if (!accepted) return call.Fail(reason);
  services_.events->Write(
      EventId::kOperatorOrderAccepted, Severity::kInfo,
      "operator order accepted",
      {{"operator", order.operator_name},
       {"order", order.order.value()},
       {"changes", Describe(order)},
       {"revision", absl::StrCat(accepted->revision.value())}});
  response->set_revision(accepted->revision.value());
  response->set_repeated(accepted->repeated);
  response->set_order_id(order.order.value());
  return grpc::Status::OK;
}

grpc::Status OperatorService::Put(OperatorCall& call,
                                  const ChangeOptions& options,
                                  const ConfigValue& value,
                                  v1::ChangeResponse* response) {
  const ChangeOrder order{
      .order = OrderIdOf(options.order_id),
      .operator_name = call.operator_name(),
      .changes = {{KeyOf(value), value, options.expected_version}},
      .companion = {}};
  return Commit(call, order, response);
}

grpc::Status OperatorService::Remove(OperatorCall& call, ConfigKind kind,
                                     const v1::RemoveRequest& request,
                                     v1::ChangeResponse* response) {
  ConfigChange change{.key = {kind, request.id()}};
  if (request.has_expected_version()) {
    change.expected_version = request.expected_version();
  }
  const ChangeOrder order{.order = OrderIdOf(request.order_id()),
                          .operator_name = call.operator_name(),
                          .changes = {change},
                          .companion = {}};
  return Commit(call, order, response);
}

grpc::Status OperatorService::EditEntry(OperatorCall& call,
                                        const ChangeOptions& options,
                                        const ConfigKey& key, const Edit& edit,
                                        v1::ChangeResponse* response) {
  // All attempts share one order id, so that an attempt whose reply was lost
  // isn't applied twice.
  const std::string order_id = OrderIdOf(options.order_id).value();
  grpc::Status status;
  for (int n = 0; n < kMaxAttempts; ++n) {
    LastReason reason;
    const std::optional<EntryVersion> entry = ReadExisting(call, key, &reason);
    if (!entry) return call.Fail(reason);
    ConfigValue value = *entry->value;
    if (!edit(&value)) {
      return call.Fail(Reason::kMalformed,
                       absl::StrCat("entry has another type: ", key.id));
    }
    status =
        Put(call, {order_id, options.expected_version.value_or(entry->version)},
            value, response);
    if (status.error_code() != grpc::StatusCode::ABORTED) break;
    if (options.expected_version) break;
  }
  return status;
}

std::optional<EntryVersion> OperatorService::ReadExisting(
    const OperatorCall& call, const ConfigKey& key, LastReason* reason) {
  std::optional<EntryVersion> entry =
      services_.config_store->ReadEntry(key, call.timeout(), reason);
  if (!entry) return std::nullopt;
  if (!entry->value || KeyOf(*entry->value) != key) {
    reason->Set(Reason::kNotFound, absl::StrCat("no entry ", key.id));
    return std::nullopt;
  }
  return entry;
}

bool OperatorService::Exists(const OperatorCall& call, const ConfigKey& key,
                             LastReason* reason) {
  return ReadExisting(call, key, reason).has_value();
}

OrderId OperatorService::OrderIdOf(const std::string& order_id) {
  return OrderId(order_id.empty() ? GenerateSecret("order-") : order_id);
}

}  // namespace wisteriareel
