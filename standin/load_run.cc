#include "standin/load_run.h"

#include <algorithm>
#include <atomic>
#include <optional>
#include <string_view>
#include <thread>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "src/http/client_connections.h"
#include "src/http/sse_parser.h"
#include "standin/engine_text.h"
#include "wisteriareel/clock.h"
#include "wisteriareel/random_source.h"

namespace wisteriareel {
namespace {

using nlohmann::json;

constexpr std::string_view kDataField = "data: ";
constexpr int kHttpOk = 200;

// Sends one chat call and checks its response against the expected text.
class LoadCall {
 public:
  LoadCall(const LoadOptions& options, std::string prompt, bool streamed)
      : options_(options), expected_text_(prompt), streamed_(streamed) {
    const json message = {{"role", "user"}, {"content", std::move(prompt)}};
    request_body_ = json{
        {"model", options.model},
        {"messages", json::array({message})},
        {"max_tokens", options.max_tokens},
        {"stream",
         streamed}}.dump();
  }

  void Send(ClientConnections* connections, const Endpoint& server,
            LoadReport* report) {
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.body = request_body_;
    request.set_header("Content-Type", "application/json");
    request.set_header("Authorization", absl::StrCat("Bearer ", options_.key));
    request.response_handler = [this](const httplib::Response& head) {
      status_ = head.status;
      is_event_stream_ = absl::StartsWith(head.get_header_value("Content-Type"),
                                          "text/event-stream");
      return true;
    };
    request.content_receiver = [&](const char* bytes, std::size_t size,
                                   std::uint64_t, std::uint64_t) {
      HandleBytes(std::string_view(bytes, size), report);
      return true;
    };
    httplib::Response response;
    started_ = SystemClock()->Now();
    const absl::Duration idle_timeout = options_.request_timeout;
    const ClientOutcome outcome =
        connections->Exchange(server, /*fresh=*/false,
                              {.idle_timeout = &idle_timeout,
                               .deadline = started_ + options_.request_timeout},
                              &request, &response);
    ClassifyResponse(outcome.ok, report);
  }

 private:
  void HandleBytes(std::string_view bytes, LoadReport* report) {
    if (!is_event_stream_) {
      response_body_.append(bytes);
      return;
    }
    parser_.Feed(bytes, [&](std::string_view event) {
      event.remove_prefix(std::min(kDataField.size(), event.size()));
      HandleEvent(json::parse(event.begin(), event.end(), nullptr, false),
                  report);
      return true;
    });
  }

  void HandleEvent(const json& event, LoadReport* report) {
    const absl::Time now = SystemClock()->Now();
    if (!event.is_object()) return;
    if (event.contains("error")) error_ = event;
    if (!event.contains("choices") || event["choices"].empty()) return;
    if (event.contains("engine_times")) engine_times_ = event["engine_times"];
    const json& choice = event["choices"][0];
    finished_ = finished_ || !choice.value("finish_reason", json()).is_null();
    const json delta = choice.value("delta", json::object());
    if (!delta.contains("content")) return;
    content_ += delta["content"].get<std::string>();
    if (event.contains("sent_us")) {
      const auto sent_us = event["sent_us"].get<std::int64_t>();
      report->token_transit.Add(now - absl::FromUnixMicros(sent_us));
    }
    if (first_token_time_ == absl::InfiniteFuture()) {
      first_token_time_ = now;
    } else {
      report->inter_token.Add(now - previous_token_time_);
    }
    previous_token_time_ = now;
  }

