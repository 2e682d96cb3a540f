#ifndef WISTERIAREEL_TEST_ROUTER_DAEMON_FIXTURE_H_
#define WISTERIAREEL_TEST_ROUTER_DAEMON_FIXTURE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "boost/asio/io_context.hpp"
#include "boost/asio/ip/tcp.hpp"
#include "boost/asio/post.hpp"
#include "boost/asio/steady_timer.hpp"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "platform/message_codec.h"
#include "src/router/router_daemon.h"
#include "test/raw_connection.h"
#include "test/scripted_target.h"

namespace wisteriareel {

// Returns a loopback port that was free when it was checked.
inline std::uint16_t FreePort() {
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor(
      io, {boost::asio::ip::address_v4::loopback(), 0});
  return acceptor.local_endpoint().port();
}

// In-memory table without failures; all calls run on the daemon's thread.
class InMemoryTable final : public AsyncTable {
 public:
  explicit InMemoryTable(boost::asio::io_context* io) : io_(io) {}

  std::optional<TableContact> LastCommitContact() const override {
    return LastContact();
  }
  std::uint64_t Era() const override { return 0; }
  std::optional<TableContact> LastContact() const override {
    const absl::Time now = SystemClock()->Now();
    return TableContact{
        .platform_ms = 1 + absl::ToInt64Milliseconds(now - start_),
        .sent = now,
        .received = now};
  }
  void Commit(const PartitionTransaction& transaction,
              CommitDone done) override {
    CommitReply reply{.outcome = CommitOutcome::kCommitted};
    for (const PartitionRowCondition& condition : transaction.conditions) {
      const auto it = rows_.find(condition.key);
      const TableVersion version =
          it == rows_.end() ? TableVersion{} : it->second.version;
      if (it != rows_.end()) reply.current.push_back(it->second);
      if (version != condition.version)
        reply.outcome = CommitOutcome::kConflict;
    }
    if (reply.outcome == CommitOutcome::kCommitted) {
      reply.version = {.number = ++version_};
      for (const PartitionRowWrite& write : transaction.writes) {
        rows_[write.key] = {.key = write.key,
                            .value = write.value.value_or(""),
                            .version = {.number = version_}};
      }
      for (auto& poll : std::exchange(polls_, {})) poll();
    }
    boost::asio::post(*io_, [done = std::move(done), reply] { done(reply); });
  }
  void Read(const std::string& table, const std::string& /*partition*/,
            ReadDone done) override {
    RowsReply reply{.version = {.number = version_}};
    for (const auto& [key, row] : rows_) {
      if (key.table == table) reply.rows.push_back(row);
    }
    boost::asio::post(
        *io_, [done = std::move(done), reply] { done(reply, LastReason()); });
  }
  void PollChanges(const std::string& table, const TableVersion& version,
                   absl::Duration /*wait*/, PollDone done) override {
    RowsReply changes{.version = {.number = version_}};
    for (const auto& [key, row] : rows_) {
      if (key.table == table && row.version > version) {
        changes.rows.push_back(row);
      }
    }
    if (changes.rows.empty()) {
      polls_.push_back(
          [this, table, version, done = std::move(done)]() mutable {
            PollChanges(table, version, absl::ZeroDuration(), std::move(done));
          });
      return;
    }
    boost::asio::post(*io_, [done = std::move(done), changes] {
      done({.outcome = PollOutcome::kChanges, .changes = changes},
           LastReason());
    });
  }

 private:
  boost::asio::io_context* const io_;
  const absl::Time start_ = SystemClock()->Now();
  // Polls without a change so far.
  std::vector<std::function<void()>> polls_;
  std::uint64_t version_ = 0;
  std::map<PartitionRowKey, PartitionRow> rows_;
};

// Source with a constant configuration and constant targets.
class FixedSource final : public DeploymentSource {
 public:
  FixedSource(boost::asio::io_context* io, RouteConfig config,
              std::vector<TargetEntry> targets)
      : io_(io), config_(std::move(config)), targets_(std::move(targets)) {}

  void ReadConfig(ConfigDone done) override {
    const PositionedConfig reading{
        .config =
            ParsedConfig{.table = std::make_shared<const RouteTable>(config_),
                         .text = std::make_shared<const std::string>("1")}};
    boost::asio::post(*io_,
                      [done = std::move(done), reading] { done(reading); });
  }
  void PollConfig(const TableVersion& /*position*/, absl::Duration wait,
                  ConfigPollDone done) override {
    const auto timer = std::make_shared<boost::asio::steady_timer>(
        *io_, absl::ToChronoMilliseconds(wait));
    timer->async_wait(
        [timer, done = std::move(done)](boost::system::error_code ec) {
          if (!ec) done({.outcome = ConfigPollResult::Outcome::kRead});
        });
  }
  void ListTargets(TargetsDone done) override {
    boost::asio::post(*io_, [this, done = std::move(done)] { done(targets_); });
  }
  std::optional<ParsedConfig> ParseConfig(
      const std::string& /*text*/, LastReason* /*reason*/) const override {
    return std::nullopt;
  }

 private:
  boost::asio::io_context* const io_;
  const RouteConfig config_;
  const std::vector<TargetEntry> targets_;
};

// Load source that reports no load for any target.
class NoLoadSource final : public TargetLoadSource {
 public:
  explicit NoLoadSource(boost::asio::io_context* io) : io_(io) {}

