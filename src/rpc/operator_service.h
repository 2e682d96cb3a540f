#ifndef WISTERIAREEL_SRC_RPC_OPERATOR_SERVICE_H_
#define WISTERIAREEL_SRC_RPC_OPERATOR_SERVICE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "src/rpc/operator_call.h"
#include "src/rpc/operator_server.h"
#include "wisteriareel/config_store.h"
#include "wisteriareel/config_types.h"
#include "wisteriareel/v1/operator.grpc.pb.h"

namespace wisteriareel {

// Implements the operator calls on OperatorServices. Thread-safe. The calls are
// defined in the *_calls.cc files, one file per subject.
class OperatorService final : public v1::OperatorService::Service {
 public:
  // `services` must outlive the service.
  explicit OperatorService(const OperatorServices& services);

  grpc::Status CreateCustomer(grpc::ServerContext* context,
                              const v1::CreateCustomerRequest* request,
                              v1::ChangeResponse* response) override;
  grpc::Status UpdateCustomer(grpc::ServerContext* context,
                              const v1::UpdateCustomerRequest* request,
                              v1::ChangeResponse* response) override;
  grpc::Status SuspendCustomer(grpc::ServerContext* context,
                               const v1::SuspendCustomerRequest* request,
                               v1::ChangeResponse* response) override;
  grpc::Status GetCustomer(grpc::ServerContext* context,
                           const v1::GetCustomerRequest* request,
                           v1::GetCustomerResponse* response) override;
  grpc::Status ListCustomers(grpc::ServerContext* context,
                             const v1::ListCustomersRequest* request,
                             v1::ListCustomersResponse* response) override;
  grpc::Status CreateKey(grpc::ServerContext* context,
                         const v1::CreateKeyRequest* request,
                         v1::CreateKeyResponse* response) override;
  grpc::Status RotateKey(grpc::ServerContext* context,
                         const v1::RotateKeyRequest* request,
                         v1::CreateKeyResponse* response) override;
  grpc::Status RevokeKey(grpc::ServerContext* context,
                         const v1::RevokeKeyRequest* request,
                         v1::ChangeResponse* response) override;
  grpc::Status ListKeys(grpc::ServerContext* context,
                        const v1::ListKeysRequest* request,
                        v1::ListKeysResponse* response) override;
  grpc::Status CreateBudget(grpc::ServerContext* context,
                            const v1::CreateBudgetRequest* request,
                            v1::ChangeResponse* response) override;
  grpc::Status FreezeBudget(grpc::ServerContext* context,
                            const v1::FreezeBudgetRequest* request,
                            v1::ChangeResponse* response) override;
  grpc::Status TopUpBudget(grpc::ServerContext* context,
                           const v1::TopUpBudgetRequest* request,
                           v1::TopUpBudgetResponse* response) override;
  grpc::Status GetBudget(grpc::ServerContext* context,
                         const v1::GetBudgetRequest* request,
                         v1::GetBudgetResponse* response) override;
  grpc::Status ListBudgets(grpc::ServerContext* context,
                           const v1::ListBudgetsRequest* request,
                           v1::ListBudgetsResponse* response) override;
  grpc::Status ListTopUps(grpc::ServerContext* context,
                          const v1::ListTopUpsRequest* request,
                          v1::ListTopUpsResponse* response) override;
  grpc::Status PutPool(grpc::ServerContext* context,
                       const v1::PutPoolRequest* request,
                       v1::ChangeResponse* response) override;
  grpc::Status RemovePool(grpc::ServerContext* context,
                          const v1::RemoveRequest* request,
                          v1::ChangeResponse* response) override;
  grpc::Status GetPool(grpc::ServerContext* context,
                       const v1::GetRequest* request,
                       v1::GetPoolResponse* response) override;
  grpc::Status ListPools(grpc::ServerContext* context,
                         const v1::ListPoolsRequest* request,
                         v1::ListPoolsResponse* response) override;
  grpc::Status AddTarget(grpc::ServerContext* context,
                         const v1::AddTargetRequest* request,
                         v1::ChangeResponse* response) override;
  grpc::Status DrainTarget(grpc::ServerContext* context,
                           const v1::DrainTargetRequest* request,
                           v1::ChangeResponse* response) override;
  grpc::Status RemoveTarget(grpc::ServerContext* context,
                            const v1::RemoveRequest* request,
                            v1::ChangeResponse* response) override;
  grpc::Status GetTarget(grpc::ServerContext* context,
                         const v1::GetRequest* request,
                         v1::GetTargetResponse* response) override;
  grpc::Status ListTargets(grpc::ServerContext* context,
                           const v1::ListTargetsRequest* request,
                           v1::ListTargetsResponse* response) override;
  grpc::Status PutIdempotencyRule(grpc::ServerContext* context,
                                  const v1::PutIdempotencyRuleRequest* request,
                                  v1::ChangeResponse* response) override;
  grpc::Status RemoveIdempotencyRule(grpc::ServerContext* context,
                                     const v1::RemoveRequest* request,
                                     v1::ChangeResponse* response) override;
  grpc::Status GetIdempotencyRule(
      grpc::ServerContext* context, const v1::GetRequest* request,
      v1::GetIdempotencyRuleResponse* response) override;
  grpc::Status ListIdempotencyRules(
      grpc::ServerContext* context,
      const v1::ListIdempotencyRulesRequest* request,
      v1::ListIdempotencyRulesResponse* response) override;
  grpc::Status PutPoolPlan(grpc::ServerContext* context,
                           const v1::PutPoolPlanRequest* request,
                           v1::ChangeResponse* response) override;
  grpc::Status RemovePoolPlan(grpc::ServerContext* context,
                              const v1::RemoveRequest* request,
                              v1::ChangeResponse* response) override;
  grpc::Status GetPoolPlan(grpc::ServerContext* context,
                           const v1::GetRequest* request,
                           v1::GetPoolPlanResponse* response) override;
  grpc::Status ListPoolPlans(grpc::ServerContext* context,
                             const v1::ListPoolPlansRequest* request,
                             v1::ListPoolPlansResponse* response) override;
  grpc::Status GetRollout(grpc::ServerContext* context,
                          const v1::GetRolloutRequest* request,
                          v1::RolloutResponse* response) override;
  grpc::Status AwaitRollout(grpc::ServerContext* context,
                            const v1::AwaitRolloutRequest* request,
                            v1::RolloutResponse* response) override;
  grpc::Status GetStatus(grpc::ServerContext* context,
                         const v1::GetStatusRequest* request,
                         v1::GetStatusResponse* response) override;
  grpc::Status DrainInstance(grpc::ServerContext* context,
                             const v1::DrainInstanceRequest* request,
                             v1::DrainInstanceResponse* response) override;
  grpc::Status FindRequest(grpc::ServerContext* context,
                           const v1::FindRequestRequest* request,
                           v1::FindRequestResponse* response) override;
  grpc::Status GetNightReport(grpc::ServerContext* context,
                              const v1::GetNightReportRequest* request,
                              v1::GetNightReportResponse* response) override;
  grpc::Status ListClaims(grpc::ServerContext* context,
                          const v1::ListClaimsRequest* request,
                          v1::ListClaimsResponse* response) override;
  grpc::Status ResolveClaim(grpc::ServerContext* context,
                            const v1::ResolveClaimRequest* request,
                            v1::ResolveClaimResponse* response) override;

