#include "src/rpc/proto_convert.h"

#include <algorithm>
#include <cstdint>
#include <string>

namespace wisteriareel {
namespace {

// Range of protobuf's Timestamp and Duration; values outside are clamped.
constexpr absl::Time kMinTimestamp = absl::FromUnixSeconds(-62'135'596'800);
constexpr absl::Time kMaxTimestamp = absl::FromUnixSeconds(253'402'300'799);
constexpr absl::Duration kMaxProtoDuration = absl::Seconds(315'576'000'000);

v1::MemberState ToProto(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return v1::MEMBER_STATE_ALIVE;
    case MemberState::kSuspect:
      return v1::MEMBER_STATE_SUSPECT;
    case MemberState::kDead:
      return v1::MEMBER_STATE_DEAD;
    case MemberState::kLeaving:
      return v1::MEMBER_STATE_LEAVING;
  }
  return v1::MEMBER_STATE_UNSPECIFIED;
}

v1::ClaimState ToProto(ClaimState state) {
  switch (state) {
    case ClaimState::kHeld:
      return v1::CLAIM_STATE_HELD;
    case ClaimState::kDone:
      return v1::CLAIM_STATE_DONE;
    case ClaimState::kInDoubt:
      return v1::CLAIM_STATE_IN_DOUBT;
  }
  return v1::CLAIM_STATE_UNSPECIFIED;
}

}  // namespace

google::protobuf::Timestamp ToProto(absl::Time time) {
  const absl::Time clamped =
      std::min(std::max(time, kMinTimestamp), kMaxTimestamp);
  const std::int64_t seconds = absl::ToUnixSeconds(clamped);
  google::protobuf::Timestamp it;
  it.set_seconds(seconds);
  it.set_nanos(static_cast<std::int32_t>(
      absl::ToInt64Nanoseconds(clamped - absl::FromUnixSeconds(seconds))));
  return it;
}

google::protobuf::Duration ToProto(absl::Duration duration) {
  absl::Duration rest =
      std::min(std::max(duration, -kMaxProtoDuration), kMaxProtoDuration);
  google::protobuf::Duration it;
  it.set_seconds(absl::IDivDuration(rest, absl::Seconds(1), &rest));
  it.set_nanos(static_cast<std::int32_t>(absl::ToInt64Nanoseconds(rest)));
  return it;
}

absl::Time FromProto(const google::protobuf::Timestamp& time) {
  return absl::FromUnixSeconds(time.seconds()) +
         absl::Nanoseconds(time.nanos());
}

absl::Duration FromProto(const google::protobuf::Duration& duration) {
  return absl::Seconds(duration.seconds()) +
         absl::Nanoseconds(duration.nanos());
}

v1::Customer ToProto(const Customer& customer) {
  v1::Customer it;
  it.set_id(customer.id.value());
  it.set_display_name(customer.display_name);
  it.set_suspended(customer.suspended);
  it.set_weight(customer.weight);
  return it;
}

v1::ApiKey ToProto(const ApiKey& key) {
  v1::ApiKey it;
  it.set_id(key.hash);
  it.set_customer_id(key.customer.value());
  it.set_budget_id(key.budget.value());
  it.set_revoked(key.revoked);
  return it;
}

v1::Budget ToProto(const Budget& budget) {
  v1::Budget it;
  it.set_id(budget.id.value());
  it.set_customer_id(budget.customer.value());
  it.set_frozen(budget.frozen);
  return it;
}

v1::Pool ToProto(const Pool& pool) {
  v1::Pool it;
  it.set_id(pool.id.value());
  it.set_kind(pool.kind == PoolKind::kModel ? v1::POOL_KIND_MODEL
                                            : v1::POOL_KIND_SERVICE);
  for (const ModelName& model : pool.models) it.add_models(model.value());
  it.set_path_prefix(pool.path_prefix);
  it.set_max_in_flight_per_target(pool.max_in_flight_per_target);
  it.set_service_call_tokens(pool.service_call_tokens.value());
  it.set_default_output_limit_tokens(pool.default_output_limit);
  return it;
}

v1::Target ToProto(const Target& target) {
  v1::Target it;
  it.set_id(target.id.value());
  it.set_pool_id(target.pool.value());
  it.set_region(target.region.value());
  it.set_zone(target.zone.value());
  it.set_host(target.endpoint.host);
  it.set_port(target.endpoint.port);
  it.set_draining(target.draining);
  it.set_checks_fencing(target.checks_fencing);
  return it;
}

v1::IdempotencyRule ToProto(const IdempotencyRule& rule) {
  v1::IdempotencyRule it;
  it.set_id(rule.id);
  it.set_pool_id(rule.pool.value());
  it.set_method(rule.method);
  it.set_path_prefix(rule.path_prefix);
  it.set_idempotent(rule.idempotent);
  return it;
}

v1::PoolPlan ToProto(const PoolPlan& plan) {
  v1::PoolPlan it;
  it.set_pool_id(plan.pool.value());
  for (const ModelName& model : plan.loaded_models) {
    it.add_loaded_models(model.value());
  }
  for (const std::string& adapter : plan.loaded_adapters) {
    it.add_loaded_adapters(adapter);
  }
  it.set_version(plan.version);
  it.set_role(plan.role);
  return it;
}

Customer FromProto(const v1::Customer& customer) {
  return Customer{.id = CustomerId(customer.id()),
                  .display_name = customer.display_name(),
                  .suspended = customer.suspended(),
                  .weight = customer.weight() == 0 ? 1 : customer.weight()};
}

Budget FromProto(const v1::Budget& budget) {
  return Budget{.id = BudgetId(budget.id()),
                .customer = CustomerId(budget.customer_id()),
                .frozen = budget.frozen()};
}

Pool FromProto(const v1::Pool& pool) {
  Pool it{.id = PoolId(pool.id()),
          .kind = pool.kind() == v1::POOL_KIND_SERVICE ? PoolKind::kService
                                                       : PoolKind::kModel,
          .models = {},
          .path_prefix = pool.path_prefix(),
          .service_call_tokens = Tokens(pool.service_call_tokens())};
  for (const std::string& model : pool.models()) it.models.emplace_back(model);
  if (pool.max_in_flight_per_target() > 0) {
    it.max_in_flight_per_target = pool.max_in_flight_per_target();
  }
  if (pool.default_output_limit_tokens() > 0) {
    it.default_output_limit = pool.default_output_limit_tokens();
  }
  return it;
}

Target FromProto(const v1::Target& target) {
  return Target{
      .id = TargetId(target.id()),
      .pool = PoolId(target.pool_id()),
      .region = RegionId(target.region()),
      .zone = ZoneId(target.zone()),
      .endpoint = {target.host(), static_cast<std::uint16_t>(target.port())},
      .draining = target.draining(),
      .checks_fencing = target.checks_fencing()};
}

IdempotencyRule FromProto(const v1::IdempotencyRule& rule) {
  return IdempotencyRule{.id = rule.id(),
                         .pool = PoolId(rule.pool_id()),
                         .method = rule.method().empty() ? "*" : rule.method(),
                         .path_prefix = rule.path_prefix(),
                         .idempotent = rule.idempotent()};
}

PoolPlan FromProto(const v1::PoolPlan& plan) {
  PoolPlan it{.pool = PoolId(plan.pool_id()),
              .loaded_models = {},
              .loaded_adapters = {plan.loaded_adapters().begin(),
                                  plan.loaded_adapters().end()},
              .version = plan.version(),
              .role = plan.role().empty() ? "both" : plan.role()};
  for (const std::string& model : plan.loaded_models()) {
    it.loaded_models.emplace_back(model);
  }
  return it;
}

v1::Verdict ToProto(Verdict verdict) {
  switch (verdict) {
    case Verdict::kNotRun:
      return v1::VERDICT_NOT_RUN;
    case Verdict::kRan:
      return v1::VERDICT_RAN;
    case Verdict::kMayHaveRun:
      return v1::VERDICT_MAY_HAVE_RUN;
  }
  return v1::VERDICT_MAY_HAVE_RUN;
}

v1::BudgetStatus ToProto(const BudgetStatus& status) {
  v1::BudgetStatus it;
  it.set_topped_up_tokens(status.topped_up.value());
  it.set_granted_tokens(status.granted.value());
  it.set_settled_tokens(status.settled.value());
  it.set_written_off_tokens(status.written_off.value());
  it.set_ungranted_tokens((status.topped_up - status.granted).value());
  return it;
}

v1::TopUp ToProto(const AcceptedTopUp& top_up) {
  v1::TopUp it;
  it.set_order_id(top_up.order.value());
  it.set_tokens(top_up.amount.value());
  it.set_operator_name(top_up.operator_name);
  *it.mutable_accepted() = ToProto(top_up.accepted);
  return it;
}

v1::RolloutLine ToProto(const RolloutLine& entry) {
  v1::RolloutLine it;
  it.set_instance_id(entry.instance.value());
  it.set_zone(entry.zone.value());
  it.set_revision(entry.revision.value());
  *it.mutable_age() = ToProto(entry.age);
  return it;
}

v1::RequestRecord ToProto(const RequestRecord& record) {
  v1::RequestRecord it;
  it.set_request_id(record.request.value());
  it.set_customer_id(record.customer.value());
  it.set_budget_id(record.budget.value());
  it.set_pool_id(record.pool.value());
  it.set_model(record.model.value());
  it.set_target_id(record.target.value());
  it.set_instance_id(record.instance.value());
  it.set_zone(record.zone.value());
  it.set_verdict(ToProto(record.verdict));
  it.set_reason(std::string(ReasonName(record.reason)));
  it.set_prompt_tokens(record.prompt_tokens.value());
  it.set_output_tokens(record.output_tokens.value());
  it.set_billed_tokens(record.billed.value());
  it.set_attempts(static_cast<std::uint32_t>(record.attempts));
  *it.mutable_started() = ToProto(record.started);
  *it.mutable_finished() = ToProto(record.finished);
  return it;
}

v1::Claim ToProto(const ClaimInfo& claim) {
  v1::Claim it;
  it.set_customer_id(claim.customer.value());
  it.set_idempotency_key(claim.key.value());
  it.set_request_id(claim.request.value());
  it.set_holder(claim.holder.value());
  it.set_state(ToProto(claim.state));
  *it.mutable_claimed() = ToProto(claim.claimed);
  return it;
}

v1::Member ToProto(const Member& member, absl::Time now) {
  v1::Member it;
  it.set_instance_id(member.id.value());
  it.set_region(member.region.value());
  it.set_zone(member.zone.value());
  it.set_host(member.endpoint.host);
  it.set_port(member.endpoint.port);
  it.set_state(ToProto(member.state));
  it.set_revision(member.revision.value());
  *it.mutable_silence() = ToProto(now - member.last_received);
  return it;
}

}  // namespace wisteriareel
