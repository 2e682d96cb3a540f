#include "src/http/http_listener.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "src/http/bounded_http_server.h"
#include "wisteriareel/clock.h"

namespace wisteriareel {
namespace {

constexpr absl::Duration kStartPollInterval = absl::Milliseconds(1);
// Maximum wait for connection threads to exit after an abort.
constexpr absl::Duration kAbortTimeout = absl::Seconds(5);

const char* StatusText(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 408:
      return "Request Timeout";
    case 431:
      return "Request Header Fields Too Large";
    case 503:
      return "Service Unavailable";
    default:
      return "Answer";
  }
}

}  // namespace

std::optional<HttpRefusal> HttpExchangeHandler::CheckHead(
    const httplib::Request& /*request*/, const HttpExchange& /*exchange*/) {
  return std::nullopt;
}

std::string SerializeHead(int status, const httplib::Headers& headers) {
  std::string head =
      absl::StrCat("HTTP/1.1 ", status, " ", StatusText(status), "\r\n");
  for (const auto& [name, text] : headers) {
    absl::StrAppend(&head, name, ": ", text, "\r\n");
  }
  absl::StrAppend(&head, "\r\n");
  return head;
}

HttpListener::HttpListener(HttpListenerOptions options,
                           HttpExchangeHandler* handler)
    : options_(std::move(options)),
      server_(std::make_unique<BoundedHttpServer>(&options_, handler)) {}

HttpListener::~HttpListener() { Stop(absl::ZeroDuration()); }

bool HttpListener::Start(LastReason* reason) {
  if (!server_->Bind(&port_, reason)) return false;
  accept_thread_ = std::thread([this] { server_->listen_after_bind(); });
  while (!server_->is_running()) SystemClock()->Sleep(kStartPollInterval);
  options_.events->Write(
      EventId::kHttpListening, Severity::kInfo, "HTTP listener started",
      {{"address", options_.endpoint.host}, {"port", absl::StrCat(port_)}});
  if (options_.tls.enabled()) {
    tls_reloader_ = std::make_unique<BackgroundLoop>([this] {
      LastReason unreadable;
      if (!server_->ReloadTls(&unreadable)) {
        options_.events->Write(
            EventId::kCertificateUnreadable, Severity::kError,
            "TLS certificate reload failed; keeping the current certificate",
            {{"detail", unreadable.detail()}});
      }
      return options_.tls.reload;
    });
  }
  return true;
}

void HttpListener::BeginDrain() { server_->BeginDrain(); }

std::size_t HttpListener::Stop(absl::Duration grace) {
  if (!accept_thread_.joinable()) return 0;
  tls_reloader_.reset();
  server_->BeginDrain();
  server_->stop();
  server_->WaitForConnections(grace);
  const std::size_t cut = server_->AbortConnections();
  if (cut > 0) {
    options_.events->Write(EventId::kHttpConnectionsCut, Severity::kWarning,
                           "connections aborted at shutdown",
                           {{"connections", absl::StrCat(cut)}});
    server_->WaitForConnections(kAbortTimeout);
  }
  accept_thread_.join();
  return cut;
}

bool HttpListener::ReloadTls(LastReason* reason) {
  return server_->ReloadTls(reason);
}

std::size_t HttpListener::connections() const { return server_->connections(); }

}  // namespace wisteriareel