 private:
  using Handler = std::function<grpc::Status(OperatorCall& call)>;
  using Edit = std::function<bool(ConfigValue* value)>;

  // Options of a change order.
  struct ChangeOptions {
    // A new id is generated if empty.
    std::string order_id;
    // The change is refused if the entry has another version. Nullopt accepts
    // any version; 0 requires that the entry doesn't exist.
    std::optional<std::uint64_t> expected_version;
  };

  // Checks the operator's credential for `role` and runs `handler`. `available`
  // is false if this instance lacks a dependency of the call, which then
  // returns UNIMPLEMENTED.
  grpc::Status Serve(grpc::ServerContext* context, OperatorRole role,
                     const char* method, bool available,
                     const Handler& handler);
  grpc::Status ServeRead(grpc::ServerContext* context, const char* method,
                         bool available, const Handler& handler);
  grpc::Status ServeOperate(grpc::ServerContext* context, const char* method,
                            bool available, const Handler& handler);

  // Applies `order` and retries it under the same id while replies are lost and
  // time is left. The order takes effect at most once.
  std::optional<AcceptedOrder> ApplyWithRetries(const OperatorCall& call,
                                                const ChangeOrder& order,
                                                LastReason* reason);

  // Applies `order`, logs it and sets the fields of `response`.
  grpc::Status Commit(OperatorCall& call, const ChangeOrder& order,
                      v1::ChangeResponse* response);

  // Creates or replaces the entry of `value`.
  grpc::Status Put(OperatorCall& call, const ChangeOptions& options,
                   const ConfigValue& value, v1::ChangeResponse* response);

  // Removes the entry that `request` names.
  grpc::Status Remove(OperatorCall& call, ConfigKind kind,
                      const v1::RemoveRequest& request,
                      v1::ChangeResponse* response);

  // Reads the entry, applies `edit` and writes it back. Retries if another
  // order changed the entry in between and `options` has no expected version.
  grpc::Status EditEntry(OperatorCall& call, const ChangeOptions& options,
                         const ConfigKey& key, const Edit& edit,
                         v1::ChangeResponse* response);

  // Reads the entry `key` from the platform. Returns nullopt with kNotFound if
  // it doesn't exist, or with the reason of the failed read.
  std::optional<EntryVersion> ReadExisting(const OperatorCall& call,
                                           const ConfigKey& key,
                                           LastReason* reason);

  // Returns true if ReadExisting finds `key`.
  bool Exists(const OperatorCall& call, const ConfigKey& key,
              LastReason* reason);

  // Creates `key` with a new secret, in one order with `changes`. The secret is
  // returned in `response` only.
  grpc::Status IssueKey(OperatorCall& call, const std::string& order_id,
                        ApiKey key, std::vector<ConfigChange> changes,
                        v1::CreateKeyResponse* response);

  // Returns `order_id`, or a new random id if it is empty.
  static OrderId OrderIdOf(const std::string& order_id);

  // Calls `emit` for one page of the entries of `kind` that satisfy `matches`,
  // and sets the next page token and the revision in `response`.
  template <typename Value, typename Request, typename Response>
  grpc::Status ListPage(ConfigKind kind, const Request& request,
                        Response* response,
                        const std::function<bool(const Value&)>& matches,
                        const std::function<void(const Value&)>& emit);

  // Reads the entry `key`, passes it to `emit` and sets its version in
  // `response`.
  template <typename Value, typename Response>
  grpc::Status GetEntry(OperatorCall& call, const ConfigKey& key,
                        Response* response,
                        const std::function<void(const Value&)>& emit);

  const OperatorServices& services_;
  const absl::Time started_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_RPC_OPERATOR_SERVICE_H_
