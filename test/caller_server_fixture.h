#ifndef WISTERIAREEL_TEST_CALLER_SERVER_FIXTURE_H_
#define WISTERIAREEL_TEST_CALLER_SERVER_FIXTURE_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "src/http/caller_server.h"
#include "src/security/digest.h"
#include "test/raw_connection.h"
#include "wisteriareel/config_immutable_snapshot.h"
#include "wisteriareel/config_published.h"

namespace wisteriareel {

inline constexpr char kChatBody[] =
    R"({"model":"m","messages":[{"role":"user","content":"hi"}]})";
inline constexpr char kStreamBody[] =
    R"({"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]})";

// Counts the requests that reach it and responds with `respond`.
class RecordingHandler final : public RequestHandler {
 public:
  CallResult Handle(const CallerRequest& request,
                    ResponseWriter* writer) override {
    ++calls;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      last_ = request;
    }
    return respond(writer);
  }

  CallerRequest Last() {
    std::lock_guard<std::mutex> lock(mutex_);
    return last_;
  }

  static CallResult RespondCompletely(ResponseWriter* writer) {
    writer->WriteHead(200, "application/json");
    writer->WriteData("{\"whole\":true}");
    writer->Finish();
    return {.verdict = Verdict::kRan};
  }

  std::atomic<int> calls{0};
  std::function<CallResult(ResponseWriter*)> respond = RespondCompletely;

 private:
  std::mutex mutex_;
  CallerRequest last_;
};

// Runs a CallerServer with a RecordingHandler and a small configuration.
class CallerServerTest : public testing::Test {
 protected:
  CallerServerTest() {
    const auto key = [](const char* secret, const char* customer,
                        bool revoked) {
      return VersionedEntry{ApiKey{.hash = Sha256Hex(secret),
                                   .customer = CustomerId(customer),
                                   .budget = BudgetId("b"),
                                   .revoked = revoked},
                            Revision(1)};
    };
    config_.Publish(
        ImmutableConfigSnapshot::Build(
            Revision(1),
            {{Customer{.id = CustomerId("c")}, Revision(1)},
             {Customer{.id = CustomerId("s"), .suspended = true}, Revision(1)},
             key("good", "c", false),
             key("old", "c", true),
             key("idle", "s", false)}),
        ConfigOrigin::kPlatform);
    options_.listener.endpoint = {"127.0.0.1", 0};
  }

  void Start() {
    server_ = std::make_unique<CallerServer>(
        options_,
        CallerServerDependencies{.config = &config_,
                                 .handler = &handler_,
                                 .random = random_.get(),
                                 .ready = [this] { return ready_.load(); },
                                 .metrics = [] { return "m 1\n"; }});
    LastReason reason;
    ASSERT_TRUE(server_->Start(&reason)) << reason.detail();
  }

  static std::string Post(const std::string& path, const std::string& body,
                          const std::string& headers = "",
                          const std::string& key = "good") {
    return absl::StrCat("POST ", path, " HTTP/1.1\r\nHost: h\r\n",
                        "Authorization: Bearer ", key, "\r\n", headers,
                        "Content-Length: ", body.size(), "\r\n\r\n", body);
  }
  static std::string Chat(const std::string& body,
                          const std::string& headers = "") {
    return Post("/v1/chat/completions", body, headers);
  }

  // Sends `request` on a new connection and returns everything received until
  // the server closes it.
  std::string Exchange(const std::string& request) {
    RawConnection connection(server_->port());
    EXPECT_TRUE(connection.connected());
    connection.Send(request);
    return connection.ReadAll();
  }

  CallerServerOptions options_ = [] {
    CallerServerOptions options;
    options.listener.limits.keep_alive = absl::Milliseconds(100);
    return options;
  }();
  PublishedConfig config_;
  RecordingHandler handler_;
  std::unique_ptr<RandomSource> random_ = MakeSeededRandom(1);
  std::atomic<bool> ready_{true};
  std::unique_ptr<CallerServer> server_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_TEST_CALLER_SERVER_FIXTURE_H_
