#include "standin/platform_standin.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "src/platform/platform_codec.h"
#include "wisteriareel/clock.h"

namespace wisteriareel {
namespace {

using nlohmann::json;

constexpr int kMaxRowsPerScan = 10'000;
constexpr std::size_t kMaxListVersions = 256;

json DefaultFaults() {
  return {
      // Outages refuse every call with status 503 if not zero.
      {"table_outage", 0},
      // Delay of every table call, in milliseconds.
      {"table_slow_ms", 0},
      // Number of next commits that are applied but get no response.
      {"table_lose_replies", 0},
      // Number of next commits that are neither applied nor responded to.
      {"table_lose_requests", 0},
      // Number of commits by which scans lag behind.
      {"table_scan_lag_commits", 0},
      // Calls per second, above which calls are refused. Zero is no limit.
      {"table_writes_per_second", 0},
      {"table_reads_per_second", 0},
      {"objects_outage", 0},
      {"objects_slow_ms", 0},
      {"objects_lose_replies", 0},
      {"instances_outage", 0},
      // Lag of the instance list behind its changes, in milliseconds.
      {"instances_lag_ms", 0},
  };
}

int StatusFor(CommitOutcome outcome) {
  if (outcome == CommitOutcome::kRejected) return 503;
  return outcome == CommitOutcome::kConflict ? 409 : 200;
}

void SetOutcomeResponse(int status, CommitOutcome outcome,
                        HttpExchange* exchange, httplib::Response* response) {
  if (outcome == CommitOutcome::kUnknown) {
    CloseWithoutResponse(exchange);
    return;
  }
  response->status = status;
  response->set_content(EncodeOutcome(outcome), "application/json");
}

void SetRowsResponse(const std::optional<std::vector<Row>>& rows,
                     httplib::Response* response) {
  if (!rows) {
    SetJsonResponse(503, {{"error", "outage"}}, response);
    return;
  }
  response->set_content(EncodeRows(*rows).value_or("{}"), "application/json");
}

std::string HexParam(const httplib::Request& request, const char* name) {
  const std::string hex = request.get_param_value(name);
  const bool valid =
      hex.size() % 2 == 0 &&
      hex.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
  return valid ? absl::HexStringToBytes(hex) : "";
}

}  // namespace

bool CallRateLimiter::TryAcquire(std::int64_t calls_per_second) {
  if (calls_per_second <= 0) return true;
  std::lock_guard<std::mutex> lock(mutex_);
  const absl::Time now = SystemClock()->Now();
  if (now - second_start_ >= absl::Seconds(1)) {
    second_start_ = now;
    acquired_ = 0;
  }
  if (acquired_ >= calls_per_second) return false;
  ++acquired_;
  return true;
}

PlatformStandin::PlatformStandin() : StandinListener(DefaultFaults()) {
  list_versions_.push_back({absl::InfinitePast(), {}});
}

PlatformStandin::~PlatformStandin() { StopListening(); }

void PlatformStandin::OnFaultsChanged(const json& faults) {
  table_.SetFaults(
      {.outage = faults.at("table_outage").get<int>() != 0,
       .lose_replies = faults.at("table_lose_replies").get<int>(),
       .lose_requests = faults.at("table_lose_requests").get<int>(),
       .scan_lag_commits = faults.at("table_scan_lag_commits").get<int>()});
  objects_.SetFaults(
      {.outage = faults.at("objects_outage").get<int>() != 0,
       .lose_replies = faults.at("objects_lose_replies").get<int>()});
}

void PlatformStandin::HandleRequest(const httplib::Request& request,
                                    HttpExchange* exchange,
                                    httplib::Response* response) {
  const std::string& path = exchange->path;
  if (absl::StartsWith(path, "/table/")) {
    HandleTableCall(request, exchange, response);
  } else if (absl::StartsWith(path, "/objects")) {
    HandleObjectCall(request, exchange, response);
  } else if (path == "/instances") {
    HandleInstanceCall(request, response);
  } else if (path == "/stats") {
    SetJsonResponse(200,
                    {{"commits", table_.commits()}, {"reads", table_.reads()}},
                    response);
  } else {
    SetJsonResponse(404, {{"error", "no such path"}}, response);
  }
}

void PlatformStandin::HandleTableCall(const httplib::Request& request,
                                      HttpExchange* exchange,
                                      httplib::Response* response) {
  Delay("table_slow_ms");
  if (exchange->path == "/table/commit") {
    HandleCommit(request, exchange, response);
    return;
  }
  if (!table_reads_.TryAcquire(FaultValue("table_reads_per_second"))) {
    SetJsonResponse(429, {{"error", "too many reads"}}, response);
    return;
  }
  LastReason reason;
  if (exchange->path == "/table/read") {
    const auto keys = DecodeKeys(request.body);
    if (keys) {
      SetRowsResponse(table_.Read(*keys, absl::ZeroDuration(), &reason),
                      response);
      return;
    }
  }
  if (exchange->path == "/table/scan") {
    const auto call = DecodeScan(request.body);
    if (call) {
      const int limit = std::min(call->limit, kMaxRowsPerScan);
      SetRowsResponse(table_.Scan(call->table, call->after, limit,
                                  absl::ZeroDuration(), &reason),
                      response);
      return;
    }
  }
  SetJsonResponse(400, {{"error", "bad call"}}, response);
}

void PlatformStandin::HandleCommit(const httplib::Request& request,
                                   HttpExchange* exchange,
                                   httplib::Response* response) {
  const auto transaction = DecodeTransaction(request.body);
  if (!transaction) {
    SetOutcomeResponse(400, CommitOutcome::kRejected, exchange, response);
    return;
  }
  if (!table_writes_.TryAcquire(FaultValue("table_writes_per_second"))) {
    SetOutcomeResponse(429, CommitOutcome::kRejected, exchange, response);
    return;
  }
  const CommitOutcome outcome =
      table_.Commit(*transaction, absl::ZeroDuration());
  SetOutcomeResponse(StatusFor(outcome), outcome, exchange, response);
}

void PlatformStandin::HandleObjectCall(const httplib::Request& request,
                                       HttpExchange* exchange,
                                       httplib::Response* response) {
  Delay("objects_slow_ms");
  LastReason reason;
  if (exchange->path == "/objects/list") {
    int limit = 0;
    if (!absl::SimpleAtoi(request.get_param_value("limit"), &limit)) {
      SetJsonResponse(400, {{"error", "limit: expected a number"}}, response);
      return;
    }
    const auto names =
        objects_.List(HexParam(request, "prefix"), HexParam(request, "after"),
                      limit, absl::ZeroDuration(), &reason);
    if (!names) {
      SetJsonResponse(503, {{"error", "outage"}}, response);
      return;
    }
    response->set_content(EncodeNames(*names), "application/json");
    return;
  }
  const std::string name = HexParam(request, "name");
  if (request.method == "PUT") {
    const CommitOutcome outcome =
        objects_.Put(name, request.body, absl::ZeroDuration());
    SetOutcomeResponse(StatusFor(outcome), outcome, exchange, response);
    return;
  }
  const auto bytes = objects_.Get(name, absl::ZeroDuration(), &reason);
  if (!bytes) {
    const int status = reason.reason() == Reason::kNotFound ? 404 : 503;
    SetJsonResponse(status, {{"error", reason.detail()}}, response);
    return;
  }
  response->set_content(*bytes, "application/octet-stream");
}

void PlatformStandin::HandleInstanceCall(const httplib::Request& request,
                                         httplib::Response* response) {
  if (FaultValue("instances_outage") != 0) {
    SetJsonResponse(503, {{"error", "outage"}}, response);
    return;
  }
  if (request.method == "DELETE") {
    RemoveInstance(request.get_param_value("id"));
  } else if (request.method != "GET") {
    const auto instances = DecodeInstances(request.body);
    if (!instances) {
      SetJsonResponse(400, {{"error", "expected instances"}}, response);
      return;
    }
    if (request.method == "PUT") {
      ChangeInstances([&](auto* list) { *list = *instances; });
    } else {
      for (const ListedInstance& instance : *instances) {
        UpsertInstance(instance);
      }
    }
  }
  response->set_content(EncodeInstances(LaggedInstances()), "application/json");
}

std::vector<ListedInstance> PlatformStandin::LaggedInstances() {
  const absl::Duration lag = absl::Milliseconds(FaultValue("instances_lag_ms"));
  const absl::Time as_of = SystemClock()->Now() - lag;
  std::lock_guard<std::mutex> lock(list_mutex_);
  const ListVersion* newest = &list_versions_.front();
  for (const ListVersion& entry : list_versions_) {
    if (entry.since <= as_of) newest = &entry;
  }
  return newest->instances;
}

void PlatformStandin::ChangeInstances(
    const std::function<void(std::vector<ListedInstance>*)>& change) {
  std::lock_guard<std::mutex> lock(list_mutex_);
  std::vector<ListedInstance> next = list_versions_.back().instances;
  change(&next);
  list_versions_.push_back({SystemClock()->Now(), std::move(next)});
  if (list_versions_.size() > kMaxListVersions) list_versions_.pop_front();
}

void PlatformStandin::UpsertInstance(const ListedInstance& instance) {
  ChangeInstances([&](std::vector<ListedInstance>* list) {
    std::erase_if(*list, [&](const auto& it) { return it.id == instance.id; });
    list->push_back(instance);
  });
}

void PlatformStandin::RemoveInstance(const std::string& id) {
  ChangeInstances([&](std::vector<ListedInstance>* list) {
    std::erase_if(*list, [&](const auto& it) { return it.id == id; });
  });
}

}  // namespace wisteriareel
