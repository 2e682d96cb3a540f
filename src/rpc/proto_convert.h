#ifndef WISTERIAREEL_SRC_RPC_PROTO_CONVERT_H_
#define WISTERIAREEL_SRC_RPC_PROTO_CONVERT_H_

#include "absl/time/time.h"
#include "wisteriareel/budget_manager.h"
#include "wisteriareel/claim_admin.h"
#include "wisteriareel/config_store.h"
#include "wisteriareel/config_types.h"
#include "wisteriareel/membership_view.h"
#include "wisteriareel/request_record.h"
#include "wisteriareel/v1/operator.pb.h"
#include "wisteriareel/verdict.h"

// Conversions between the schema's messages and the library's value types. Pure
// functions. Messages are validated beforehand, see operator_validation.h.
namespace wisteriareel {

google::protobuf::Timestamp ToProto(absl::Time time);
google::protobuf::Duration ToProto(absl::Duration duration);
absl::Time FromProto(const google::protobuf::Timestamp& time);
absl::Duration FromProto(const google::protobuf::Duration& duration);

v1::Customer ToProto(const Customer& customer);
v1::ApiKey ToProto(const ApiKey& key);
v1::Budget ToProto(const Budget& budget);
v1::Pool ToProto(const Pool& pool);
v1::Target ToProto(const Target& target);
v1::IdempotencyRule ToProto(const IdempotencyRule& rule);
v1::PoolPlan ToProto(const PoolPlan& plan);

// Zero and empty fields take the schema's defaults.
Customer FromProto(const v1::Customer& customer);
Budget FromProto(const v1::Budget& budget);
Pool FromProto(const v1::Pool& pool);
Target FromProto(const v1::Target& target);
IdempotencyRule FromProto(const v1::IdempotencyRule& rule);
PoolPlan FromProto(const v1::PoolPlan& plan);

v1::Verdict ToProto(Verdict verdict);
v1::BudgetStatus ToProto(const BudgetStatus& status);
v1::TopUp ToProto(const AcceptedTopUp& top_up);
v1::RolloutLine ToProto(const RolloutLine& entry);
v1::RequestRecord ToProto(const RequestRecord& record);
v1::Claim ToProto(const ClaimInfo& claim);
v1::Member ToProto(const Member& member, absl::Time now);

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_RPC_PROTO_CONVERT_H_