  void ReadLoad(const TargetEntry& /*target*/, absl::Duration /*timeout*/,
                Done done) override {
    boost::asio::post(*io_, [done = std::move(done)] { done(std::nullopt); });
  }

 private:
  boost::asio::io_context* const io_;
};

class RouterDaemonTest : public ::testing::Test {
 protected:
  static constexpr int kMaxStarts = 5;

  static RouteConfig MakeConfig(RouteKind kind) {
    return {.revision = Revision(1),
            .routes = {{.name = "r",
                        .host = "h.example",
                        .prefix = "/a/",
                        .kind = kind,
                        .timeout = absl::Seconds(20),
                        .objective = absl::Seconds(10),
                        .pause_objective = absl::Seconds(10),
                        .services = {{.service = ServiceId("s")}}}},
            .services = {{.id = ServiceId("s")}},
            .customers = {{.id = CustomerId("c"), .api_keys = {"key"}}}};
  }

  static TargetEntry MakeTarget(const std::string& id, std::uint16_t port) {
    return {.id = TargetId(id),
            .service = ServiceId("s"),
            .address = {.host = "127.0.0.1", .port = port},
            .zone = ZoneId("a")};
  }

  void Start(std::uint16_t target_port, RouteKind kind) {
    StartInstances(1, MakeConfig(kind), {MakeTarget("t", target_port)});
  }

  // Starts an instance at ports that are free. Returns false with a reason if
  // one isn't free any more.
  bool StartInstance(RouterSettings* settings, LastReason* reason) {
    settings->listen.callers = {.host = "127.0.0.1", .port = FreePort()};
    settings->listen.ready = {.host = "127.0.0.1", .port = FreePort()};
    settings->listen.peers = {.host = "127.0.0.1", .port = FreePort()};
    auto daemon = std::make_unique<RouterDaemon>(
        *settings,
        RouterDependencies{.codec = &codec_,
                           .table = &table_,
                           .source = source_.get(),
                           .loads = &loads_},
        &io_, log_, [] {});
    if (!daemon->Start(reason)) return false;
    daemons_.push_back(std::move(daemon));
    return true;
  }

  // Starts `count` instances on one thread. `settings_` are those of the first.
  void StartInstances(int count, const RouteConfig& config,
                      const std::vector<TargetEntry>& targets) {
    source_ = std::make_unique<FixedSource>(&io_, config, targets);
    for (int n = 0; n < count; ++n) {
      RouterSettings settings;
      settings.instance = {
          .id = InstanceId(n == 0 ? "i" : absl::StrCat("i", n)),
          .zone = ZoneId("a")};
      settings.shutdown_grace = shutdown_grace_;
      settings.machine = machine_;
      LastReason reason;
      // Another process may take a port after it was checked.
      bool started = false;
      for (int tries = 0; !started && tries < kMaxStarts; ++tries) {
        started = StartInstance(&settings, &reason);
      }
      ASSERT_TRUE(started) << reason.detail();
      if (n == 0) settings_ = settings;
      caller_ports_.push_back(settings.listen.callers.port);
      ready_ports_.push_back(settings.listen.ready.port);
    }
    thread_ = std::thread([this] { daemons_.front()->Run(); });
    // Ready once configuration and targets are known.
    for (const std::uint16_t port : ready_ports_) {
      while (!absl::StartsWith(SendRequestLine(port, "GET /ready"),
                               "HTTP/1.1 200")) {
      }
    }
  }

  std::uint16_t CallerPort(int instance) const {
    return caller_ports_[static_cast<std::size_t>(instance)];
  }

  void TearDown() override {
    io_.stop();
    if (thread_.joinable()) thread_.join();
  }

  static std::string SendRequestLine(std::uint16_t port,
                                     const std::string& line) {
    RawConnection connection(port);
    connection.Send(absl::StrCat(
        line, " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"));
    return connection.ReadAll();
  }

  static std::string Request(const std::string& id,
                             const std::string& more = "") {
    return absl::StrCat(
        "POST /a/x HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key\r\n"
        "Wisteriareel-Request-Id: ",
        id, "\r\n", more, "Content-Length: 2\r\n\r\nhi");
  }

  boost::asio::io_context io_;
  InMemoryTable table_{&io_};
  const platform::MessageCodec codec_{};
  std::unique_ptr<FixedSource> source_;
  // Set before the instances are started.
  absl::Duration shutdown_grace_ = RouterSettings().shutdown_grace;
  RouterMachineSettings machine_;
  EventLog* log_ = DiscardEvents();
  RouterSettings settings_;
  NoLoadSource loads_{&io_};
  std::vector<std::unique_ptr<RouterDaemon>> daemons_;
  std::vector<std::uint16_t> caller_ports_;
  std::vector<std::uint16_t> ready_ports_;
  std::thread thread_;
};

inline std::string CompleteResponse(const std::string& id,
                                    const std::string& body) {
  return absl::StrCat("HTTP/1.1 200 OK\r\nWisteriareel-Request-Id: ", id,
                      "\r\nWisteriareel-Response-Seal: s\r\nContent-Length: ",
                      body.size(), "\r\n\r\n", body);
}

}  // namespace wisteriareel

#endif  // WISTERIAREEL_TEST_ROUTER_DAEMON_FIXTURE_H_
