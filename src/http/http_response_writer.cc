#include "src/http/http_response_writer.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "src/http/chat_codec.h"
#include "src/http/http_target_client.h"
#include "src/http/sse_parser.h"

namespace wisteriareel {
namespace {

constexpr std::string_view kLastChunk = "0\r\n\r\n";

absl::string_view ToAbsl(std::string_view text) {
  return absl::string_view(text.data(), text.size());
}

bool EndsWith(std::string_view text, std::string_view end) {
  return text.size() >= end.size() &&
         text.substr(text.size() - end.size()) == end;
}

}  // namespace

HttpResponseWriter::HttpResponseWriter(const RequestId* request,
                                       HttpExchange* exchange,
                                       httplib::Response* response)
    : request_(*request), exchange_(exchange), response_(response) {}

bool HttpResponseWriter::WriteHead(int status, std::string_view content_type) {
  if (head_written_) return false;
  head_written_ = true;
  response_->status = status;
  response_->set_header("Content-Type", std::string(content_type));
  response_->set_header(kRequestIdHeader, request_.value());
  streaming_ = absl::StartsWith(ToAbsl(content_type), "text/event-stream");
  if (!streaming_) return !CallerDisconnected();
  exchange_->response_written = true;
  httplib::Headers headers = response_->headers;
  headers.emplace("Transfer-Encoding", "chunked");
  headers.emplace("Cache-Control", "no-cache");
  if (exchange_->close) headers.emplace("Connection", "close");
  const std::string head = SerializeHead(status, headers);
  caller_disconnected_ = !exchange_->stream->WriteAll(head.data(), head.size());
  return !caller_disconnected_;
}

bool HttpResponseWriter::WriteChunk(std::string_view bytes) {
  if (caller_disconnected_) return false;
  if (bytes.empty()) return true;
  const std::string chunk =
      absl::StrCat(absl::Hex(bytes.size()), "\r\n", ToAbsl(bytes), "\r\n");
  caller_disconnected_ =
      !exchange_->stream->WriteAll(chunk.data(), chunk.size());
  return !caller_disconnected_;
}

bool HttpResponseWriter::WriteData(std::string_view bytes) {
  if (!head_written_ || finished_) return false;
  if (!streaming_) {
    response_->body.append(bytes);
    return true;
  }
  end_marker_written_ = EndsWith(bytes, kEndMarker);
  return WriteChunk(bytes);
}

bool HttpResponseWriter::Finish() {
  if (!head_written_ || finished_) return false;
  if (!streaming_) {
    finished_ = true;
    return !CallerDisconnected();
  }
  if (!end_marker_written_ && !WriteChunk(kEndMarker)) return false;
  const bool sent =
      !caller_disconnected_ &&
      exchange_->stream->WriteAll(kLastChunk.data(), kLastChunk.size());
  caller_disconnected_ = !sent;
  finished_ = sent;
  return sent;
}

bool HttpResponseWriter::CallerDisconnected() const {
  return caller_disconnected_ || exchange_->stream->PeerClosed();
}

void HttpResponseWriter::Close(const CallResult& result) {
  if (finished_) return;
  if (!streaming_) {
    // Nothing was sent yet, so the error replaces the buffered response.
    response_->status = StatusFor(result);
    response_->headers.erase("Content-Type");
    response_->set_content(ErrorBody(request_, result), "application/json");
    response_->headers.erase(kRequestIdHeader);
    response_->set_header(kRequestIdHeader, request_.value());
    return;
  }
  exchange_->close = true;
  if (end_marker_written_) return;
  WriteChunk(absl::StrCat("data: ", ErrorBody(request_, result), "\n\n"));
}

}  // namespace wisteriareel