  void ClassifyResponse(bool transfer_ok, LoadReport* report) {
    ++report->sent;
    const bool stream_complete =
        is_event_stream_ && parser_.state() == SseParser::State::kDone;
    const bool body_complete = !is_event_stream_ && transfer_ok;
    const json body = json::parse(response_body_, nullptr, false);
    if (body.is_object() && body.contains("error")) error_ = body;
    if (error_.is_object() && !stream_complete) {
      const json error = error_.value("error", json::object());
      ++report->refused[error.value("reason", "no_reason")];
      ++report->verdicts[error.value("verdict", "no_verdict")];
      return;
    }
    if ((!stream_complete && !body_complete) || status_ != kHttpOk) {
      ++report->broken;
      return;
    }
    if (body_complete && body.is_object()) ParseCompleteBody(body);
    const std::uint64_t tokens = std::min<std::uint64_t>(
        expected_text_.unlimited_length(),
        static_cast<std::uint64_t>(options_.max_tokens));
    if (!finished_ || content_ != expected_text_.Prefix(tokens)) {
      ++report->wrong;
      return;
    }
    ++report->ok;
    RecordDurations(report);
  }

  void ParseCompleteBody(const json& body) {
    if (!body.contains("choices") || body["choices"].empty()) return;
    const json& choice = body["choices"][0];
    content_ = choice.value("message", json::object()).value("content", "");
    finished_ = !choice.value("finish_reason", json()).is_null();
    if (body.contains("engine_times")) engine_times_ = body["engine_times"];
  }

  void RecordDurations(LoadReport* report) {
    const absl::Duration total = SystemClock()->Now() - started_;
    report->total.Add(total);
    if (is_event_stream_) report->first_token.Add(first_token_time_ - started_);
    if (!engine_times_.is_object()) return;
    const auto engine_time = [this](const char* name) {
      return absl::Microseconds(engine_times_.value(name, std::int64_t{0}));
    };
    report->added_total.Add(total - engine_time("total_us"));
    if (!is_event_stream_) return;
    report->added_first_token.Add(first_token_time_ - started_ -
                                  engine_time("first_token_us"));
  }

  const LoadOptions& options_;
  const EngineText expected_text_;
  const bool streamed_;
  std::string request_body_;
  SseParser parser_;
  int status_ = 0;
  bool is_event_stream_ = false;
  bool finished_ = false;
  std::string response_body_;
  std::string content_;
  json error_;
  json engine_times_;
  absl::Time started_;
  absl::Time first_token_time_ = absl::InfiniteFuture();
  absl::Time previous_token_time_;
};

// Assigns request numbers and start times until the run is over. Thread-safe.
class LoadSchedule {
 public:
  explicit LoadSchedule(const LoadOptions& options)
      : options_(options),
        start_(SystemClock()->Now()),
        end_(start_ + options.duration) {}

  // Waits until the next request is due. Returns its number, or nullopt at the
  // end of the run.
  std::optional<std::uint64_t> Next() {
    const std::uint64_t number = next_.fetch_add(1);
    if (options_.max_requests > 0 && number >= options_.max_requests) {
      return std::nullopt;
    }
    absl::Time due = SystemClock()->Now();
    if (options_.rate > 0) {
      const double seconds = static_cast<double>(number) / options_.rate;
      due = start_ + absl::Seconds(seconds);
    }
    if (due >= end_) return std::nullopt;
    const absl::Duration wait = due - SystemClock()->Now();
    if (wait > absl::ZeroDuration()) SystemClock()->Sleep(wait);
    return number;
  }

  absl::Duration elapsed() const { return SystemClock()->Now() - start_; }

