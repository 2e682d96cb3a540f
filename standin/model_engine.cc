#include "standin/model_engine.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "src/http/chat_codec.h"
#include "src/http/http_target_client.h"
#include "src/http/sse_parser.h"
#include "wisteriareel/clock.h"

namespace wisteriareel {
namespace {

using nlohmann::json;

constexpr char kRequestsPath[] = "/v1/requests/";
constexpr absl::Duration kDisconnectPollInterval = absl::Milliseconds(20);
constexpr std::int64_t kBytesPerToken = 4;
constexpr std::string_view kInvalidChunk = "zz\r\nnot a chunk\r\n";
constexpr std::string_view kLastChunk = "0\r\n\r\n";

json DefaultFaults() {
  return {
      // Counted faults: the value is the number of chat calls affected.
      // Stops sending after silent_after_events events and keeps the
      // connection open.
      {"silences", 0},
      {"silent_after_events", 3},
      // Closes the connection after cut_after_events events.
      {"cuts", 0},
      {"cut_after_events", 3},
      // Sends all but the last byte of the end marker or body, then closes.
      {"cuts_before_end", 0},
      // Sends an invalid chunk after the first event, then closes.
      {"garbles", 0},
      // Sends the last event again after the end marker.
      {"duplicates", 0},
      // Refuses before execution, with the not-run header.
      {"refusals", 0},
      // Responds with status 500 after execution.
      {"errors", 0},
      // Delay before the first token, in milliseconds.
      {"slow_ms", 0},
      // Lag of load reports and cache events, in milliseconds.
      {"load_lag_ms", 0},
      {"cache_event_lag_ms", 0},
      // Drops every n-th cache event; zero drops none.
      {"cache_events_drop_every", 0},
  };
}

std::string LastMessage(const json& call) {
  const json& content = call.at("messages").back().value("content", json());
  return content.is_string() ? content.get<std::string>() : content.dump();
}

}  // namespace

// State of one chat call in progress.
struct ModelEngine::Sequence {
  HttpExchange* exchange = nullptr;
  EngineText text{""};
  std::string id;
  std::string model;
  bool streamed = false;
  bool stamped = false;
  Priority priority = Priority::kNormal;
  std::uint64_t resume_offset = 0;
  std::uint64_t length = 0;
  std::int64_t prompt_tokens = 0;
  std::uint64_t prefix = 0;
  std::shared_ptr<std::atomic<bool>> cancelled =
      std::make_shared<std::atomic<bool>>(false);
  absl::Time arrived;
  absl::Time first_token;
  absl::Time generation_start;

  bool IsAborted() const {
    return cancelled->load() || exchange->stream->PeerClosed();
  }

  json Usage() const {
    const auto output = static_cast<std::int64_t>(length);
    return {{"prompt_tokens", prompt_tokens},
            {"completion_tokens", output},
            {"total_tokens", prompt_tokens + output}};
  }
  // Returns the engine's own times, from which a client computes the time added
  // between it and the engine.
  json Times() const {
    const absl::Time now = SystemClock()->Now();
    return {
        {"first_token_us", absl::ToInt64Microseconds(first_token - arrived)},
        {"total_us", absl::ToInt64Microseconds(now - arrived)}};
  }
  const char* FinishReason() const {
    return length < text.unlimited_length() ? "length" : "stop";
  }
  std::string Event(std::uint64_t index) const {
    json choice = {{"index", 0},
                   {"delta", {{"content", text.Token(index)}}},
                   {"finish_reason", nullptr}};
    json body = {{"choices", json::array({std::move(choice)})}};
    if (stamped) body["sent_us"] = absl::ToUnixMicros(SystemClock()->Now());
    return Wrap(std::move(body));
  }
  std::string LastEvent() const {
    json choice = {{"index", 0},
                   {"delta", json::object()},
                   {"finish_reason", FinishReason()}};
    return Wrap({{"choices", json::array({std::move(choice)})},
                 {"usage", Usage()},
                 {"engine_times", Times()}});
  }

