#include "budget_load.h"

#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <set>

#include "nlohmann/json.hpp"

namespace review {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kMaxCallers = 12;
constexpr char kTenant[] = "hule930";
constexpr char kKey[] = "n2ctnfzs989anu6wsjnb";
constexpr char kHost[] = "ficu95.example";
constexpr char kService[] = "huvo11a";

std::string Manifest(std::int64_t prepaid) {
  return json{{"version", 7},
              {"routes",
               {{{"name", "r-2yhvz3p"},
                 {"host", kHost},
                 {"prefix", "/lohu930/"},
                 {"kind", "streaming"},
                 {"timeout_ms", 8000},
                 {"target_latency_ms", 600},
                 {"priority", 0},
                 {"service", kService},
                 {"attempts", 2},
                 {"public", false},
                 {"sticky", true},
                 {"resumable", true},
                 {"gap_aim_ms", 250}}}},
              {"services",
               {{{"name", kService},
                 {"health_path", "/health"},
                 {"max_connections", 370},
                 {"protocol", "h1"},
                 {"tls", false},
                 {"engine",
                  {{"slots", 64},
                   {"kv_capacity", 400000},
                   {"stride", BudgetDeployment::kStride},
                   {"models", {{{"name", "m"}}}}}}}}},
              {"limits",
               {{"max_header_bytes", 16384},
                {"max_body_bytes", 4194304},
                {"header_timeout_ms", 3000},
                {"idle_timeout_ms", 15000}}},
              {"tenants",
               {{{"name", kTenant},
                 {"api_keys", {kKey}},
                 {"priority", 1},
                 {"prepaid", prepaid}}}}}
      .dump();
}

}  // namespace

BudgetDeployment::BudgetDeployment(std::int64_t prepaid, int routers,
                                   const std::string& record_path)
    : prepaid_(prepaid),
      folder_(MakeTemporaryFolder()),
      record_(record_path, std::ios::trunc) {
  const std::vector<std::string> zones = {"zone-a", "zone-b", "zone-c"};
  for (int n = 0; n < 2; ++n) {
    engines_.push_back(std::make_unique<Engine>(
        EngineOptions{.id = "i-" + std::to_string(n + 1),
                      .service = kService,
                      .zone = zones[static_cast<std::size_t>(n)],
                      .stride = kStride}));
    store_.WriteForeign("servers", engines_.back()->id(),
                        engines_.back()->Entry(1));
  }
  store_.WriteForeign("op", "config", Manifest(prepaid));
  std::vector<RouterOptions> options;
  std::vector<int> peers;
  for (int n = 0; n < routers; ++n) {
    const std::string& zone = zones[static_cast<std::size_t>(n) % zones.size()];
    options.push_back({.id = "front-" + zone + "-" + std::to_string(n + 1),
                       .zone = zone,
                       .store_port = store_.port(),
                       .callers_port = PickFreePort(),
                       .ready_port = PickFreePort(),
                       .peers_port = PickFreePort(),
                       .folder = folder_});
    peers.push_back(options.back().peers_port);
  }
  if (peers.size() > 3) peers.resize(3);
  for (RouterOptions& it : options) {
    it.seed_ports = peers;
    routers_.push_back(std::make_unique<Router>(it));
  }
  for (int n = 0; n < kMaxCallers; ++n) {
    callers_.emplace_back([this, n] { RunCaller(n); });
  }
}

BudgetDeployment::~BudgetDeployment() {
  if (!stopped_) Finish();
  if (std::getenv("KEEP") == nullptr) std::filesystem::remove_all(folder_);
}

bool BudgetDeployment::Start() {
  for (const auto& router : routers_) router->Start();
  return std::all_of(routers_.begin(), routers_.end(), [](const auto& router) {
    return router->WaitUntilReady(std::chrono::seconds(10));
  });
}

void BudgetDeployment::Record(const std::string& line) {
  const std::lock_guard lock(record_mutex_);
  record_ << NowMs() << " " << line << "\n" << std::flush;
}