 private:
  const LoadOptions& options_;
  const absl::Time start_;
  const absl::Time end_;
  std::atomic<std::uint64_t> next_{0};
};

std::string FormatMilliseconds(absl::Duration duration) {
  return absl::StrFormat("%.3f", absl::ToDoubleMilliseconds(duration));
}

}  // namespace

void DurationSamples::Add(const DurationSamples& other) {
  samples_.insert(samples_.end(), other.samples_.begin(), other.samples_.end());
}

absl::Duration DurationSamples::Percentile(double share) const {
  if (samples_.empty()) return absl::ZeroDuration();
  std::vector<absl::Duration> sorted = samples_;
  std::sort(sorted.begin(), sorted.end());
  const double rank = share * static_cast<double>(sorted.size());
  const auto index = static_cast<std::size_t>(rank);
  return sorted[std::min(index, sorted.size() - 1)];
}

json DurationSamples::ToJson() const {
  const auto ms = [this](double share) {
    return absl::ToDoubleMilliseconds(Percentile(share));
  };
  return {{"count", samples_.size()},
          {"p50", ms(0.5)},
          {"p95", ms(0.95)},
          {"p99", ms(0.99)},
          {"max", ms(1.0)}};
}

void LoadReport::Add(const LoadReport& other) {
  sent += other.sent;
  ok += other.ok;
  wrong += other.wrong;
  broken += other.broken;
  for (const auto& [reason, count] : other.refused) refused[reason] += count;
  for (const auto& [verdict, count] : other.verdicts) {
    verdicts[verdict] += count;
  }
  first_token.Add(other.first_token);
  inter_token.Add(other.inter_token);
  total.Add(other.total);
  added_first_token.Add(other.added_first_token);
  added_total.Add(other.added_total);
  token_transit.Add(other.token_transit);
}

json LoadReport::ToJson() const {
  return {{"sent", sent},
          {"ok", ok},
          {"wrong", wrong},
          {"broken", broken},
          {"refused", refused},
          {"verdicts", verdicts},
          {"seconds", absl::ToDoubleSeconds(elapsed)},
          {"first_token_ms", first_token.ToJson()},
          {"inter_token_ms", inter_token.ToJson()},
          {"total_ms", total.ToJson()},
          {"added_first_token_ms", added_first_token.ToJson()},
          {"added_total_ms", added_total.ToJson()},
          {"token_transit_ms", token_transit.ToJson()}};
}

std::string LoadReport::ToText() const {
  std::string text =
      absl::StrFormat("sent %d  ok %d  wrong %d  broken %d  in %.1f s\n", sent,
                      ok, wrong, broken, absl::ToDoubleSeconds(elapsed));
  for (const auto& [reason, count] : refused) {
    absl::StrAppend(&text, "refused ", reason, ": ", count, "\n");
  }
  for (const auto& [verdict, count] : verdicts) {
    absl::StrAppend(&text, "of these ", verdict, ": ", count, "\n");
  }
  const auto append_line = [&](const char* name, const DurationSamples& times) {
    absl::StrAppend(&text, name, " ms: p50 ",
                    FormatMilliseconds(times.Percentile(0.5)), "  p95 ",
                    FormatMilliseconds(times.Percentile(0.95)), "  p99 ",
                    FormatMilliseconds(times.Percentile(0.99)), "  max ",
                    FormatMilliseconds(times.Percentile(1.0)), "\n");
  };
  append_line("first token", first_token);
  append_line("inter token", inter_token);
  append_line("total", total);
  append_line("added to first token", added_first_token);
  append_line("added to total", added_total);
  append_line("token transit", token_transit);
  return text;
}

LoadReport RunLoad(const LoadOptions& options) {
  ClientConnections connections(
      {.max_idle_per_server = 4096, .tls = options.tls});
  LoadSchedule schedule(options);
  std::vector<LoadReport> reports(
      static_cast<std::size_t>(options.concurrency));
  std::vector<std::thread> threads;
  threads.reserve(reports.size());
  for (LoadReport& report : reports) {
    threads.emplace_back([&] {
      while (const auto number = schedule.Next()) {
        const std::string prompt = absl::StrCat(
            "prompt ", options.seed, " ", *number, " ",
            std::string(static_cast<std::size_t>(options.prompt_bytes), 'p'));
        const auto random = MakeSeededRandom(options.seed + *number);
        const bool streamed = random->Fraction() < options.streamed_share;
        LoadCall call(options, prompt, streamed);
        const Endpoint& server =
            options.servers[*number % options.servers.size()];
        call.Send(&connections, server, &report);
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  LoadReport sum;
  for (const LoadReport& report : reports) sum.Add(report);
  sum.elapsed = schedule.elapsed();
  return sum;
}

}  // namespace wisteriareel
