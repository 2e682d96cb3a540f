#ifndef WISTERIAREEL_TEST_REQUEST_WORLD_H_
#define WISTERIAREEL_TEST_REQUEST_WORLD_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "src/request/request_service.h"
#include "src/routing/fleet_selector.h"
#include "standin/fakes/counting_gate.h"
#include "standin/fakes/fake_target_client.h"
#include "standin/fakes/recording_writer.h"
#include "standin/fakes/static_config.h"
#include "standin/fakes/stepping_clock.h"
#include "wisteriareel/random_source.h"

namespace wisteriareel {

// One instance's request path on fakes: a model pool "chat" (model "m") whose
// generation is idempotent, one ("strict", model "s") without a rule, and a
// service pool at "/records/" with idempotent lookups ("/records/get/").
class RequestWorld {
 public:
  static constexpr int kTargetsPerPool = 3;

  explicit RequestWorld(ClaimKeeper* claims = nullptr,
                        FakeTargetClient* targets = nullptr)
      : own_targets_(FakeTargetOptions{}, &clock),
        targets_(targets != nullptr ? targets : &own_targets_),
        config_(MakeConfig()),
        selector_({.instance = InstanceId("i1"),
                   .zone = ZoneId("z1"),
                   .config = &config_,
                   .random = random.get()}),
        service(MakeOptions(claims)) {}

  // Sends a request and keeps what its caller was given.
  CallResult Call(const CallerRequest& request) {
    writer = RecordingWriter();
    return service.Handle(request, &writer);
  }

  static CallerRequest Chat(const std::string& id, const std::string& model,
                            bool streamed) {
    return {.id = RequestId(id),
            .customer = CustomerId("c"),
            .budget = BudgetId("b"),
            .path = "/v1/chat/completions",
            .body = R"({"temperature":0,"messages":[]})",
            .model = ModelName(model),
            .streamed = streamed,
            .prompt_bound = Tokens(50),
            .output_limit = 100};
  }

  static CallerRequest Service(const std::string& id, const std::string& key,
                               const std::string& path) {
    return {.id = RequestId(id),
            .kind = CallKind::kService,
            .customer = CustomerId("c"),
            .budget = BudgetId("b"),
            .path = path,
            .body = "{}",
            .idempotency_key = IdempotencyKey(key)};
  }

  FakeTargetClient& targets() { return *targets_; }

  SteppingClock clock;
  std::unique_ptr<RandomSource> random = MakeSeededRandom(1);
  CountingGate gate{Tokens(1'000'000)};
  RecordingWriter writer;

 private:
  static std::shared_ptr<const ConfigSnapshot> MakeConfig() {
    auto config = std::make_shared<StaticSnapshot>();
    config->Add(Customer{.id = CustomerId("c")});
    config->Add(Pool{.id = PoolId("chat"), .models = {ModelName("m")}});
    config->Add(Pool{.id = PoolId("strict"), .models = {ModelName("s")}});
    config->Add(Pool{.id = PoolId("records"),
                     .kind = PoolKind::kService,
                     .path_prefix = "/records/",
                     .service_call_tokens = Tokens(5)});
    config->Add(IdempotencyRule{
        .id = "r1", .pool = PoolId("chat"), .idempotent = true});
    config->Add(IdempotencyRule{.id = "r2",
                                .pool = PoolId("records"),
                                .path_prefix = "/records/get/",
                                .idempotent = true});
    for (const char* pool : {"chat", "strict", "records"}) {
      for (int i = 0; i < kTargetsPerPool; ++i) {
        config->Add(Target{.id = TargetId(absl::StrCat(pool, i)),
                           .pool = PoolId(pool),
                           .zone = ZoneId("z1")});
      }
    }
    config->Seal();
    return config;
  }

  RequestServiceOptions MakeOptions(ClaimKeeper* claims) {
    return {.instance = InstanceId("i1"),
            .zone = ZoneId("z1"),
            .config = &config_,
            .budget = &gate,
            .journal = &gate,
            .targets = targets_,
            .selector = &selector_,
            .claims = claims,
            .clock = &clock,
            .random = random.get()};
  }

  FakeTargetClient own_targets_;
  FakeTargetClient* const targets_;
  StaticConfig config_;
  FleetSelector selector_;

 public:
  RequestService service;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_TEST_REQUEST_WORLD_H_
