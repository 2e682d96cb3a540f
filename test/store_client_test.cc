#include "platform/store_client.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "boost/asio/io_context.hpp"
#include "boost/asio/ip/tcp.hpp"
#include "boost/asio/read_until.hpp"
#include "boost/asio/write.hpp"
#include "gtest/gtest.h"
#include "wisteriareel/event_log.h"

namespace wisteriareel::platform {
namespace {

namespace asio = boost::asio;

constexpr int kConflictStatus = 412;
const PartitionRowKey kKey{.table = "t", .partition = "p", .key = "k"};

// Answers each connection's request with the next response, on the thread of
// the client.
class ScriptedStore {
 public:
  explicit ScriptedStore(asio::io_context* io)
      : acceptor_(*io, {asio::ip::address_v4::loopback(), 0}) {
    Accept();
  }

  Endpoint endpoint() const {
    return {.host = "127.0.0.1", .port = acceptor_.local_endpoint().port()};
  }

  // `era` is the value of the header; unset if the response has none.
  void Respond(int status, const std::optional<std::string>& era,
               const std::string& body) {
    responses_.push_back(absl::StrCat(
        "HTTP/1.1 ", status,
        " x\r\nConnection: close\r\nContent-Length: ", body.size(),
        era.has_value() ? absl::StrCat("\r\nStore-Era: ", *era) : "",
        "\r\n\r\n", body));
  }

  const std::string& last_request() const { return last_request_; }

 private:
  struct Connection {
    explicit Connection(asio::ip::tcp::socket accepted)
        : socket(std::move(accepted)) {}
    asio::ip::tcp::socket socket;
    std::string request;
    std::string response;
  };

  void Accept() {
    acceptor_.async_accept(
        [this](boost::system::error_code ec, asio::ip::tcp::socket socket) {
          if (ec) return;
          Serve(std::make_shared<Connection>(std::move(socket)));
          Accept();
        });
  }

  void Serve(const std::shared_ptr<Connection>& connection) {
    asio::async_read_until(
        connection->socket, asio::dynamic_buffer(connection->request),
        "\r\n\r\n",
        [this, connection](boost::system::error_code ec, std::size_t) {
          if (ec || responses_.empty()) return;
          last_request_ = connection->request;
          connection->response = std::move(responses_.front());
          responses_.pop_front();
          asio::async_write(
              connection->socket, asio::buffer(connection->response),
              [connection](boost::system::error_code, std::size_t) {});
        });
  }

  asio::ip::tcp::acceptor acceptor_;
  std::deque<std::string> responses_;
  std::string last_request_;
};

class StoreClientTest : public ::testing::Test {
 protected:
  template <typename Result>
  Result RunUntil(std::optional<Result>* result) {
    while (!result->has_value()) io_.run_one();
    return **result;
  }

  CommitReply Commit(const TableVersion& version) {
    std::optional<CommitReply> result;
    client_.Commit({.conditions = {{.key = kKey, .version = version}},
                    .writes = {{.key = kKey, .value = "v"}}},
                   [&result](const CommitReply& reply) { result = reply; });
    return RunUntil(&result);
  }

  PollReply Poll(const TableVersion& version) {
    std::optional<PollReply> result;
    client_.PollChanges("t", version, absl::ZeroDuration(),
                        [&result](const PollReply& reply, const LastReason&) {
                          result = reply;
                        });
    return RunUntil(&result);
  }

  asio::io_context io_;
  ScriptedStore store_{&io_};
  StoreClient client_{&io_, store_.endpoint(), DiscardEvents()};
};

TEST_F(StoreClientTest, WithoutEraTheVersionIsItsNumber) {
  store_.Respond(200, std::nullopt, R"({"ver":9})");
  const CommitReply reply = Commit({});
  EXPECT_EQ(reply.outcome, CommitOutcome::kCommitted);
  EXPECT_EQ(reply.version, TableVersion{.number = 9});
  EXPECT_EQ(client_.Era(), 0U);
}

TEST_F(StoreClientTest, TheFirstResponseStatesTheEraOfItsCommit) {
  store_.Respond(200, "4", R"({"ver":9})");
  const CommitReply reply = Commit({});
  EXPECT_EQ(reply.outcome, CommitOutcome::kCommitted);
  EXPECT_EQ(reply.version, (TableVersion{.era = client_.Era(), .number = 9}));
  EXPECT_GT(client_.Era(), 0U);
}

// Whether the commit is in the restored copy isn't known.
TEST_F(StoreClientTest, ACommitThatIsAnsweredInALaterEraIsInDoubt) {
  store_.Respond(200, "4", R"({"ver":9})");
  const TableVersion version = Commit({}).version;
  for (const char* later : {"5", "8"}) {
    store_.Respond(200, later, R"({"ver":10})");
    EXPECT_EQ(Commit(version).outcome, CommitOutcome::kUnknown) << later;
    EXPECT_GT(client_.Era(), version.era);
  }
}

TEST_F(StoreClientTest, AConflictOfALaterEraReturnsItsRows) {
  store_.Respond(200, "4", R"({"ver":9})");
  const TableVersion version = Commit({}).version;
  store_.Respond(
      kConflictStatus, "5",
      R"({"rows":[{"table":"t","part":"p","key":"k","value":"dg==","ver":9}]})");
  const CommitReply reply = Commit(version);
  EXPECT_EQ(reply.outcome, CommitOutcome::kConflict);
  ASSERT_EQ(reply.current.size(), 1U);
  EXPECT_NE(reply.current[0].version, version);
  EXPECT_EQ(reply.era, client_.Era());
}

TEST_F(StoreClientTest, AResponseOfAnEarlierOrUnreadableEraIsNotUsed) {
  store_.Respond(200, "4", R"({"ver":9})");
  const TableVersion version = Commit({}).version;
  for (const char* era : {"3", "x", ""}) {
    store_.Respond(200, era, R"({"ver":10})");
    EXPECT_EQ(Commit(version).outcome, CommitOutcome::kUnknown) << era;
    EXPECT_EQ(client_.Era(), version.era);
    store_.Respond(200, era, R"({"rows":[],"ver":10})");
    EXPECT_EQ(Poll(version).outcome, PollOutcome::kFailed) << era;
  }
}

// Versions are given out again: changes would be passed over.
TEST_F(StoreClientTest, APollFromAnEarlierEraReadsTheRowsAgain) {
  store_.Respond(200, "4", R"({"ver":9})");
  const TableVersion version = Commit({}).version;
  store_.Respond(200, "5", R"({"rows":[],"ver":20})");
  EXPECT_EQ(Poll(version).outcome, PollOutcome::kHistoryLost);
}

}  // namespace
}  // namespace wisteriareel::platform
