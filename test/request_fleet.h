#ifndef WISTERIAREEL_TEST_REQUEST_FLEET_H_
#define WISTERIAREEL_TEST_REQUEST_FLEET_H_

#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "src/request/claim_registry.h"
#include "src/request/request_service.h"
#include "src/routing/fleet_selector.h"
#include "standin/fakes/delayed_commit_table.h"
#include "standin/fakes/fake_budget_manager.h"
#include "standin/fakes/fake_target_client.h"
#include "standin/fakes/memory_object_store.h"
#include "standin/fakes/recording_writer.h"
#include "standin/fakes/static_config.h"
#include "standin/fakes/stepping_clock.h"
#include "wisteriareel/membership_view.h"
#include "wisteriareel/random_source.h"

namespace wisteriareel {

// A MembershipView whose states are set by the test.
class ScriptedMembership final : public MembershipView {
 public:
  void Set(const InstanceId& id, MemberState state) {
    for (Member& member : members_) {
      if (member.id != id) continue;
      member.state = state;
      return;
    }
    members_.push_back({.id = id, .state = state});
  }
  void SetLeaving(const TargetId& target) { leaving_ = target; }

  std::vector<Member> ZoneMembers() const override { return members_; }
  std::vector<Member> AllMembers() const override { return members_; }
  bool IsTargetLeaving(const TargetId& target) const override {
    return target == leaving_;
  }

 private:
  std::vector<Member> members_;
  TargetId leaving_;
};

// Returns a configuration with a pool "chat" (model "m") whose calls are
// idempotent, a pool "strict" (model "s") without an idempotency rule, and a
// service pool at "/records/" with idempotent lookups ("/records/get/").
inline std::shared_ptr<const ConfigSnapshot> MakeRequestConfig() {
  auto config = std::make_shared<StaticSnapshot>();
  config->Add(Customer{.id = CustomerId("c")});
  config->Add(Pool{.id = PoolId("chat"), .models = {ModelName("m")}});
  config->Add(Pool{.id = PoolId("strict"), .models = {ModelName("s")}});
  config->Add(Pool{.id = PoolId("records"),
                   .kind = PoolKind::kService,
                   .path_prefix = "/records/",
                   .service_call_tokens = Tokens(5)});
  config->Add(
      IdempotencyRule{.id = "r1", .pool = PoolId("chat"), .idempotent = true});
  config->Add(IdempotencyRule{.id = "r2",
                              .pool = PoolId("records"),
                              .path_prefix = "/records/get/",
                              .idempotent = true});
  for (const char* pool : {"chat", "strict", "records"}) {
    for (int i = 0; i < 3; ++i) {
      config->Add(Target{.id = TargetId(absl::StrCat(pool, i)),
                         .pool = PoolId(pool),
                         .zone = ZoneId("z1")});
    }
  }
  config->IndexTargets();
  return config;
}

inline CallerRequest ChatCall(const std::string& id, const std::string& model,
                              bool streamed) {
  return {.id = RequestId(id),
          .customer = CustomerId("c"),
          .budget = BudgetId("b"),
          .path = "/v1/chat/completions",
          .body = R"({"temperature":0,"messages":[]})",
          .model = ModelName(model),
          .streamed = streamed,
          .max_prompt_tokens = Tokens(50),
          .output_limit = 100};
}

inline CallerRequest ServiceCall(const std::string& id, const std::string& key,
                                 const std::string& path) {
  return {.id = RequestId(id),
          .kind = CallKind::kService,
          .customer = CustomerId("c"),
          .budget = BudgetId("b"),
          .path = path,
          .body = "{}",
          .idempotency_key = IdempotencyKey(key)};
}

// The request paths of several instances that share one set of fakes. Instances
// are numbered from zero; a replaced one gets a new id.
class RequestFleet {
 public:
  static constexpr Tokens kBalance = Tokens(1'000'000);

  explicit RequestFleet(int instances = 1) {
    for (int i = 0; i < instances; ++i) instances_.push_back(MakeInstance());
  }

  RequestService& service(int i = 0) { return instances_[i]->service; }
  ClaimRegistry& claims(int i = 0) { return instances_[i]->claims; }

  // Sends a request to an instance and records the response in `writer`.
  CallResult Call(const CallerRequest& request, int i = 0) {
    writer = RecordingWriter();
    return service(i).Handle(request, &writer);
  }

  // Marks an instance as dead and starts a new one without its state.
  void ReplaceInstance(int i) {
    membership.Set(instances_[i]->id, MemberState::kDead);
    instances_[i] = MakeInstance();
  }

  // Runs one step of the background work of each instance.
  void StepAll() {
    for (const auto& instance : instances_) instance->claims.Step();
  }

  SteppingClock clock;
  DelayedCommitTable table{&clock};
  MemoryObjectStore objects;
  ScriptedMembership membership;
  FakeTargetClient targets{FakeTargetOptions{}, &clock};
  FakeBudgetManager budget{kBalance};
  RecordingWriter writer;

 private:
  struct Instance {
    Instance(RequestFleet* fleet, const InstanceId& instance)
        : id(instance),
          selector({.instance = id,
                    .zone = ZoneId("z1"),
                    .config = &fleet->config_,
                    .membership = &fleet->membership,
                    .clock = &fleet->clock,
                    .random = fleet->random_.get()}),
          claims({.instance = id,
                  .table = &fleet->table,
                  .objects = &fleet->objects,
                  .membership = &fleet->membership,
                  .clock = &fleet->clock,
                  .max_inline_response_bytes = 64}),
          service({.instance = id,
                   .zone = ZoneId("z1"),
                   .config = &fleet->config_,
                   .budget = &fleet->budget,
                   .journal = &fleet->budget,
                   .targets = &fleet->targets,
                   .selector = &selector,
                   .claims = &claims,
                   .membership = &fleet->membership,
                   .clock = &fleet->clock,
                   .random = fleet->random_.get()}) {}

    const InstanceId id;
    FleetSelector selector;
    ClaimRegistry claims;
    RequestService service;
  };

  std::unique_ptr<Instance> MakeInstance() {
    const InstanceId id(absl::StrCat("i", ++instances_created_));
    membership.Set(id, MemberState::kAlive);
    return std::make_unique<Instance>(this, id);
  }

  StaticConfig config_{MakeRequestConfig()};
  std::unique_ptr<RandomSource> random_ = MakeSeededRandom(1);
  std::vector<std::unique_ptr<Instance>> instances_;
  int instances_created_ = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_TEST_REQUEST_FLEET_H_
