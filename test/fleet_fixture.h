#ifndef WISTERIAREEL_TEST_FLEET_FIXTURE_H_
#define WISTERIAREEL_TEST_FLEET_FIXTURE_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "src/app/daemon.h"
#include "standin/model_engine.h"
#include "standin/plain_service.h"
#include "standin/platform_standin.h"
#include "wisteriareel/v1/operator.grpc.pb.h"

namespace wisteriareel {

// The answer that a caller got.
struct CallerResponse {
  // Zero if the connection broke before or within the answer.
  int status = 0;
  std::string body;
  std::string request_id;
};

// Runs daemons, the platform, two engines and a plain service in one process
// on free ports, with one customer "brewers" and its budget "dues".
class FleetFixture : public testing::Test {
 protected:
  FleetFixture();
  ~FleetFixture() override;

  static constexpr int kTopUpTokens = 100'000;

  void SetUp() override;
  void TearDown() override;

  // Starts one more daemon in `zone` and waits until it is ready.
  Daemon* StartDaemon(const std::string& zone);

  // Ends a daemon at once, as a crash would as far as its peers can tell.
  void Crash(Daemon* daemon);

  // Creates customer, budget, pools, targets, rules and key through `daemon`,
  // and waits until all daemons have them.
  void Configure(Daemon* daemon, int top_up_tokens = kTopUpTokens);

  CallerResponse Chat(const Daemon& daemon, const std::string& prompt,
                      int max_tokens, bool streamed,
                      const std::string& key = "");
  CallerResponse SubmitReturn(const Daemon& daemon,
                              const std::string& idempotency_key);

  // Returns the concatenated content of a streamed answer, or "" if it has no
  // end marker.
  static std::string StreamedText(const std::string& body);
  // Returns what the engines answer to `prompt` under a limit of `tokens`.
  static std::string ExpectedText(const std::string& prompt, int tokens);

  // Waits until `condition` holds; fails the test after half a minute.
  static void Await(const std::function<bool()>& condition, const char* what);

  std::unique_ptr<v1::OperatorService::Stub> OperatorStub(const Daemon& daemon);
  // Gives `context` the credential of an operator.
  static void Authorize(grpc::ClientContext* context);

  std::size_t daemon_count() const { return daemons_.size(); }

  PlatformStandin platform_;
  ModelEngine engine_a_{{}};
  ModelEngine engine_b_{{}};
  PlainService service_;
  std::string key_;

 private:
  Settings MakeSettings(const std::string& zone);
  void AddTarget(v1::OperatorService::Stub* stub, const std::string& id,
                 const std::string& pool, const std::string& zone, int port);

  // Keeps a port from being given to others until a daemon listens on it.
  class PortReservation;

  std::vector<std::unique_ptr<PortReservation>> ports_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  int started_ = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_TEST_FLEET_FIXTURE_H_
