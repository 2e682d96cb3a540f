// Connects the caller server directly to the target client, without routing,
// budgets or retries, to measure the cost of the HTTP edges alone. Usage:
//   edge_relay ENGINE_PORT
// Prints its port and runs until SIGTERM. The API key is "bench".
#include <pthread.h>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <memory>
#include <string_view>

#include "absl/strings/numbers.h"
#include "src/http/caller_server.h"
#include "src/http/http_target_client.h"
#include "src/security/digest.h"
#include "wisteriareel/config_immutable_snapshot.h"
#include "wisteriareel/config_published.h"

namespace wisteriareel {
namespace {

constexpr std::size_t kMaxConnections = 4096;

// Forwards a response while it arrives.
class RelaySink final : public ResponseSink {
 public:
  explicit RelaySink(ResponseWriter* writer) : writer_(writer) {}

  void OnHead(int status, std::string_view content_type) override {
    writer_->WriteHead(status, content_type);
  }
  bool OnData(std::uint64_t /*position*/, std::string_view bytes) override {
    return writer_->WriteData(bytes);
  }

 private:
  ResponseWriter* const writer_;
};

class Relay final : public RequestHandler {
 public:
  explicit Relay(Endpoint engine) : engine_(std::move(engine)) {}

  CallResult Handle(const CallerRequest& request,
                    ResponseWriter* writer) override {
    RelaySink sink(writer);
    const std::atomic<bool> cancelled{false};
    const TargetOutcome outcome =
        client_.Send({.request = request.id,
                      .endpoint = engine_,
                      .path = request.path,
                      .body = request.body,
                      .streamed = request.streamed,
                      .connect_timeout = absl::Seconds(5),
                      .progress_timeout = absl::Seconds(60)},
                     &sink, cancelled);
    if (outcome.complete) writer->Finish();
    return {.verdict = outcome.verdict, .reason = outcome.reason};
  }

 private:
  const Endpoint engine_;
  HttpTargetClient client_{HttpTargetClientOptions{
      .connections = {.max_idle_per_server = kMaxConnections}}};
};

int Run(int engine_port) {
  sigset_t termination_signals;
  sigemptyset(&termination_signals);
  sigaddset(&termination_signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &termination_signals, nullptr);
  PublishedConfig config;
  const ApiKey key{.hash = Sha256Hex("bench"), .customer = CustomerId("c")};
  config.Publish(
      ImmutableConfigSnapshot::Build(
          Revision(1),
          {{Customer{.id = CustomerId("c")}, Revision(1)}, {key, Revision(1)}}),
      ConfigOrigin::kPlatform);
  Relay relay({"127.0.0.1", static_cast<std::uint16_t>(engine_port)});
  const std::unique_ptr<RandomSource> random = MakeSystemRandom();
  CallerServerOptions options;
  options.listener.endpoint = {"127.0.0.1", 0};
  options.listener.limits.max_connections = kMaxConnections;
  CallerServer server(
      options, {.config = &config, .handler = &relay, .random = random.get()});
  LastReason reason;
  if (!server.Start(&reason)) return 1;
  std::printf("listening relay %d\n", server.port());
  std::fflush(stdout);
  int signal = 0;
  sigwait(&termination_signals, &signal);
  return 0;
}

}  // namespace
}  // namespace wisteriareel

int main(int argc, char** argv) {
  int port = 0;
  if (argc != 2 || !absl::SimpleAtoi(argv[1], &port)) return 2;
  return wisteriareel::Run(port);
}
