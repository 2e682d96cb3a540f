#include <utility>

#include "src/rpc/operator_service.h"
#include "src/rpc/operator_service_templates.h"
#include "src/rpc/operator_validation.h"
#include "src/rpc/proto_convert.h"
#include "src/security/digest.h"

// Operator calls on customers and their API keys.
namespace wisteriareel {
namespace {

// Lets secret scanners recognize a leaked key.
constexpr char kKeyPrefix[] = "wr-";

template <typename Request>
std::optional<std::uint64_t> ExpectedVersion(const Request& request) {
  if (!request.has_expected_version()) return std::nullopt;
  return request.expected_version();
}

}  // namespace

grpc::Status OperatorService::CreateCustomer(
    grpc::ServerContext* context, const v1::CreateCustomerRequest* request,
    v1::ChangeResponse* response) {
  return ServeOperate(context, "CreateCustomer",
                      services_.config_store != nullptr,
                      [&](OperatorCall& call) {
                        LastReason reason;
                        if (!ValidateCustomer(request->customer(), &reason))
                          return call.Fail(reason);
                        return Put(call, {request->order_id(), 0},
                                   FromProto(request->customer()), response);
                      });
}

grpc::Status OperatorService::UpdateCustomer(
    grpc::ServerContext* context, const v1::UpdateCustomerRequest* request,
    v1::ChangeResponse* response) {
  return ServeOperate(
      context, "UpdateCustomer", services_.config_store != nullptr,
      [&](OperatorCall& call) {
        v1::Customer changed;
        changed.set_id(request->customer_id());
        changed.set_display_name(request->display_name());
        LastReason reason;
        if (!ValidateCustomer(changed, &reason)) return call.Fail(reason);
        if (request->has_weight() && request->weight() == 0) {
          return call.Fail(Reason::kMalformed, "weight: at least 1");
        }
        return EditEntry(
            call, {request->order_id(), ExpectedVersion(*request)},
            {ConfigKind::kCustomer, request->customer_id()},
            [&](ConfigValue* value) {
              auto* customer = std::get_if<Customer>(value);
              if (customer == nullptr) return false;
              if (request->has_display_name()) {
                customer->display_name = request->display_name();
              }
              if (request->has_weight()) customer->weight = request->weight();
              return true;
            },
            response);
      });
}

grpc::Status OperatorService::SuspendCustomer(
    grpc::ServerContext* context, const v1::SuspendCustomerRequest* request,
    v1::ChangeResponse* response) {
  return ServeOperate(
      context, "SuspendCustomer", services_.config_store != nullptr,
      [&](OperatorCall& call) {
        return EditEntry(
            call, {request->order_id(), ExpectedVersion(*request)},
            {ConfigKind::kCustomer, request->customer_id()},
            [&](ConfigValue* value) {
              auto* customer = std::get_if<Customer>(value);
              if (customer == nullptr) return false;
              customer->suspended = request->suspended();
              return true;
            },
            response);
      });
}

grpc::Status OperatorService::GetCustomer(grpc::ServerContext* context,
                                          const v1::GetCustomerRequest* request,
                                          v1::GetCustomerResponse* response) {
  return ServeRead(context, "GetCustomer", services_.config_store != nullptr,
                   [&](OperatorCall& call) {
                     return GetEntry<Customer>(
                         call, {ConfigKind::kCustomer, request->customer_id()},
                         response, [&](const Customer& customer) {
                           *response->mutable_customer() = ToProto(customer);
                         });
                   });
}

grpc::Status OperatorService::ListCustomers(
    grpc::ServerContext* context, const v1::ListCustomersRequest* request,
    v1::ListCustomersResponse* response) {
  return ServeRead(context, "ListCustomers", services_.config_view != nullptr,
                   [&](OperatorCall&) {
                     return ListPage<Customer>(
                         ConfigKind::kCustomer, *request, response,
                         [](const Customer&) { return true; },
                         [&](const Customer& customer) {
                           *response->add_customers() = ToProto(customer);
                         });
                   });
}

grpc::Status OperatorService::IssueKey(OperatorCall& call,
                                       const std::string& order_id, ApiKey key,
                                       std::vector<ConfigChange> changes,
                                       v1::CreateKeyResponse* response) {
  const std::string secret = GenerateSecret(kKeyPrefix);
  key.hash = Sha256Hex(secret);
  const ConfigValue value = key;
  changes.insert(changes.begin(), {KeyOf(value), value, 0});
  const ChangeOrder order{.order = OrderIdOf(order_id),
                          .operator_name = call.operator_name(),
                          .changes = std::move(changes),
                          .companion = {}};
  grpc::Status status = Commit(call, order, response->mutable_change());
  if (!status.ok()) return status;
  LastReason reason;
  // A repeated order created its key earlier, with another secret that isn't
  // stored. The secret generated here is returned only if its key exists.
  if (response->change().repeated() && !Exists(call, KeyOf(value), &reason)) {
    response->Clear();
    if (reason.reason() != Reason::kNotFound) return call.Fail(reason);
    return call.Fail(Reason::kConflict,
                     "this order created a key earlier, and its secret can't "
                     "be returned again; revoke that key and create another");
  }
  response->set_secret(secret);
  *response->mutable_key() = ToProto(key);
  return status;
}

grpc::Status OperatorService::CreateKey(grpc::ServerContext* context,
                                        const v1::CreateKeyRequest* request,
                                        v1::CreateKeyResponse* response) {
  return ServeOperate(
      context, "CreateKey", services_.config_store != nullptr,
      [&](OperatorCall& call) {
        LastReason reason;
        const std::optional<EntryVersion> budget = ReadExisting(
            call, {ConfigKind::kBudget, request->budget_id()}, &reason);
        if (!budget) return call.Fail(reason);
        const CustomerId customer(request->customer_id());
        if (std::get<Budget>(*budget->value).customer != customer) {
          return call.Fail(Reason::kMalformed,
                           "budget_id: must be a budget of the same customer");
        }
        return IssueKey(call, request->order_id(),
                        {.hash = {},
                         .customer = customer,
                         .budget = BudgetId(request->budget_id())},
                        {}, response);
      });
}

grpc::Status OperatorService::RotateKey(grpc::ServerContext* context,
                                        const v1::RotateKeyRequest* request,
                                        v1::CreateKeyResponse* response) {
  return ServeOperate(
      context, "RotateKey", services_.config_store != nullptr,
      [&](OperatorCall& call) {
        LastReason reason;
        const ConfigKey old_key{ConfigKind::kApiKey, request->key_id()};
        const std::optional<EntryVersion> entry =
            ReadExisting(call, old_key, &reason);
        if (!entry) return call.Fail(reason);
        ApiKey old_value = std::get<ApiKey>(*entry->value);
        ApiKey new_key = old_value;
        new_key.revoked = false;
        old_value.revoked = old_value.revoked || !request->keep_old();
        const ConfigChange change{
            old_key, old_value,
            ExpectedVersion(*request).value_or(entry->version)};
        return IssueKey(call, request->order_id(), new_key, {change}, response);
      });
}

grpc::Status OperatorService::RevokeKey(grpc::ServerContext* context,
                                        const v1::RevokeKeyRequest* request,
                                        v1::ChangeResponse* response) {
  return ServeOperate(context, "RevokeKey", services_.config_store != nullptr,
                      [&](OperatorCall& call) {
                        return EditEntry(
                            call,
                            {request->order_id(), ExpectedVersion(*request)},
                            {ConfigKind::kApiKey, request->key_id()},
                            [](ConfigValue* value) {
                              auto* key = std::get_if<ApiKey>(value);
                              if (key == nullptr) return false;
                              key->revoked = true;
                              return true;
                            },
                            response);
                      });
}

grpc::Status OperatorService::ListKeys(grpc::ServerContext* context,
                                       const v1::ListKeysRequest* request,
                                       v1::ListKeysResponse* response) {
  return ServeRead(
      context, "ListKeys", services_.config_view != nullptr,
      [&](OperatorCall&) {
        return ListPage<ApiKey>(
            ConfigKind::kApiKey, *request, response,
            [&](const ApiKey& key) {
              return request->customer_id().empty() ||
                     key.customer.value() == request->customer_id();
            },
            [&](const ApiKey& key) { *response->add_keys() = ToProto(key); });
      });
}

}  // namespace wisteriareel