 private:
  std::string Wrap(json body) const {
    body["id"] = text.Id();
    body["object"] = "chat.completion.chunk";
    body["created"] = 0;
    body["model"] = model;
    return absl::StrCat("data: ", body.dump(), "\n\n");
  }
};

ModelEngine::ModelEngine(ModelEngineOptions options)
    : StandinListener(DefaultFaults()),
      options_(std::move(options)),
      slots_(options_.max_batch),
      cache_(options_.cache_entries),
      orders_(options_.models, options_.checks_fencing) {}

ModelEngine::~ModelEngine() { StopListening(); }

void ModelEngine::HandleRequest(const httplib::Request& request,
                                HttpExchange* exchange,
                                httplib::Response* response) {
  const std::string& path = exchange->path;
  if (path == "/v1/chat/completions") {
    HandleChat(request, exchange, response);
  } else if (absl::StartsWith(path, kRequestsPath)) {
    Cancel(std::string(absl::StripPrefix(path, kRequestsPath)));
    SetJsonResponse(200, json::object(), response);
  } else if (path == "/v1/load") {
    SetJsonResponse(
        200, reports_.Report(absl::Milliseconds(FaultValue("load_lag_ms"))),
        response);
  } else if (path == "/v1/state") {
    SetJsonResponse(200, orders_.ToJson(), response);
  } else if (path == "/v1/orders") {
    json result;
    const int status =
        orders_.Apply(json::parse(request.body, nullptr, false), &result);
    SetJsonResponse(status, result, response);
  } else if (path == "/v1/cache_events") {
    std::uint64_t after = 0;
    if (!absl::SimpleAtoi(request.get_param_value("after"), &after)) after = 0;
    const absl::Duration lag =
        absl::Milliseconds(FaultValue("cache_event_lag_ms"));
    SetJsonResponse(200, cache_.EventsAfter(after, lag), response);
  } else {
    SetJsonResponse(404, {{"error", "no such path"}}, response);
  }
}

void ModelEngine::Cancel(const std::string& id) {
  std::lock_guard<std::mutex> lock(mutex_);
  const auto [begin, end] = running_.equal_range(id);
  for (auto it = begin; it != end; ++it) it->second->store(true);
}

void ModelEngine::RecordLoad() {
  reports_.Record(slots_.running(), slots_.waiting());
}

void ModelEngine::HandleChat(const httplib::Request& request,
                             HttpExchange* exchange,
                             httplib::Response* response) {
  LastReason reason;
  const std::optional<ChatCall> call = ParseChatCall(request.body, &reason);
  if (!call || !orders_.HasModel(call->model.value())) {
    response->set_header(kNotRunHeader, "true");
    const std::string detail = call ? "model not loaded" : reason.detail();
    SetJsonResponse(call ? 404 : 400, {{"error", detail}}, response);
    return;
  }
  if (ConsumeFault("refusals")) {
    response->set_header(kNotRunHeader, "true");
    SetJsonResponse(503, {{"error", "refused"}}, response);
    return;
  }
  Sequence sequence{.exchange = exchange};
  sequence.text = EngineText(LastMessage(json::parse(request.body)));
  sequence.model = call->model.value();
  sequence.streamed = call->streamed;
  sequence.stamped = options_.stamp_events;
  sequence.arrived = SystemClock()->Now();
  sequence.length = sequence.text.unlimited_length();
  if (call->output_limit) {
    sequence.length =
        std::min<std::uint64_t>(sequence.length, *call->output_limit);
  }
  sequence.prompt_tokens =
      static_cast<std::int64_t>(request.body.size()) / kBytesPerToken;
  sequence.prefix = call->prefix_hash;
  sequence.resume_offset =
      request.get_header_value<std::uint64_t>(kResumeOffsetHeader);
  const auto rank = request.get_header_value<std::uint64_t>(kPriorityHeader);
  sequence.priority =
      static_cast<Priority>(std::min<std::uint64_t>(rank, kPriorityCount - 1));
  sequence.id = request.get_header_value(kRequestIdHeader);
  auto entry = running_.end();
  {
    std::lock_guard<std::mutex> lock(mutex_);
    entry = running_.emplace(sequence.id, sequence.cancelled);
  }
  Generate(&sequence, response);
  std::lock_guard<std::mutex> lock(mutex_);
  running_.erase(entry);
}

void ModelEngine::Generate(Sequence* sequence, httplib::Response* response) {
  RecordLoad();
  if (!slots_.Acquire(sequence->priority,
                      [&] { return sequence->IsAborted(); })) {
    CloseWithoutResponse(sequence->exchange);
    return;
  }
  RecordLoad();
  ++started_;
  const bool cached =
      cache_.Use(sequence->prefix, FaultValue("cache_events_drop_every"));
  if (!cached) {
    SystemClock()->Sleep(options_.prefill_per_thousand *
                         sequence->prompt_tokens / 1000);
  }
  Delay("slow_ms");
  sequence->generation_start = SystemClock()->Now();
  sequence->first_token = sequence->generation_start;
  if (ConsumeFault("errors")) {
    SetJsonResponse(500, {{"error", "failed"}}, response);
  } else if (sequence->streamed) {
    Stream(sequence);
  } else {
    SetCompleteResponse(sequence, response);
  }
  if (sequence->cancelled->load()) ++cancelled_;
  slots_.Release();
  RecordLoad();
}

bool ModelEngine::WaitForToken(Sequence* sequence, std::uint64_t index) const {
  const absl::Time due = sequence->generation_start +
                         options_.token_interval * static_cast<double>(index);
  const absl::Duration wait = due - SystemClock()->Now();
  if (wait > absl::ZeroDuration()) SystemClock()->Sleep(wait);
  return !sequence->cancelled->load();
}

void ModelEngine::SetCompleteResponse(Sequence* sequence,
                                      httplib::Response* response) {
  for (std::uint64_t i = 1; i <= sequence->length; ++i) {
    if (WaitForToken(sequence, i) && !sequence->IsAborted()) continue;
    CloseWithoutResponse(sequence->exchange);
    return;
  }
  const json message = {{"role", "assistant"},
                        {"content", sequence->text.Prefix(sequence->length)}};
  const json choice = {{"index", 0},
                       {"message", message},
                       {"finish_reason", sequence->FinishReason()}};
  SetJsonResponse(200,
                  {{"id", sequence->text.Id()},
                   {"object", "chat.completion"},
                   {"created", 0},
                   {"model", sequence->model},
                   {"choices", json::array({choice})},
                   {"usage", sequence->Usage()},
                   {"engine_times", sequence->Times()}},
                  response);
  if (!ConsumeFault("cuts_before_end")) return;
  // Content-Length covers the complete body; the last byte isn't sent.
  httplib::Headers headers = response->headers;
  headers.emplace("Content-Length", absl::StrCat(response->body.size()));
  std::string bytes = absl::StrCat(SerializeHead(200, headers), response->body);
  bytes.pop_back();
  sequence->exchange->stream->WriteAll(bytes.data(), bytes.size());
  CloseWithoutResponse(sequence->exchange);
}

bool ModelEngine::Send(Sequence* sequence, const std::string& event) const {
  const std::string chunk =
      absl::StrCat(absl::Hex(event.size()), "\r\n", event, "\r\n");
  return sequence->exchange->stream->WriteAll(chunk.data(), chunk.size());
}

void ModelEngine::Stream(Sequence* sequence) {
  HttpExchange* exchange = sequence->exchange;
  exchange->response_written = true;
  const std::string head =
      SerializeHead(200, {{"Content-Type", "text/event-stream"},
                          {kRequestIdHeader, sequence->id},
                          {"Transfer-Encoding", "chunked"},
                          {"Cache-Control", "no-cache"}});
  const bool complete = exchange->stream->WriteAll(head.data(), head.size()) &&
                        StreamEvents(sequence);
  if (!complete ||
      !exchange->stream->WriteAll(kLastChunk.data(), kLastChunk.size())) {
    exchange->close = true;
  }
}

bool ModelEngine::StreamEvents(Sequence* sequence) {
  const bool stalled = ConsumeFault("silences");
  const bool cut = !stalled && ConsumeFault("cuts");
  const bool corrupted = !stalled && !cut && ConsumeFault("garbles");
  const auto stall_after =
      static_cast<std::uint64_t>(FaultValue("silent_after_events"));
  const auto cut_after =
      static_cast<std::uint64_t>(FaultValue("cut_after_events"));
  for (std::uint64_t i = sequence->resume_offset; i <= sequence->length; ++i) {
    const std::uint64_t sent = i - sequence->resume_offset;
    if (stalled && sent == stall_after) {
      while (!sequence->IsAborted()) {
        SystemClock()->Sleep(kDisconnectPollInterval);
      }
      return false;
    }
    if (cut && sent == cut_after) return false;
    if (corrupted && sent == 1) {
      sequence->exchange->stream->WriteAll(kInvalidChunk.data(),
                                           kInvalidChunk.size());
      return false;
    }
    if (!WaitForToken(sequence, sent)) return false;
    const bool last = i == sequence->length;
    if (!Send(sequence, last ? sequence->LastEvent() : sequence->Event(i))) {
      return false;
    }
  }
  std::string end(kEndMarker);
  if (ConsumeFault("cuts_before_end")) {
    end.pop_back();
    Send(sequence, end);
    return false;
  }
  if (!Send(sequence, end)) return false;
  if (ConsumeFault("duplicates")) Send(sequence, sequence->LastEvent());
  return true;
}

}  // namespace wisteriareel
