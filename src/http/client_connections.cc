#include "src/http/client_connections.h"

#include <poll.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <type_traits>
#include <utility>

#include "absl/strings/str_cat.h"
#include "src/http/checked_response_stream.h"
#include "wisteriareel/clock.h"

namespace wisteriareel {
namespace {

// Maximum time for one write to a server.
constexpr absl::Duration kWriteTimeout = absl::Seconds(20);

std::string KeyFor(const Endpoint& server) {
  return absl::StrCat(server.host, ":", server.port);
}

// A cpp-httplib client on a BoundedStream, which supports cancellation and
// counts the bytes sent.
template <typename Base>
class BoundedClient final : public Base, public ClientConnection {
 public:
  template <typename... Args>
  explicit BoundedClient(const Args&... args) : Base(args...) {
    this->set_keep_alive(true);
    this->set_tcp_nodelay(true);
    this->set_follow_location(false);
    this->set_decompress(false);
    this->set_url_encode(false);
  }

  ClientOutcome Exchange(const ClientLimits& limits, httplib::Request* request,
                         httplib::Response* response) override {
    limits_ = limits;
    head_only_ = request->method == "HEAD";
    outcome_ = {};
    outcome_.reused = is_open();
    const absl::Duration left = limits.deadline - SystemClock()->Now();
    const absl::Duration connect =
        std::max(std::min(limits.connect_timeout, left), absl::Milliseconds(1));
    const std::int64_t us = absl::ToInt64Microseconds(connect);
    this->set_connection_timeout(us / 1'000'000, us % 1'000'000);
    httplib::Error error = httplib::Error::Success;
    outcome_.ok = this->send(*request, *response, error);
    outcome_.error = error;
    return outcome_;
  }

  bool is_open() const override { return this->is_socket_open() != 0; }

  bool IsReusable() const override {
    pollfd entry{.fd = this->socket(), .events = POLLIN, .revents = 0};
    return is_open() && poll(&entry, 1, 0) == 0;
  }

 private:
  using Socket = typename Base::Socket;
  using Callback = std::function<bool(httplib::Stream&)>;

  bool process_socket(const Socket& socket, Callback callback) override {
    SSL* tls = nullptr;
    if constexpr (std::is_same_v<Base, httplib::SSLClient>) tls = socket.ssl;
    BoundedStream stream({.fd = socket.sock,
                          .tls = tls,
                          .write_timeout = kWriteTimeout,
                          .cancelled = limits_.cancelled});
    stream.LimitReads(
        {.deadline = limits_.deadline, .idle_timeout = limits_.idle_timeout});
    CheckedResponseStream checked(&stream, head_only_);
    const bool ok = callback(checked) && checked.is_complete();
    outcome_.failure = stream.failure();
    outcome_.bytes_sent = stream.bytes_written();
    outcome_.has_trailing_bytes = stream.HasUnreadBytes();
    return ok;
  }

  ClientLimits limits_;
  bool head_only_ = false;
  ClientOutcome outcome_;
};

}  // namespace

ClientConnections::ClientConnections(Options options)
    : options_(std::move(options)) {}

std::unique_ptr<ClientConnection> ClientConnections::Make(
    const Endpoint& server) const {
  const TlsFiles& tls = options_.tls;
  if (!tls.enabled()) {
    return std::make_unique<BoundedClient<httplib::ClientImpl>>(server.host,
                                                                server.port);
  }
  auto client = std::make_unique<BoundedClient<httplib::SSLClient>>(
      server.host, server.port, tls.certificate_file, tls.key_file);
  // Without a CA file, the client trusts the system's certificate authorities.
  client->enable_server_certificate_verification(true);
  if (!tls.ca_file.empty()) client->set_ca_cert_path(tls.ca_file);
  return client;
}

std::unique_ptr<ClientConnection> ClientConnections::AcquireIdle(
    const Endpoint& server) {
  std::lock_guard<std::mutex> lock(mutex_);
  const auto it = idle_.find(KeyFor(server));
  if (it == idle_.end()) return nullptr;
  IdleList& list = it->second;
  const absl::Time oldest = SystemClock()->Now() - options_.max_idle_age;
  // The most recently used connection is last and least likely to be closed.
  if (!list.empty() && list.back().since >= oldest) {
    std::unique_ptr<ClientConnection> found = std::move(list.back().connection);
    list.pop_back();
    if (found->IsReusable()) return found;
  }
  list.clear();
  return nullptr;
}

void ClientConnections::ReleaseIdle(
    const Endpoint& server, std::unique_ptr<ClientConnection> connection) {
  if (!connection->is_open()) return;
  const absl::Time now = SystemClock()->Now();
  const absl::Time oldest = now - options_.max_idle_age;
  // Declared before the lock, so that the connections close after its release.
  IdleList expired;
  std::lock_guard<std::mutex> lock(mutex_);
  IdleList& list = idle_[KeyFor(server)];
  while (!list.empty() && list.front().since < oldest) {
    expired.push_back(std::move(list.front()));
    list.erase(list.begin());
  }
  if (list.size() >= options_.max_idle_per_server) return;
  list.push_back({std::move(connection), now});
}

void ClientConnections::CloseIdleConnections(const Endpoint& server) {
  IdleList dropped;
  std::lock_guard<std::mutex> lock(mutex_);
  const auto it = idle_.find(KeyFor(server));
  if (it != idle_.end()) dropped.swap(it->second);
}

ClientOutcome ClientConnections::Exchange(const Endpoint& server, bool fresh,
                                          const ClientLimits& limits,
                                          httplib::Request* request,
                                          httplib::Response* response) {
  std::unique_ptr<ClientConnection> connection;
  if (!fresh) connection = AcquireIdle(server);
  if (connection == nullptr) connection = Make(server);
  const ClientOutcome outcome = connection->Exchange(limits, request, response);
  if (outcome.ok && !outcome.has_trailing_bytes) {
    ReleaseIdle(server, std::move(connection));
  } else if (!outcome.ok && outcome.reused) {
    // The cause, such as a server restart, may affect all idle connections.
    CloseIdleConnections(server);
  }
  return outcome;
}

}  // namespace wisteriareel
