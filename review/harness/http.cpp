#include "http.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>
#include <memory>

namespace review {
namespace {

constexpr int kBacklog = 512;

sockaddr_in LoopbackAddress(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

int Listen(int port, int* actual_port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = LoopbackAddress(port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, kBacklog) != 0) {
    close(fd);
    return -1;
  }
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  *actual_port = ntohs(address.sin_port);
  return fd;
}

int RemainingMs(SteadyTime deadline) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline - std::chrono::steady_clock::now());
  return static_cast<int>(std::max<std::int64_t>(0, left.count()));
}

}  // namespace

std::int64_t NowMs() {
  static const SteadyTime start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - start)
      .count();
}

std::string HttpMessage::Header(std::string_view name) const {
  for (const auto& [key, value] : headers) {
    if (key.size() == name.size() &&
        strncasecmp(key.data(), name.data(), name.size()) == 0) {
      return value;
    }
  }
  return "";
}

Connection::~Connection() { close(fd_); }

std::unique_ptr<Connection> Connection::Open(
    int port, std::chrono::milliseconds timeout) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  auto connection = std::make_unique<Connection>(fd);
  sockaddr_in address = LoopbackAddress(port);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    pollfd entry{.fd = fd, .events = POLLOUT, .revents = 0};
    if (poll(&entry, 1, static_cast<int>(timeout.count())) != 1) return nullptr;
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return nullptr;
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return connection;
}

bool Connection::Fill(SteadyTime deadline) {
  pollfd entry{.fd = fd_, .events = POLLIN, .revents = 0};
  if (poll(&entry, 1, RemainingMs(deadline)) != 1) return false;
  char bytes[16 << 10];
  const ssize_t n = recv(fd_, bytes, sizeof(bytes), 0);
  if (n <= 0) return false;
  buffer_.append(bytes, static_cast<std::size_t>(n));
  return true;
}

bool Connection::Write(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

void Connection::ResetOnClose() {
  const linger reset{.l_onoff = 1, .l_linger = 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

void Connection::Shutdown() { shutdown(fd_, SHUT_RDWR); }

bool Connection::IsClosedByPeer() const {
  char byte = 0;
  const ssize_t n = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

std::optional<HttpMessage> Connection::ReadHead(SteadyTime deadline) {
  std::size_t end = std::string::npos;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill(deadline)) return std::nullopt;
  }
  const std::string head = buffer_.substr(0, end + 2);
  buffer_.erase(0, end + 4);
  HttpMessage message;
  std::size_t begin = head.find("\r\n");
  const std::string first = head.substr(0, begin);
  const std::size_t one = first.find(' ');
  const std::size_t two = first.find(' ', one + 1);
  if (one == std::string::npos) return std::nullopt;
  message.method = first.substr(0, one);
  message.target =
      first.substr(one + 1, two == std::string::npos ? two : two - one - 1);
  if (message.method.starts_with("HTTP/")) {
    message.status = std::atoi(message.target.c_str());
  }
  for (begin += 2; begin < head.size();) {
    const std::size_t line_end = head.find("\r\n", begin);
    const std::string line = head.substr(begin, line_end - begin);
    begin = line_end + 2;
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') ++value;
    message.headers.emplace_back(line.substr(0, colon), line.substr(value));
  }
  return message;
}

bool Connection::ReadRequestBody(HttpMessage* message, SteadyTime deadline) {
  const auto length = static_cast<std::size_t>(
      std::atoll(message->Header("Content-Length").c_str()));
  while (buffer_.size() < length) {
    if (!Fill(deadline)) return false;
  }
  message->body = buffer_.substr(0, length);
  buffer_.erase(0, length);
  return true;
}

HttpServer::HttpServer(Handler handler) : handler_(std::move(handler)) {
  listener_ = Listen(0, &port_);
  acceptor_ = std::thread([this] { Accept(); });
}

HttpServer::~HttpServer() { Stop(); }

void HttpServer::Accept() {
  while (!stopped_) {
    pollfd entry{.fd = listener_, .events = POLLIN, .revents = 0};
    if (poll(&entry, 1, 50) != 1) continue;
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    ++serving_;
    std::thread([this, fd] {
      Serve(fd);
      --serving_;
    }).detach();
  }
}

void HttpServer::Serve(int fd) {
  Connection connection(fd);
  {
    const std::lock_guard lock(mutex_);
    open_.insert(&connection);
  }
  while (!stopped_) {
    const SteadyTime deadline =
        std::chrono::steady_clock::now() + std::chrono::seconds(30);
    std::optional<HttpMessage> request = connection.ReadHead(deadline);
    if (!request.has_value() ||
        !connection.ReadRequestBody(&*request, deadline) ||
        !handler_(*request, &connection)) {
      break;
    }
  }
  const std::lock_guard lock(mutex_);
  open_.erase(&connection);
}

void HttpServer::ResetConnections() {
  const std::lock_guard lock(mutex_);
  for (Connection* connection : open_) {
    connection->ResetOnClose();
    connection->Shutdown();
  }
}

void HttpServer::Stop() {
  if (stopped_.exchange(true)) return;
  acceptor_.join();
  close(listener_);
  while (serving_ > 0) {
    ResetConnections();
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

std::string MakeResponse(
    int status, const std::string& body,
    const std::vector<std::pair<std::string, std::string>>& headers) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return text + body;
}

int PickFreePort() {
  int port = 0;
  const int fd = Listen(0, &port);
  if (fd >= 0) close(fd);
  return port;
}

}  // namespace review