void BudgetDeployment::RunCaller(int index) {
  std::size_t next = static_cast<std::size_t>(index);
  while (!stopped_) {
    if (index >= active_callers_) {
      Sleep(5);
      continue;
    }
    const Router& router = *routers_[next++ % routers_.size()];
    const std::string id = "q" + std::to_string(++next_id_);
    const std::string counts =
        std::to_string(kPromptTokens) + "," + std::to_string(kOutputTokens);
    const CallerReply reply =
        Call({.port = router.options().callers_port,
              .host = kHost,
              .target = "/lohu930/2f",
              .id = id,
              .api_key = kKey,
              .token_counts = counts,
              .prompt_prefix = "5c1e07a2:500,aa" + id + ":400",
              .body = "prompt"});
    Record("request " + id + " to " + router.options().id + " status " +
           std::to_string(reply.status) + " events " +
           std::to_string(reply.events) +
           (reply.complete ? " complete" : " incomplete"));
    refusals_in_row_ = reply.status == 402 ? refusals_in_row_ + 1 : 0;
    {
      const std::lock_guard lock(mutex_);
      delivered_[id] = reply.status == 200 ? reply.events : 0;
      ++statuses_[reply.status];
    }
    if (reply.status == 0) Sleep(50);
    // Callers keep to the time that they are told, up to a limit.
    if (reply.status == 503) {
      Sleep(std::min(1000, static_cast<int>(reply.retry_after_s * 1000)));
    }
    if (reply.status == 402) Sleep(20);
  }
}

bool BudgetDeployment::WaitUntilExhausted(int count,
                                          milliseconds timeout) const {
  const SteadyTime end = std::chrono::steady_clock::now() + timeout;
  while (std::chrono::steady_clock::now() < end) {
    if (refusals_in_row_ >= count) return true;
    Sleep(5);
  }
  return false;
}

bool BudgetDeployment::Restart(std::size_t index) {
  Router& router = *routers_[index];
  Record("SIGTERM to " + router.options().id);
  router.Signal(SIGTERM);
  router.WaitForEnd(std::chrono::seconds(8));
  Record("starting " + router.options().id);
  router.Start();
  return router.WaitUntilReady(std::chrono::seconds(10));
}

std::size_t BudgetDeployment::FindLeader() {
  std::size_t leader = 0;
  std::int64_t most = -1;
  for (std::size_t n = 0; n < routers_.size(); ++n) {
    const std::string row =
        store_.Read("budgets", kTenant, "holder/" + routers_[n]->options().id)
            .value_or("-1");
    if (std::atoll(row.c_str()) <= most) continue;
    most = std::atoll(row.c_str());
    leader = n;
  }
  return leader;
}

std::vector<std::size_t> BudgetDeployment::FindLargestReserves(int count) {
  std::vector<std::pair<long long, std::size_t>> found;
  for (std::size_t n = 0; n < routers_.size(); ++n) {
    const std::string row =
        store_.Read("budgets", kTenant, "holder/" + routers_[n]->options().id)
            .value_or("0 0 0");
    long long authorized = 0;
    if (std::sscanf(row.c_str(), "%*d %*d %lld", &authorized) != 1) continue;
    found.emplace_back(authorized, n);
  }
  std::sort(found.begin(), found.end());
  std::vector<std::size_t> indexes;
  for (std::size_t n = 0;
       n < std::min(static_cast<std::size_t>(count), found.size()); ++n) {
    indexes.push_back(found[n].second);
  }
  return indexes;
}

bool BudgetDeployment::WaitUntilHeldBy(int count, milliseconds timeout) {
  const SteadyTime end = std::chrono::steady_clock::now() + timeout;
  while (std::chrono::steady_clock::now() < end) {
    const auto holders = std::count_if(
        routers_.begin(), routers_.end(), [this](const auto& router) {
          return store_
              .Read("budgets", kTenant, "holder/" + router->options().id)
              .has_value();
        });
    if (holders >= count) return true;
    Sleep(100);
  }
  return false;
}

std::string BudgetDeployment::DescribeRows() {
  std::string text;
  const auto add = [this, &text](const std::string& key) {
    text += " " + key + "=[" +
            store_.Read("budgets", kTenant, key).value_or("") + "]";
  };
  add("pool");
  for (const auto& router : routers_) add("holder/" + router->options().id);
  return text;
}

std::int64_t BudgetDeployment::Finish() {
  stopped_ = true;
  for (std::thread& caller : callers_) caller.join();
  for (const auto& router : routers_) router->Kill();
  std::set<std::string> counted;
  std::int64_t consumed = 0;
  for (const auto& engine : engines_) {
    engine->Stop();
    for (const EngineRun& run : engine->Runs()) {
      Record("run " + run.request_id + " at " + run.engine + " tenant " +
             run.tenant + " at_ms " + std::to_string(run.at_ms) + " events " +
             std::to_string(run.events));
      if (run.tenant != kTenant || !counted.insert(run.request_id).second) {
        continue;
      }
      consumed += run.prompt_tokens +
                  std::min<std::int64_t>(kOutputTokens,
                                         delivered_[run.request_id] * kStride);
    }
  }
  for (const auto& [status, count] : statuses_) {
    Record("status " + std::to_string(status) + ": " + std::to_string(count));
  }
  Record("prepaid " + std::to_string(prepaid_) + " consumed " +
         std::to_string(consumed));
  return consumed;
}

}  // namespace review
