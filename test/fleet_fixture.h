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

// Response that a caller received.
struct CallerResponse {
  // 0 if the connection broke before the response was complete.
  int status = 0;
  std::string body;
  std::string request_id;
};

// Runs daemons and the stand-ins of the platform, of two model engines and of a
// plain service in one process on free ports. Configure sets up the customer
// "brewers" with the budget "dues".
class FleetFixture : public testing::Test {
 protected:
  FleetFixture();
  ~FleetFixture() override;

  static constexpr int kTopUpTokens = 100'000;

  void SetUp() override;
  void TearDown() override;

  // Starts another daemon in `zone` and waits until it is ready.
  Daemon* StartDaemon(const std::string& zone);

  // Destroys a daemon without a shutdown. Its peers can't tell this from a
  // crash.
  void Crash(Daemon* daemon);

  // Creates the customer, budget, pools, targets and key through `daemon`, and
  // waits until all daemons use this configuration.
  void Configure(Daemon* daemon, int top_up_tokens = kTopUpTokens);

  CallerResponse Chat(const Daemon& daemon, const std::string& prompt,
                      int max_tokens, bool streamed,
                      const std::string& key = "");
  // Sends a request without an idempotency rule to the plain service.
  CallerResponse SubmitReturn(const Daemon& daemon,
                              const std::string& idempotency_key);

  // Returns the concatenated content of a streamed response, or "" if it has no
  // end marker.
  static std::string StreamedText(const std::string& body);
  // Returns the engines' response to `prompt` with a limit of `tokens`.
  static std::string ExpectedText(const std::string& prompt, int tokens);

  // Polls until `condition` holds; fails the test after 30 seconds.
  static void Await(const std::function<bool()>& condition, const char* what);

  std::unique_ptr<v1::OperatorService::Stub> OperatorStub(const Daemon& daemon);
  // Adds an operator's credential to `context`.
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

  // Reserves a port until a daemon listens on it.
  class PortReservation;

  std::vector<std::unique_ptr<PortReservation>> ports_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  int started_ = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_TEST_FLEET_FIXTURE_H_
